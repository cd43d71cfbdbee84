#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "Adapters/Metrics/PrometheusMetrics.h"
#include "Adapters/Peers/PeerSockets.h"
#include "Peers/PeerSupport.h"
#include "Program/ControlInstance.h"
#include "Support/TemporaryFolder.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::size_t instanceCount = 6;
constexpr std::size_t seedCount = 3;

/// A deployment that tolerates two failures needs five voters out of its six control instances.
constexpr std::size_t toleratedFailures = 2;

/// Elections, probes and two voter changes take about 2 s.
constexpr Milliseconds admissionLimit{20000};

class RejectingJobProtocol : public JobProtocol
{
public:
    std::variant<TimedJobCall, HttpResponse> decode(const HttpRequest &) override
    {
        return HttpResponse{404, {}, {}};
    }
    HttpResponse encode(const JobCall &, const JobCallAnswer &) override { return {404, {}, {}}; }
};

class UnreachableWorkers : public WorkerCalls
{
public:
    void renew(const RenewOrder &, std::uint64_t, RenewCallback done) override
    {
        done(CallFault::NotSent);
    }
    void start(const StartOrder &, std::uint64_t, OrderCallback done) override
    {
        done(CallFault::NotSent);
    }
    void stop(const StopOrder &, std::uint64_t, OrderCallback done) override
    {
        done(CallFault::NotSent);
    }
    void pace(const PaceOrder &, std::uint64_t, OrderCallback done) override
    {
        done(CallFault::NotSent);
    }
    void advise(const AdviceOrder &, AdviseCallback done) override { done(std::nullopt); }
};

class UnreachableInstanceProvider : public InstanceProvider
{
public:
    void list(ListCallback done) override { done(InstanceFault::NotSent); }
    void beginMaintenance(const std::string &, std::uint64_t, const OrderAuthority &,
                          OrderCallback done) override
    {
        done(InstanceFault::NotSent);
    }
    void move(const std::string &, const std::string &, const OrderAuthority &,
              OrderCallback done) override
    {
        done(InstanceFault::NotSent);
    }
};

std::string addressOf(std::size_t index)
{
    return "127.0.1." + std::to_string(index + 1);
}

/// Returns a port that was free at the time of the call.
std::uint16_t freePort()
{
    const auto listener = listenOn(*parseSocketAddress(addressOf(0) + ":0"));
    CPPUNIT_ASSERT(isOk(listener));
    const std::uint16_t port = portOf(localAddress(valueOf(listener)));
    ::close(valueOf(listener));
    return port;
}

struct Member
{
    TemporaryFolder folder;
    RejectingJobProtocol protocol;
    JsonLineLog log{"member", STDERR_FILENO + 1000};
    std::unique_ptr<ControlInstance> instance;
};

} // namespace

class ControlInstancesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlInstancesTest);
    CPPUNIT_TEST(admitsInstancesNotInSettings);
    CPPUNIT_TEST(relayLearnsLeader);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against instances that are not named in the settings and never become voters. The
    /// journal then loses its quorum when two disks are lost (chamdakam-loom-grown trouble-2: LOST,
    /// CONFIG and RECOVER).
    void admitsInstancesNotInSettings()
    {
        const PeerNetworkSettings peers = seededPeers();
        const std::uint16_t callPort = freePort();
        const std::uint16_t metricsPort = freePort();
        std::vector<std::unique_ptr<Member>> members;
        for (std::size_t index = 0; index < instanceCount; ++index) {
            members.push_back(startMember(peers, index, callPort, metricsPort, true));
        }
        CPPUNIT_ASSERT_EQUAL(2 * toleratedFailures + 1, waitForVoterCount(peers));
    }

    /// Guards against an instance that makes calls to workers for a leader that it has no address
    /// of, as it lost its disk and its seeds know nobody: the results were dropped (TWICE).
    void relayLearnsLeader()
    {
        const PeerNetworkSettings peers = seededPeers();
        const auto relay = startMember(peers, 0, freePort(), freePort(), false);
        PeerNetworkSettings self = peers;
        self.name = addressOf(instanceCount);
        LogRecorder log;
        PrometheusMetrics metrics;
        Signal signal;
        bool returned = false;
        Http2PeerTransport leader(
                peerIdentity(self), self.name + ":" + std::to_string(peers.controlPort),
                {controlAddress(peers, addressOf(0))}, peerTransportOptions(), log, metrics);
        leader.setHandler(
                PeerMessageKind::WorkerCallResults,
                [&](const std::string &, const std::string &, const PeerTransport::Reply &reply) {
                    signal.change([&] { returned = true; });
                    reply(std::string());
                });
        CPPUNIT_ASSERT(isOk(leader.start()));
        WorkerCallBatch batch;
        batch.term = 1;
        leader.call(addressOf(0), PeerMessageKind::WorkerCalls, packMessage(batch),
                    Milliseconds(5000), [](const PeerResult &) {});
        CPPUNIT_ASSERT(signal.waitFor([&] { return returned; }));
        leader.stop();
    }

