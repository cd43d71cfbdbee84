#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "Adapters/Http/HttpRequestParser.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

const std::string chunkedHead =
        "POST /x?a=b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Appends the bytes in parts and returns the first result that is not incomplete.
std::optional<HttpRequestParser::Result>
parseInParts(HttpRequestParser &parser, const std::string &bytes, std::size_t partBytes)
{
    for (std::size_t begin = 0; begin < bytes.size(); begin += partBytes) {
        parser.append(bytes.substr(begin, partBytes));
        if (!parser.canParse()) {
            continue;
        }
        HttpRequestParser::Result result = parser.parse();
        if (!std::holds_alternative<HttpRequestParser::Incomplete>(result)) {
            return result;
        }
    }
    return std::nullopt;
}

int statusOf(const std::string &bytes, const HttpLimits &limits, std::size_t partBytes)
{
    HttpRequestParser parser(limits);
    const auto result = parseInParts(parser, bytes, partBytes);
    if (!result) {
        return 0;
    }
    const auto *error = std::get_if<HttpRequestError>(&*result);
    return error != nullptr ? error->status : 200;
}

} // namespace

class HttpRequestParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpRequestParserTest);
    CPPUNIT_TEST(partsOfEachSize);
    CPPUNIT_TEST(parsedChunksAreNotKept);
    CPPUNIT_TEST(malformedChunks);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a result that depends on where the reads divide a request.
    void partsOfEachSize()
    {
        const HttpLimits limits;
        const std::string chunked =
                chunkedHead + "3;name=value\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n";
        const std::string sized = "POST /y HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde";
        for (std::size_t partBytes = 1; partBytes <= chunked.size(); ++partBytes) {
            HttpRequestParser parser(limits);
            for (const std::string &bytes : {chunked, sized}) {
                const auto result = parseInParts(parser, bytes, partBytes);
                CPPUNIT_ASSERT(result);
                const auto *complete = std::get_if<HttpRequestParser::Complete>(&*result);
                CPPUNIT_ASSERT(complete != nullptr);
                CPPUNIT_ASSERT_EQUAL(std::string("abcde"), complete->request.body);
                CPPUNIT_ASSERT_EQUAL(bytes.size(), complete->bytes);
                CPPUNIT_ASSERT(parser.empty());
            }
        }
        section("requests that are sent ahead are taken one by one", [&] {
            HttpRequestParser parser(limits);
            parser.append(chunked + sized);
            const auto first = parser.parse();
            const auto second = parser.parse();
            CPPUNIT_ASSERT_EQUAL(std::string("/x"),
                                 std::get<HttpRequestParser::Complete>(first).request.path);
            CPPUNIT_ASSERT_EQUAL(std::string("a=b"),
                                 std::get<HttpRequestParser::Complete>(first).request.query);
            CPPUNIT_ASSERT_EQUAL(std::string("/y"),
                                 std::get<HttpRequestParser::Complete>(second).request.path);
            CPPUNIT_ASSERT(parser.empty());
        });
    }

    /// Guards against a parser that begins again with all chunks at each byte.
    void parsedChunksAreNotKept()
    {
        const HttpLimits limits;
        detail::ChunkDecoder decoder(limits.maxBodyBytes);
        const std::string chunk = "1\r\nx\r\n";
        std::string rest;
        for (std::size_t index = 0; index < 1000 * chunk.size(); ++index) {
            rest += chunk[index % chunk.size()];
            std::string_view input = rest;
            CPPUNIT_ASSERT(decoder.decode(input) == ReadStatus::End);
            rest = std::string(input);
            CPPUNIT_ASSERT(rest.size() < chunk.size());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1000), decoder.body().size());
    }

    /// Guards against chunks that other implementations delimit differently, and against chunks
    /// past the limits.
    void malformedChunks()
    {
        HttpLimits limits;
        limits.maxBodyBytes = 100;
        for (const std::size_t partBytes : {std::size_t(1), std::size_t(100000)}) {
            for (const char *chunks : {"x\r\n", "-1\r\n", "3\nabc\r\n", "3\r\nabcd\r\n",
                                       "3\r\nabc\n", "123456789\r\n"}) {
                CPPUNIT_ASSERT_EQUAL(400, statusOf(chunkedHead + chunks, limits, partBytes));
            }
            CPPUNIT_ASSERT_EQUAL(400,
                                 statusOf(chunkedHead + std::string(2000, '0'), limits, partBytes));
            std::string trailer;
            for (int index = 0; index < 40; ++index) {
                trailer += "T: x\r\n";
            }
            CPPUNIT_ASSERT_EQUAL(400, statusOf(chunkedHead + "0\r\n" + trailer, limits, partBytes));
            CPPUNIT_ASSERT_EQUAL(413, statusOf(chunkedHead + "65\r\n", limits, partBytes));
            CPPUNIT_ASSERT_EQUAL(431,
                                 statusOf("GET / HTTP/1.1\r\nX: " + std::string(100000, 'x'),
                                          limits, partBytes));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpRequestParserTest);
