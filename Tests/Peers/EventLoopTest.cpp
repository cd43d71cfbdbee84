#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <stdexcept>

#include <sys/epoll.h>

#include "Adapters/Peers/EventLoop.h"
#include "Peers/PeerSupport.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

class EventLoopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventLoopTest);
    CPPUNIT_TEST(unexpectedErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against one unexpected error that ends the process, and against an event loop that
    /// does nothing any more after it.
    void unexpectedErrors()
    {
        LogRecorder log;
        Signal signal;
        EventLoop loop;
        loop.setErrorHandler(errorLogger(log));
        loop.start();
        section("in a posted task", [&] {
            loop.post([] { throw std::runtime_error("posted"); });
            CPPUNIT_ASSERT(log.waitForLine("unexpected error: posted"));
        });
        section("in a timer", [&] {
            loop.post([&] {
                loop.startTimer(Milliseconds(1), [] { throw std::runtime_error("timer"); });
            });
            CPPUNIT_ASSERT(log.waitForLine("unexpected error: timer"));
        });
        section("in the callback of a watch, once, although its event stays", [&] {
            int pipeEnds[2];
            CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipeEnds));
            CPPUNIT_ASSERT_EQUAL(ssize_t{1}, ::write(pipeEnds[1], "x", 1));
            loop.runAndWait([&] {
                loop.watch(pipeEnds[0], EPOLLIN,
                           [](std::uint32_t) { throw std::runtime_error("watch"); });
            });
            CPPUNIT_ASSERT(log.waitForLine("unexpected error: watch"));
            for (int round = 0; round < 10; ++round) {
                loop.runAndWait([] {});
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.count("unexpected error: watch"));
            ::close(pipeEnds[0]);
            ::close(pipeEnds[1]);
        });
        section("the caller of runAndWait() gets the error", [&] {
            CPPUNIT_ASSERT_THROW(loop.runAndWait([] { throw std::runtime_error("waiting"); }),
                                 std::runtime_error);
        });
        section("later tasks run", [&] {
            bool ran = false;
            loop.post([&] { signal.change([&] { ran = true; }); });
            CPPUNIT_ASSERT(signal.waitFor([&] { return ran; }));
        });
        loop.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);
