#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

#include "Adapters/Logging/JsonLineLog.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

/// A pipe that is read only when the test calls readAll().
struct Pipe
{
    Pipe()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe2(ends.data(), O_CLOEXEC));
        reader = ends[0];
        writer = ends[1];
        ::fcntl(reader, F_SETFL, O_NONBLOCK);
    }

    ~Pipe()
    {
        ::close(reader);
        ::close(writer);
    }

    std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        for (;;) {
            const ssize_t count = ::read(reader, buffer.data(), buffer.size());
            if (count <= 0) {
                return text;
            }
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

    int reader = -1;
    int writer = -1;
};

} // namespace

class JsonLineLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonLineLogTest);
    CPPUNIT_TEST(lineContent);
    CPPUNIT_TEST(slowReaderDropsLines);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against lines that are not valid JSON or lack a field.
    void lineContent()
    {
        Pipe pipe;
        JsonLineLog log("10.0.0.1", pipe.writer);
        log.line(LogSeverity::Info, "place",
                 {{"task", "a\"b"}, {"empty", ""}, {"input_age_ms", std::int64_t(12)}});
        log.flush();
        const std::string text = pipe.readAll();
        CPPUNIT_ASSERT(
                text.find("\"event\":\"place\",\"instance\":\"10.0.0.1\",\"task\":\"a\\\"b\","
                          "\"input_age_ms\":12}\n")
                != std::string::npos);
    }

    /// Guards against a process that blocks on a slow reader of its log, and against an unbounded
    /// buffer.
    void slowReaderDropsLines()
    {
        Pipe pipe;
        JsonLineLog log("10.0.0.1", pipe.writer);
        constexpr int lineCount = 20000;
        for (int line = 0; line < lineCount; ++line) {
            log.line(LogSeverity::Info, "place", {{"task", "5c0e7a21d94b36f8.0.1.17"}});
        }
        CPPUNIT_ASSERT(log.droppedLines() > 0);
        section("written and dropped lines add up once the reader has caught up", [&] {
            std::string text;
            for (std::string output = pipe.readAll(); !output.empty(); output = pipe.readAll()) {
                text += output;
                log.flush();
            }
            const auto written = std::count(text.begin(), text.end(), '\n');
            CPPUNIT_ASSERT_EQUAL(std::int64_t(lineCount),
                                 written + static_cast<std::int64_t>(log.droppedLines()));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonLineLogTest);
