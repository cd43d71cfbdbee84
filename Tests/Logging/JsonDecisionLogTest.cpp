#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <sstream>
#include <thread>
#include <vector>

#include <Poco/JSON/Parser.h>

#include "Adapters/Json/JsonWriter.h"
#include "Adapters/Logging/JsonDecisionLog.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

/// Removes the time from the start of a log line, after checking that it has the expected length.
std::string withoutTime(const std::string &line)
{
    const std::string expectedStart = "{\"time\":\"2026-01-31T23:59:59.999Z\",";
    CPPUNIT_ASSERT(line.size() > expectedStart.size());
    CPPUNIT_ASSERT_EQUAL(std::string("{\"time\":\""), line.substr(0, 9));
    CPPUNIT_ASSERT_EQUAL(std::string("Z\","), line.substr(expectedStart.size() - 3, 3));
    return line.substr(expectedStart.size());
}

std::string jsonString(const std::string &text)
{
    std::string result;
    appendJsonString(result, text);
    return result;
}

} // namespace

class JsonDecisionLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonDecisionLogTest);
    CPPUNIT_TEST(lineContent);
    CPPUNIT_TEST(escaping);
    CPPUNIT_TEST(concurrentWriters);
    CPPUNIT_TEST(missingLogFile);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against lines that can't be attributed to a process and a decision.
    void lineContent()
    {
        const auto target = std::make_shared<std::ostringstream>();
        const auto otherTarget = std::make_shared<std::ostringstream>();
        JsonDecisionLog log("entry-a1", LogSeverity::Info, target);
        const JsonDecisionLog other("entry-b1", LogSeverity::Info, otherTarget);
        section("empty fields of a decision are omitted", [&] {
            Decision decision;
            decision.kind = DecisionKind::Shed;
            decision.request = "r1";
            decision.reason = "queue-full";
            decision.listsRevision = 7;
            log.write(decision);
            CPPUNIT_ASSERT_EQUAL(
                    std::string("\"severity\":\"info\",\"component\":\"decision\","
                                "\"entry_instance\":\"entry-a1\",\"decision\":\"shed\","
                                "\"request\":\"r1\",\"reason\":\"queue-full\","
                                "\"lists_revision\":7}\n"),
                    withoutTime(target->str()));
        });
        section("an event below the minimum severity is not written", [&] {
            target->str("");
            log.event(LogSeverity::Debug, "replica", "tick");
            CPPUNIT_ASSERT_EQUAL(std::string(), target->str());
            log.event(LogSeverity::Warning, "replica", "no quorum");
            CPPUNIT_ASSERT_EQUAL(std::string("\"severity\":\"warning\",\"component\":\"replica\","
                                             "\"entry_instance\":\"entry-a1\","
                                             "\"message\":\"no quorum\"}\n"),
                                 withoutTime(target->str()));
        });
        section("lines are not written to another log of the process",
                [&] { CPPUNIT_ASSERT_EQUAL(std::string(), otherTarget->str()); });
        section("time is in UTC with milliseconds", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("1970-01-01T00:00:00.000Z"), formatUtcTime(0));
            CPPUNIT_ASSERT_EQUAL(std::string("2026-01-31T23:59:59.009Z"),
                                 formatUtcTime(1769903999009));
            CPPUNIT_ASSERT_EQUAL(std::string("1969-12-31T23:59:59.999Z"), formatUtcTime(-1));
        });
    }

    /// Guards against log injection: untrusted bytes that break a line or add another one.
    void escaping()
    {
        section("control characters, quotes and backslashes", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string(R"("a\"b\\c\nd\u0000\u001b\u007f")"),
                                 jsonString(std::string("a\"b\\c\nd\0\x1b\x7f", 10)));
        });
        section("valid UTF-8 passes", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("\"Söhne € 🌼\""), jsonString("Söhne € 🌼"));
        });
        section("invalid UTF-8 is replaced by the replacement character", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string(R"("\ufffdx")"), jsonString("\xffx"));
            CPPUNIT_ASSERT_EQUAL(std::string(R"("\ufffd\ufffd")"), jsonString("\xc0\xaf"));
            CPPUNIT_ASSERT_EQUAL(std::string(R"("\ufffd\ufffd\ufffd")"),
                                 jsonString("\xed\xa0\x80"));
            CPPUNIT_ASSERT_EQUAL(std::string(R"("\ufffd")"), jsonString("\xe2"));
        });
        section("each single byte between two letters gives a valid document", [&] {
            for (int byte = 0; byte < 256; ++byte) {
                const std::string text = {'x', static_cast<char>(byte), 'y'};
                Poco::JSON::Parser parser;
                CPPUNIT_ASSERT_NO_THROW(parser.parse("[" + jsonString(text) + "]"));
            }
        });
    }

    /// Guards against interleaved lines of concurrent writers.
    void concurrentWriters()
    {
        constexpr int threadCount = 4;
        constexpr int linesPerThread = 200;
        const auto target = std::make_shared<std::ostringstream>();
        {
            JsonDecisionLog log("entry-a1", LogSeverity::Info, target);
            std::vector<std::thread> threads;
            for (int index = 0; index < threadCount; ++index) {
                threads.emplace_back([&log] {
                    for (int line = 0; line < linesPerThread; ++line) {
                        log.event(LogSeverity::Info, "writer", "one whole line");
                    }
                });
            }
            for (std::thread &thread : threads) {
                thread.join();
            }
        }
        std::istringstream output(target->str());
        int count = 0;
        for (std::string line; std::getline(output, line); ++count) {
            CPPUNIT_ASSERT(line.ends_with("\"message\":\"one whole line\"}"));
        }
        CPPUNIT_ASSERT_EQUAL(threadCount * linesPerThread, count);
    }

    /// Guards against a process that runs without its configured log file.
    void missingLogFile()
    {
        const auto log = JsonDecisionLog::open("entry-a1", LogSeverity::Info, "/nonexistent/log");
        CPPUNIT_ASSERT_EQUAL(std::string("/nonexistent/log: expected a log file that can be "
                                         "appended to, found: No such file or directory"),
                             errorOf(log).message);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonDecisionLogTest);
