#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Consensus/FakePeerNetwork.h"
#include "Peers/PeerSupport.h"
#include "Runtime/RelayedWorkerCalls.h"
#include "Runtime/ReplicaMessages.h"
#include "Runtime/WorkerCallRelay.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::uint64_t term = 5;

/// Records the orders that reach a worker, and answers them unless told otherwise.
class FakeWorkers : public WorkerCalls
{
public:
    explicit FakeWorkers(Signal &signal) : m_signal(signal) { }

    void renew(const RenewOrder &order, std::uint64_t, RenewCallback done) override
    {
        m_signal.change([&] { renewals.push_back(order); });
        if (answers) {
            RenewAnswer answer;
            answer.clockMs = 1234;
            answer.ended.push_back({7, {"job", 0, 0, 1}, 2, RunOutcome::Done, "checkpoint"});
            done(answer);
        } else {
            unanswered.push_back(std::move(done));
        }
    }
    void start(const StartOrder &order, std::uint64_t fence, OrderCallback done) override
    {
        m_signal.change([&] {
            starts.push_back(order);
            fences.push_back(fence);
        });
        if (answers) {
            done(fault);
        }
    }
    void stop(const StopOrder &, std::uint64_t, OrderCallback done) override { done(fault); }
    void pace(const PaceOrder &, std::uint64_t, OrderCallback done) override { done(fault); }
    void advise(const AdviceOrder &, AdviseCallback done) override { done(std::nullopt); }

    std::vector<RenewOrder> renewals;
    std::vector<RenewCallback> unanswered;
    std::vector<StartOrder> starts;
    std::vector<std::uint64_t> fences;
    std::optional<CallFault> fault;
    bool answers = true;

private:
    Signal &m_signal;
};

struct RelayMember
{
    RelayMember(FakePeerNetwork &network, Signal &signal, const std::string &name)
        : workers(signal), transport(network.transport(name)),
          relay(loop, *transport, workers, log, "zone-" + name)
    {
        transport->setHandler(PeerMessageKind::WorkerCalls,
                              [this](const std::string &from, const std::string &body,
                                     const PeerTransport::Reply &reply) {
                                  loop.post([this, from, body, reply] {
                                      relay.handle(from, body, steadyTimeNow(), reply);
                                  });
                              });
        network.setUp(name, true);
        loop.start();
    }
    ~RelayMember() { loop.stop(); }
    RelayMember(const RelayMember &) = delete;
    RelayMember &operator=(const RelayMember &) = delete;

    EventLoop loop;
    LogRecorder log;
    FakeWorkers workers;
    std::unique_ptr<PeerTransport> transport;
    WorkerCallRelay relay;
};

/// A leader with the relay "r1" in the zone of its workers, and "r2" in another one.
struct RelayFixture
{
    explicit RelayFixture(std::size_t maxDirectWorkers = 0)
    {
        options.maxDirectWorkers = maxDirectWorkers;
        makeCalls();
        transport->setHandler(PeerMessageKind::WorkerCallResults,
                              [this](const std::string &from, const std::string &body,
                                     const PeerTransport::Reply &reply) {
                                  loop.post([this, from, body] { calls->onResults(from, body); });
                                  ++resultMessages;
                                  reply(std::string());
                              });
        network.setUp("leader", true);
        loop.start();
    }
    ~RelayFixture()
    {
        loop.runAndWait([this] { calls.reset(); });
        loop.stop();
    }
    RelayFixture(const RelayFixture &) = delete;
    RelayFixture &operator=(const RelayFixture &) = delete;

    void makeCalls()
    {
        calls = std::make_unique<RelayedWorkerCalls>(
                loop, *transport, direct, log, WorkerCallTimeouts{},
                [](const std::string &) { return std::string("zone-r1"); }, options);
        calls->addRelay("r1");
        calls->addRelay("r2");
    }

    /// Replaces the leader's process.
    void restartLeader()
    {
        loop.runAndWait([this] { makeCalls(); });
    }

