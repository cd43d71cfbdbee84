#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "Adapters/Disk/DiskLogStorage.h"
#include "Program/GatewayInstance.h"
#include "Runtime/JobService.h"
#include "Runtime/RelayedWorkerCalls.h"
#include "Runtime/WorkerCallRelay.h"

namespace dandelionloom {

struct ControlSettings
{
    PeerNetworkSettings peers;
    /// Listen address of the API for workers and operators.
    std::string controlAddress;
    std::string metricsAddress;
    MachineLimits machine;
    std::string dataFolder;
    /// True only on the first start of the whole system; allows the instance to form a new group.
    bool bootstrap = false;
    /// Number of control instances that may fail at the same time.
    std::size_t toleratedFailures = 1;
    /// Time after which the successor of a lost or removed instance must be able to take its place.
    std::int64_t catchUpMs = 4000;
    JobServiceOptions service;
    /// How long stop() waits for pending requests.
    std::int64_t shutdownTimeoutMs = 0;
};

/// Clients of other services. They run on the instance's event loop.
struct OutgoingClients
{
    std::unique_ptr<WorkerCalls> workers;
    std::unique_ptr<InstanceProvider> instances;
};
using OutgoingClientsFactory = std::function<OutgoingClients(EventLoop &loop)>;

/// A process with a disk: replicates the job journal, serves workers and operators, and schedules
/// jobs while it is the leader.
class ControlInstance
{
public:
    ControlInstance(ControlSettings settings, JobProtocol &protocol, JsonLineLog &log,
                    std::function<void(const std::string &)> onFatal);
    ~ControlInstance();
    ControlInstance(const ControlInstance &) = delete;
    ControlInstance &operator=(const ControlInstance &) = delete;

    Result<Done, StartError> start(const OutgoingClientsFactory &factory);
    void addControlInstances(const std::vector<std::string> &names);
    /// Passes the vote in the journal on and drains pending requests, both within
    /// ControlSettings::shutdownTimeoutMs.
    void stop();

private:
    void setPeerHandlers();
    JournalEvents journalEvents();
    void handleRequest(const HttpRequest &request, const EventedHttpServer::Respond &respond);
    void addPeer(const std::string &name);
    void onStatus(const JournalStatus &status);
    void passVoteOn();
    void tick();

    const ControlSettings m_settings;
    JobProtocol &m_protocol;
    JsonLineLog &m_log;
    const std::function<void(const std::string &)> m_onFatal;
    PrometheusMetrics m_metrics;
    ClosedConnections m_closedConnections;
    EventLoop m_loop;
    std::unique_ptr<Http2PeerTransport> m_transport;
    std::unique_ptr<DiskLogStorage> m_storage;
    OutgoingClients m_outgoingClients;
    std::unique_ptr<RelayedWorkerCalls> m_workerCalls;
    std::unique_ptr<WorkerCallRelay> m_relay;
    std::unique_ptr<JobService> m_service;
    std::unique_ptr<ReplicatedJournal> m_journal;
    std::unique_ptr<LeaderClient> m_leaderClient;
    std::unique_ptr<EventedHttpServer> m_controlServer;
    std::unique_ptr<EventedHttpServer> m_metricsServer;
    std::uint64_t m_requestCount = 0;
    std::set<std::string> m_knownPeers;
};

} // namespace dandelionloom
