#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <stdexcept>
#include <vector>

#include "Adapters/Peers/EventLoop.h"
#include "Peers/PeerSupport.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// Descriptors that are readable once they were signalled.
class SignalDescriptors
{
public:
    explicit SignalDescriptors(std::size_t count)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_limit);
        rlimit raised = m_limit;
        raised.rlim_cur = std::min<rlim_t>(raised.rlim_max, raised.rlim_cur + count);
        ::setrlimit(RLIMIT_NOFILE, &raised);
        for (std::size_t index = 0; index < count; ++index) {
            m_descriptors.push_back(::eventfd(0, EFD_NONBLOCK));
            CPPUNIT_ASSERT(m_descriptors.back() >= 0);
        }
    }

    ~SignalDescriptors()
    {
        for (const int descriptor : m_descriptors) {
            ::close(descriptor);
        }
        ::setrlimit(RLIMIT_NOFILE, &m_limit);
    }

    SignalDescriptors(const SignalDescriptors &) = delete;
    SignalDescriptors &operator=(const SignalDescriptors &) = delete;

    void watch(EventLoop &loop, const std::function<void()> &onSignal) const
    {
        for (const int descriptor : m_descriptors) {
            loop.watch(descriptor, EPOLLIN, [descriptor, onSignal](std::uint32_t) {
                std::uint64_t value = 0;
                (void)!::read(descriptor, &value, sizeof value);
                onSignal();
            });
        }
    }

    void signalAll() const
    {
        const std::uint64_t one = 1;
        for (const int descriptor : m_descriptors) {
            (void)!::write(descriptor, &one, sizeof one);
        }
    }

private:
    rlimit m_limit{};
    std::vector<int> m_descriptors;
};

void waitUntilAfter(SteadyTimeMs time)
{
    while (steadyTimeNow() <= time) { }
}

} // namespace

class EventLoopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventLoopTest);
    CPPUNIT_TEST(unexpectedErrors);
    CPPUNIT_TEST(timeoutsAfterInput);
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

    /// Guards against a time-out that comes before input which had arrived in time, because the
    /// loop was busy or more descriptors were ready than one wait returns.
    void timeoutsAfterInput()
    {
        constexpr std::int64_t timeoutMs = 20;
        Signal signal;
        std::size_t handled = 0;
        std::optional<std::size_t> handledAtTimeout;
        const auto onTimeout = [&] { signal.change([&] { handledAtTimeout = handled; }); };
        const auto timedOut = [&] { return handledAtTimeout.has_value(); };
        section("input that arrived while a task kept the loop busy", [&] {
            const SignalDescriptors descriptors(1);
            EventLoop loop;
            loop.start();
            loop.runAndWait([&] {
                descriptors.watch(loop, [&] { ++handled; });
                loop.startTimeout(Milliseconds(timeoutMs), onTimeout);
                const SteadyTimeMs startedAt = steadyTimeNow();
                descriptors.signalAll();
                waitUntilAfter(startedAt + timeoutMs);
            });
            CPPUNIT_ASSERT(signal.waitFor(timedOut));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), *handledAtTimeout);
            loop.stop();
        });
        section("on more descriptors than one wait returns", [&] {
            constexpr std::size_t count = 3000;
            handled = 0;
            handledAtTimeout.reset();
            const SignalDescriptors descriptors(count);
            EventLoop loop;
            loop.start();
            loop.runAndWait([&] {
                descriptors.watch(loop, [&] { ++handled; });
                loop.startTimeout(Milliseconds(timeoutMs), onTimeout);
                const SteadyTimeMs startedAt = steadyTimeNow();
                descriptors.signalAll();
                waitUntilAfter(startedAt + timeoutMs);
            });
            CPPUNIT_ASSERT(signal.waitFor(timedOut));
            CPPUNIT_ASSERT_EQUAL(count, *handledAtTimeout);
            loop.stop();
        });
        section("descriptors that are always ready delay neither timers nor time-outs for long",
                [&] {
                    constexpr std::size_t count = 2500;
                    const SignalDescriptors descriptors(count);
                    EventLoop loop;
                    loop.start();
                    handledAtTimeout.reset();
                    bool timerRan = false;
                    handled = 0;
                    loop.runAndWait([&] {
                        descriptors.watch(loop, [&] {
                            ++handled;
                            if (handled % count == 0) {
                                descriptors.signalAll();
                            }
                        });
                        descriptors.signalAll();
                        loop.startTimer(Milliseconds(0),
                                        [&] { signal.change([&] { timerRan = true; }); });
                        loop.startTimeout(Milliseconds(0), onTimeout);
                    });
                    CPPUNIT_ASSERT(signal.waitFor([&] { return timerRan && timedOut(); }));
                    loop.stop();
                });
        section("a cancelled time-out does not run", [&] {
            EventLoop loop;
            loop.start();
            handledAtTimeout.reset();
            bool later = false;
            loop.runAndWait([&] {
                loop.cancelTimer(loop.startTimeout(Milliseconds(1), onTimeout));
                loop.startTimeout(Milliseconds(2), [&] { signal.change([&] { later = true; }); });
            });
            CPPUNIT_ASSERT(signal.waitFor([&] { return later; }));
            CPPUNIT_ASSERT(!handledAtTimeout);
            loop.stop();
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);