private:
    static PeerNetworkSettings seededPeers()
    {
        PeerNetworkSettings peers;
        peers.availabilityZone = "zone";
        peers.controlPort = freePort();
        peers.ownPort = peers.controlPort;
        for (std::size_t index = 0; index < seedCount; ++index) {
            peers.controlInstances.push_back(addressOf(index));
        }
        return peers;
    }

    static std::unique_ptr<Member> startMember(const PeerNetworkSettings &peers, std::size_t index,
                                               std::uint16_t callPort, std::uint16_t metricsPort,
                                               bool bootstrap)
    {
        auto member = std::make_unique<Member>();
        ControlSettings settings;
        settings.peers = peers;
        settings.peers.name = addressOf(index);
        settings.controlAddress = addressOf(index) + ":" + std::to_string(callPort);
        settings.metricsAddress = addressOf(index) + ":" + std::to_string(metricsPort);
        settings.dataFolder = member->folder.path();
        settings.bootstrap = bootstrap;
        settings.toleratedFailures = toleratedFailures;
        settings.service.name = settings.peers.name;
        member->instance = std::make_unique<ControlInstance>(
                settings, member->protocol, member->log, [](const std::string &) {});
        const auto started = member->instance->start([](EventLoop &) {
            return OutgoingClients{std::make_unique<UnreachableWorkers>(),
                                   std::make_unique<UnreachableInstanceProvider>()};
        });
        CPPUNIT_ASSERT(isOk(started));
        return member;
    }

    /// Number of voters known to the first instance. Waits until there are enough, at most for
    /// admissionLimit.
    static std::size_t waitForVoterCount(const PeerNetworkSettings &peers)
    {
        PeerNetworkSettings self = peers;
        self.name = addressOf(instanceCount);
        LogRecorder log;
        PrometheusMetrics metrics;
        Http2PeerTransport observer(peerIdentity(self), self.name + ":0",
                                    {controlAddress(peers, addressOf(0))}, peerTransportOptions(),
                                    log, metrics);
        CPPUNIT_ASSERT(isOk(observer.start()));
        Signal signal;
        std::size_t voters = 0;
        const SteadyTimeMs end = steadyTimeNow() + admissionLimit.count();
        while (voters < 2 * toleratedFailures + 1 && steadyTimeNow() < end) {
            bool answered = false;
            observer.call(addressOf(0), PeerMessageKind::Locate, {}, Milliseconds(500),
                          [&](const PeerResult &result) {
                              signal.change([&] {
                                  answered = true;
                                  if (!isOk(result)) {
                                      return;
                                  }
                                  const auto found = unpackMessage<LocateAnswer>(valueOf(result));
                                  voters = isOk(found) ? valueOf(found).voters.size() : voters;
                              });
                          });
            CPPUNIT_ASSERT(signal.waitFor([&] { return answered; }));
        }
        observer.stop();
        return voters;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlInstancesTest);