    /// Makes calls until a relay has carried one.
    void waitForRelay()
    {
        std::uint64_t relayed = 0;
        while (relayed == 0) {
            (void)start("probe");
            loop.runAndWait([&] { relayed = calls->relayedCalls(); });
        }
    }

    /// Starts a run and returns the fault of the call.
    std::optional<CallFault> start(const std::string &worker, std::uint64_t fence = term)
    {
        bool answered = false;
        std::optional<CallFault> result;
        loop.post([&, worker, fence] {
            calls->start({worker, "10.0.0.1:80", {"job", 0, 0, 1}, 2, "payload", 99, "saved", {}},
                         fence, [&](std::optional<CallFault> fault) {
                             signal.change([&] {
                                 result = fault;
                                 answered = true;
                             });
                         });
        });
        CPPUNIT_ASSERT(signal.waitFor([&] { return answered; }));
        return result;
    }

    Result<RenewAnswer, CallFault> renew(const std::string &worker, std::int64_t waitMs = 0)
    {
        std::optional<Result<RenewAnswer, CallFault>> result;
        loop.post([&, worker, waitMs] {
            calls->renew({worker, "10.0.0.1:80", 3, 5000, waitMs}, term,
                         [&](const Result<RenewAnswer, CallFault> &answer) {
                             signal.change([&] { result = answer; });
                         });
        });
        CPPUNIT_ASSERT(signal.waitFor([&] { return result.has_value(); }));
        return *result;
    }

    std::size_t directStarts()
    {
        std::size_t count = 0;
        signal.change([&] { count = direct.starts.size(); });
        return count;
    }

    std::vector<StartOrder> startsAt(RelayMember &relay)
    {
        std::vector<StartOrder> starts;
        relay.loop.runAndWait([&] { starts = relay.workers.starts; });
        return starts;
    }

    /// Waits until the relay has received another batch.
    void waitForProbe(const std::string &relay)
    {
        const std::size_t before = network.delivered(relay, PeerMessageKind::WorkerCalls);
        // Calls keep the leader active.
        while (network.delivered(relay, PeerMessageKind::WorkerCalls) == before) {
            (void)renew("idle");
        }
    }

    /// Sends a renewal that the first relay's worker doesn't answer.
    void renewUnanswered(const std::string &worker, const WorkerCalls::RenewCallback &done)
    {
        std::size_t before = 0;
        first.loop.runAndWait([&] {
            first.workers.answers = false;
            before = first.workers.renewals.size();
        });
        loop.post([this, worker, done] {
            calls->renew({worker, "10.0.0.1:80", 3, 5000, 1000}, term, done);
        });
        CPPUNIT_ASSERT(signal.waitFor([&] { return first.workers.renewals.size() > before; }));
        first.loop.runAndWait([&] { first.workers.answers = true; });
    }

    RelayRoutingOptions options;
    FakePeerNetwork network;
    Signal signal;
    LogRecorder log;
    FakeWorkers direct{signal};
    std::unique_ptr<PeerTransport> transport = network.transport("leader");
    EventLoop loop;
    std::unique_ptr<RelayedWorkerCalls> calls;
    /// Messages with results that have been posted to the loop.
    std::atomic<int> resultMessages{0};
    RelayMember first{network, signal, "r1"};
    RelayMember second{network, signal, "r2"};
};

} // namespace

class RelayedWorkerCallsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayedWorkerCallsTest);
    CPPUNIT_TEST(resultsOfRelayedCalls);
    CPPUNIT_TEST(relayLostBeforeCalls);
    CPPUNIT_TEST(relayLostDuringCalls);
    CPPUNIT_TEST(relayWithoutItsWorkers);
    CPPUNIT_TEST(relayWithoutReturnPath);
    CPPUNIT_TEST(relayThatReturnsNothing);
    CPPUNIT_TEST(ordersOfAnEarlierLeader);
    CPPUNIT_TEST(ordersAfterAPause);
    CPPUNIT_TEST(malformedMessages);
    CPPUNIT_TEST(resultsOfABusyLoop);
    CPPUNIT_TEST(resultsForAnEarlierProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against fields of orders and results that are lost on the way, and against a small
    /// fleet that depends on relays.
    void resultsOfRelayedCalls()
    {
        section("a start and its result pass through the relay in the worker's zone", [] {
            RelayFixture fleet;
            fleet.waitForRelay();
            CPPUNIT_ASSERT(!fleet.start("w"));
            const StartOrder &order = fleet.first.workers.starts.back();
            CPPUNIT_ASSERT_EQUAL(std::string("w"), order.worker);
            CPPUNIT_ASSERT_EQUAL(std::string("payload"), order.payload);
            CPPUNIT_ASSERT_EQUAL(std::string("saved"), order.checkpoint);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(99), order.leaseUntilMs);
            CPPUNIT_ASSERT_EQUAL(term, fleet.first.workers.fences.back());
        });
        section("the worker's refusal reaches the leader", [] {
            RelayFixture fleet;
            fleet.waitForRelay();
            fleet.first.loop.runAndWait(
                    [&] { fleet.first.workers.fault = CallFault::InsufficientCapacity; });
            CPPUNIT_ASSERT(fleet.start("w") == CallFault::InsufficientCapacity);
        });
        section("a renewal returns the worker's lists", [] {
            RelayFixture fleet;
            fleet.waitForRelay();
            const auto answer = fleet.renew("w");
            CPPUNIT_ASSERT(isOk(answer));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1234), valueOf(answer).clockMs);
            const EndedRun &ended = valueOf(answer).ended.at(0);
            CPPUNIT_ASSERT(ended.task == (TaskKey{"job", 0, 0, 1}));
            CPPUNIT_ASSERT_EQUAL(std::string("checkpoint"), ended.checkpoint);
            const RenewOrder &order = fleet.first.workers.renewals.at(0);
            CPPUNIT_ASSERT(order.leaseUntilMs == 5000);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), order.ackCursor);
        });
        section("a leader with few workers calls them itself", [] {
            RelayFixture fleet(10);
            for (int call = 0; call < 20; ++call) {
                CPPUNIT_ASSERT(!fleet.start("w" + std::to_string(call % 10)));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(20), fleet.directStarts());
        });
    }

    /// Guards against starts that are refused because a relay is down.
    void relayLostBeforeCalls()
    {
        RelayFixture fleet;
        fleet.waitForRelay();
        fleet.network.setUp("r1", false);
        fleet.network.setUp("r2", false);
        const std::size_t before = fleet.directStarts();
        CPPUNIT_ASSERT(!fleet.start("w"));
        CPPUNIT_ASSERT_EQUAL(before + 1, fleet.directStarts());
    }

    /// Guards against workers that count as silent, and calls that are held for long, when their
    /// relay ends while it makes the calls. The worker may have received them.
    void relayLostDuringCalls()
    {
        section("a long poll ends once the relay is lost, and the next one goes another way", [] {
            RelayFixture fleet;
            fleet.waitForRelay();
            fleet.first.loop.runAndWait([&] { fleet.first.workers.answers = false; });
            fleet.loop.post([&] {
                // The probes of the relay fail meanwhile.
                fleet.network.isolate("r1");
            });
            const auto answer = fleet.renew("w", 1000);
            CPPUNIT_ASSERT(!isOk(answer) && errorOf(answer) == CallFault::NoAnswer);
            CPPUNIT_ASSERT(isOk(fleet.renew("w")));
        });
        section("a start whose result is lost is reported as unanswered, not as not sent", [] {
            RelayFixture fleet;
            fleet.waitForRelay();
            fleet.network.cut("r1", "leader");
            CPPUNIT_ASSERT(fleet.start("w") == CallFault::NoAnswer);
        });
    }

    /// Guards against a worker that is given up because its relay is cut off from it.
    void relayWithoutItsWorkers()
    {
        RelayFixture fleet;
        fleet.waitForRelay();
        fleet.first.loop.runAndWait([&] { fleet.first.workers.fault = CallFault::NoAnswer; });
        CPPUNIT_ASSERT(fleet.start("w") == CallFault::NoAnswer);
        CPPUNIT_ASSERT(!fleet.start("w"));
    }

    /// Guards against relays that carry out calls whose results can't reach the leader: it took
    /// hundreds of workers for silent and started their tasks again (TWICE).
    void relayWithoutReturnPath()
    {
        section("a relay that doesn't know the leader makes no calls for it", [] {
            RelayFixture fleet;
            fleet.network.forgetAddress("r1", "leader");
            fleet.network.forgetAddress("r2", "leader");
            for (int count = 0; count < 20; ++count) {
                CPPUNIT_ASSERT(!fleet.start("w" + std::to_string(count)));
                fleet.waitForProbe("r1");
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(20), fleet.directStarts());
            CPPUNIT_ASSERT(fleet.startsAt(fleet.first).empty());
        });
        section("one that loses the leader's address is given up, and the calls go another way",
                [] {
                    RelayFixture fleet;
                    fleet.waitForRelay();
                    fleet.network.forgetAddress("r1", "leader");
                    (void)fleet.start("lost");
                    const std::size_t before = fleet.startsAt(fleet.first).size();
                    for (int count = 0; count < 10; ++count) {
                        CPPUNIT_ASSERT(!fleet.start("w" + std::to_string(count)));
                    }
                    CPPUNIT_ASSERT_EQUAL(before, fleet.startsAt(fleet.first).size());
                });
        section("it is used again once its results arrive", [] {
            RelayFixture fleet;
            fleet.network.forgetAddress("r1", "leader");
            fleet.network.forgetAddress("r2", "leader");
            CPPUNIT_ASSERT(!fleet.start("w"));
            fleet.waitForProbe("r1");
            fleet.network.heal();
            fleet.waitForRelay();
        });
    }

    /// Guards against a relay that accepts calls and never returns a result, such as one of an
    /// earlier version that can't reach the leader: each call's worker counted as silent, and the
    /// next call went the same way.
    void relayThatReturnsNothing()
    {
        RelayFixture fleet;
        fleet.waitForRelay();
        fleet.network.transport("r1")->setHandler(
                PeerMessageKind::WorkerCalls,
                [](const std::string &, const std::string &, const PeerTransport::Reply &reply) {
                    reply(packMessage(WorkerCallAck{WorkerCallReceipt::Accepted, "zone-r1"}));
                });
        CPPUNIT_ASSERT(fleet.start("lost") == CallFault::NoAnswer);
        for (int count = 0; count < 10; ++count) {
            CPPUNIT_ASSERT(!fleet.start("w" + std::to_string(count)));
        }
        CPPUNIT_ASSERT(!fleet.start("lost"));
    }

    /// Guards against two leaders whose orders both reach workers around an election.
    void ordersOfAnEarlierLeader()
    {
        RelayFixture fleet;
        fleet.waitForRelay();
        CPPUNIT_ASSERT(!fleet.start("w", term + 1));
        const std::size_t before = fleet.first.workers.starts.size();
        WorkerCallBatch batch;
        batch.term = term;
        batch.starts.push_back({1, {"w", "10.0.0.1:80", {"job", 0, 0, 2}, 1, "", 99, "", ""}});
        WorkerCallAck ack;
        fleet.first.loop.runAndWait([&] {
            fleet.first.relay.handle("old-leader", packMessage(batch), steadyTimeNow(),
                                     [&](const PeerResult &result) {
                                         ack = valueOf(
                                                 unpackMessage<WorkerCallAck>(valueOf(result)));
                                     });
        });
        CPPUNIT_ASSERT(ack.receipt == WorkerCallReceipt::OldTerm);
        CPPUNIT_ASSERT_EQUAL(before, fleet.first.workers.starts.size());
        CPPUNIT_ASSERT(fleet.start("w", term) == CallFault::Fenced);
    }

    /// Guards against a relay that was paused and then sends the orders that it had received
    /// before, although the leader has had them sent another way.
    void ordersAfterAPause()
    {
        RelayFixture fleet;
        WorkerCallBatch batch;
        batch.term = term;
        batch.starts.push_back({1, {"w", "10.0.0.1:80", {"job", 0, 0, 1}, 1, "", 99, "", ""}});
        WorkerCallAck ack;
        fleet.first.loop.runAndWait([&] {
            fleet.first.relay.handle("leader", packMessage(batch), steadyTimeNow() - 3000,
                                     [&](const PeerResult &result) {
                                         ack = valueOf(
                                                 unpackMessage<WorkerCallAck>(valueOf(result)));
                                     });
        });
        CPPUNIT_ASSERT(ack.receipt == WorkerCallReceipt::Stale);
        CPPUNIT_ASSERT(fleet.first.workers.starts.empty());
    }

    /// Guards against workers that count as silent although their results have arrived and wait for
    /// the event loop (chamdakam-loom-large scale-2: 4,747 workers were called silent).
    void resultsOfABusyLoop()
    {
        RelayFixture fleet;
        fleet.waitForRelay();
        bool answered = false;
        std::optional<CallFault> result;
        fleet.loop.runAndWait([&] {
            fleet.calls->start(
                    {"w", "10.0.0.1:80", {"job", 0, 0, 1}, 2, "payload", 99, "saved", {}}, term,
                    [&](std::optional<CallFault> fault) {
                        fleet.signal.change([&] {
                            result = fault;
                            answered = true;
                        });
                    });
        });
        // The first task sends the batch.
        fleet.loop.runAndWait([] {});
        const int before = fleet.resultMessages;
        fleet.loop.runAndWait([&] {
            const SteadyTimeMs begin = steadyTimeNow();
            const SteadyTimeMs timeout = begin + WorkerCallTimeouts{}.orderTimeoutMs + 500;
            while (steadyTimeNow() < timeout
                   || (fleet.resultMessages == before && steadyTimeNow() < begin + 10000)) { }
        });
        CPPUNIT_ASSERT(fleet.signal.waitFor([&] { return answered; }));
        CPPUNIT_ASSERT(!result);
    }

    /// Guards against a worker that is taken for another one: the results of a leader's calls from
    /// before its restart arrive after it, when calls with the same numbers wait.
    void resultsForAnEarlierProcess()
    {
        RelayFixture fleet;
        fleet.waitForRelay();
        fleet.renewUnanswered("before", [](const Result<RenewAnswer, CallFault> &) {});
        fleet.restartLeader();
        fleet.waitForRelay();
        std::optional<std::int64_t> clockMs;
        fleet.renewUnanswered("after", [&](const Result<RenewAnswer, CallFault> &answer) {
            fleet.signal.change([&] { clockMs = isOk(answer) ? valueOf(answer).clockMs : -1; });
        });
        fleet.first.loop.runAndWait([&] {
            for (std::int64_t clock = 1; const auto &done : fleet.first.workers.unanswered) {
                RenewAnswer answer;
                answer.clockMs = clock++;
                done(answer);
            }
        });
        CPPUNIT_ASSERT(fleet.signal.waitFor([&] { return clockMs.has_value(); }));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), *clockMs);
    }

    /// Guards against a malformed message that ends the process or leaves calls without an end.
    void malformedMessages()
    {
        RelayFixture fleet;
        fleet.waitForRelay();
        WorkerCallAck ack;
        fleet.first.loop.runAndWait([&] {
            fleet.first.relay.handle(
                    "leader", "\x93\x01", steadyTimeNow(), [&](const PeerResult &result) {
                        ack = valueOf(unpackMessage<WorkerCallAck>(valueOf(result)));
                    });
        });
        CPPUNIT_ASSERT(ack.receipt == WorkerCallReceipt::Unreadable);
        fleet.loop.runAndWait([&] {
            fleet.calls->onResults("r1", "\xc1");
            fleet.calls->onResults("r1", std::string(100000, '\x91'));
        });
        CPPUNIT_ASSERT(!fleet.start("w"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedWorkerCallsTest);
