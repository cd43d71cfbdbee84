#include "Program/EntryInstance.h"

#include <algorithm>
#include <fstream>
#include <random>

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include "Adapters/Disk/DiskLogStorage.h"
#include "Adapters/Http/CallerServer.h"
#include "Adapters/Http/EndpointServer.h"
#include "Adapters/Http/HttpEndpointClient.h"
#include "Adapters/Http/OperatorServer.h"
#include "Adapters/Http/PlatformClient.h"
#include "Adapters/Logging/JsonDecisionLog.h"
#include "Adapters/Metrics/PrometheusMetrics.h"
#include "Adapters/Peers/Http2PeerTransport.h"
#include "Program/ListenerLimits.h"
#include "Runtime/AnnouncementIntake.h"
#include "Runtime/AttemptRunner.h"
#include "Runtime/ClaimBatcher.h"
#include "Runtime/Controller.h"
#include "Runtime/DemandExchange.h"
#include "Runtime/EndpointSync.h"
#include "Runtime/EndpointTable.h"
#include "Runtime/FairQueue.h"
#include "Runtime/Gateway.h"
#include "Runtime/InstanceRegistrar.h"
#include "Runtime/KeyedRequests.h"
#include "Runtime/Replica.h"
#include "Runtime/SettleQueue.h"

namespace dandelionloom {

namespace {

/// How often expired leases are removed and metrics refreshed.
constexpr Milliseconds periodicTaskInterval{1000};

/// The process incarnation: wall time at the start, so that it increases with every start without
/// being stored. An instance cannot start twice within a millisecond.
std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(wallTimeNow());
}

// Shares of the machine. The descriptors that remain are for the connections to endpoints, the
// memory that remains for the program and the requests that wait for endpoints.
constexpr ListenerShare callerShare{40, 20, 0, 0};
constexpr ListenerShare endpointShare{15, 3, 0, 0};
constexpr ListenerShare operatorShare{5, 5, 0, 0};
constexpr PeerShare peerShare{10, 12};

MachineLimits machineLimits(const LimitSettings &settings)
{
    return {settings.memoryMb, settings.maxOpenFiles};
}

/// Limits a listener to its share, which always covers two whole requests.
HttpLimits limitToShare(const HttpLimits &limits, const LimitSettings &settings,
                        const ListenerShare &share)
{
    HttpLimits limited = limitToMachine(limits, machineLimits(settings), share);
    limited.maxBufferedBytes = std::max(
            limited.maxBufferedBytes,
            2 * (limits.maxBodyBytes + limits.maxHeaderBytes + limits.maxRequestLineBytes));
    return limited;
}

HttpLimits callerLimits(const LimitSettings &settings)
{
    HttpLimits limits;
    limits.maxRequestLineBytes = settings.requestLineBytes;
    limits.maxHeaderBytes = settings.headerBytes;
    limits.maxHeaderCount = settings.headerCount;
    limits.maxBodyBytes = settings.bodyBytes;
    limits.headTimeout = settings.readTimeout;
    limits.bodyTimeout = settings.readTimeout;
    limits.maxConnections = settings.callerConnections;
    return limitToShare(limits, settings, callerShare);
}

ReplicaOptions replicaOptions(const Settings &settings)
{
    ReplicaOptions options;
    options.name = settings.instance.name;
    options.availabilityZone = settings.instance.availabilityZone;
    options.group = settings.cluster.group;
    for (const PeerSettings &peer : settings.peers) {
        if (peer.name != settings.instance.name) {
            options.peers.push_back({peer.name, peer.availabilityZone, peer.voter});
        }
    }
    options.heartbeatMs = settings.timing.heartbeat.count();
    options.electionMinMs = settings.timing.electionTimeoutMin.count();
    options.electionMaxMs = settings.timing.electionTimeoutMax.count();
    options.compactBytes = settings.storage.compactAfterBytes;
    options.compactEntries = settings.storage.compactAfterEntries;
    options.maxCommandBytes = settings.limits.entryBytes;
    options.seed = std::random_device{}();
    return options;
}

std::vector<PeerAddress> peerAddresses(const Settings &settings)
{
    std::vector<PeerAddress> addresses;
    for (const PeerSettings &peer : settings.peers) {
        addresses.push_back({peer.name, peer.availabilityZone, peer.address});
    }
    return addresses;
}

std::vector<std::string> peerNames(const Settings &settings)
{
    std::vector<std::string> names;
    for (const PeerSettings &peer : settings.peers) {
        if (peer.name != settings.instance.name) {
            names.push_back(peer.name);
        }
    }
    return names;
}

/// The first credential of a file, with which this process authenticates itself.
std::string ownCredential(const std::string &path)
{
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        const auto separator = line.find(' ');
        if (!line.empty() && line.front() != '#' && separator != std::string::npos) {
            return line.substr(separator + 1);
        }
    }
    return {};
}

ControllerOptions controllerOptions(const Settings &settings)
{
    ControllerOptions options;
    options.listsLease = settings.timing.listsLease;
    options.lifecycle.provingMs = settings.timing.proving.count();
    options.lifecycle.failureDelayMs = 2 * settings.timing.endpointLease.count();
    options.pools.weights = {settings.weights.buffer, settings.weights.shortWait,
                             settings.weights.rollOutTime, settings.weights.moves};
    options.pools.capacity.drainMs = settings.timing.drainLimit.count();
    return options;
}

std::unique_ptr<LogStorage> makeStorage(const Settings &settings)
{
    if (!settings.instance.dataFolder) {
        return nullptr;
    }
    DiskLogOptions options;
    options.folder = *settings.instance.dataFolder;
    options.clusterId = settings.cluster.id;
    options.group = settings.cluster.group;
    return std::make_unique<DiskLogStorage>(std::move(options));
}

std::unique_ptr<Platform> makePlatform(const Settings &settings)
{
    if (!settings.platform.url) {
        return nullptr;
    }
    PlatformClientOptions options;
    options.address = Poco::URI(*settings.platform.url).getAuthority();
    if (!settings.platform.credentialFile.empty()) {
        options.credential = ownCredential(settings.platform.credentialFile);
    }
    return std::make_unique<PlatformClient>(options);
}

} // namespace

/// Members are destroyed in reverse order of their declaration, so that listeners end before the
/// objects that they use.
struct EntryInstance::Components
{
    Components(const Settings &settings, std::unique_ptr<JsonDecisionLog> openedLog,
               std::unique_ptr<LogStorage> openedStorage, Credentials callerCredentials,
               Credentials endpointCredentials, OperatorCredentials operatorCredentials,
               std::function<void(const std::string &)> onFatal)
        : log(std::move(openedLog)),
          storage(std::move(openedStorage)), identity{settings.instance.name, newIncarnation()},
          store(settings.cluster.group),
          transport(
                  peerIdentity(settings), settings.listen.peers, peerAddresses(settings),
                  limitToMachine(PeerTransportOptions{}, machineLimits(settings.limits), peerShare),
                  *log, metrics),
          replica(replicaOptions(settings), storage.get(), transport, store, *log, metrics,
                  std::move(onFatal)),
          table(tableOptions(settings)), client({}), queue(queueOptions(settings), table, store),
          registrar({}, replica, *log),
          announcementIntake(settings.instance.name, table, store, queue, client, registrar),
          endpointSync(endpointSyncOptions(settings), announcementIntake, table, transport, metrics,
                       [this](const std::string &service) { queue.endpointsChanged(service); }),
          demandExchange(demandExchangeOptions(settings), transport,
                         [this] { return queue.demandReport(); }),
          settlements({}, replica, *log, metrics), claims({}, replica, settlements),
          runner(runnerOptions(settings), queue, client, *log, metrics),
          keyedRequests(identity, gatewayGonePredicate(), claims, settlements, runner, *log),
          gateway({identity, settings.timing.listsLease}, replica, runner, keyedRequests, *log,
                  metrics),
          platform(makePlatform(settings)),
          controller({replica, platform.get(), endpointRecords(),
                      [this] { return demandExchange.regionDemand(); }, *log, metrics},
                     controllerOptions(settings)),
          callerServer(settings.listen.callers, callerLimits(settings.limits),
                       std::move(callerCredentials), gateway),
          endpointServer(settings.listen.endpoints,
                         limitToShare(endpointServerLimits(), settings.limits, endpointShare),
                         std::move(endpointCredentials), endpointSync),
          operatorServer(operatorOptions(settings, std::move(operatorCredentials)),
                         {replica, *log, endpointRecords(), waveExplanations(),
                          [this] { return metrics.render(); }})
    { }

    PeerIdentity peerIdentity(const Settings &settings) const
    {
        PeerIdentity self;
        self.clusterId = settings.cluster.id;
        self.group = settings.cluster.group;
        self.name = settings.instance.name;
        self.incarnation = identity.incarnation;
        self.credential = ownCredential(settings.credentials.peersFile);
        return self;
    }

    bool listsAreStale(const Settings &settings) const
    {
        const LogStatus status = replica.status();
        return !status.ready || status.quorumContactAgeMs < 0
                || status.quorumContactAgeMs > settings.timing.listsLease.count();
    }

    FairQueueOptions queueOptions(const Settings &settings)
    {
        FairQueueOptions options;
        options.availabilityZone = settings.instance.availabilityZone;
        options.seed = std::random_device{}();
        options.admission.queueLength = settings.limits.queueLength;
        options.longShareOfEndpoint = settings.limits.longWorkPercent / 100.0;
        options.allowanceShare = [this](const std::string &plan) {
            return demandExchange.allowanceShare(plan);
        };
        options.slotShare = [this](const Announcement &announcement) {
            return demandExchange.slotShare(announcement);
        };
        options.ownZoneOnly = [this, settings] { return listsAreStale(settings); };
        return options;
    }

    EndpointSyncOptions endpointSyncOptions(const Settings &settings) const
    {
        EndpointSyncOptions options;
        options.self = identity.name;
        options.incarnation = identity.incarnation;
        options.peers = peerNames(settings);
        options.digestInterval = settings.timing.digestInterval;
        // Copies of an owner's records outlive two lost digests.
        options.copyLease = 2 * settings.timing.digestInterval + Milliseconds(2000);
        return options;
    }

    DemandExchangeOptions demandExchangeOptions(const Settings &settings) const
    {
        DemandExchangeOptions options;
        options.self = identity.name;
        options.peers = peerNames(settings);
        const auto zoneGatewayCount = std::count_if(
                settings.peers.begin(), settings.peers.end(), [&](const PeerSettings &peer) {
                    return peer.availabilityZone == settings.instance.availabilityZone;
                });
        options.zoneShare =
                static_cast<double>(zoneGatewayCount) / static_cast<double>(settings.peers.size());
        options.listsAreStale = [this, settings] { return listsAreStale(settings); };
        return options;
    }

    static OperatorServerOptions operatorOptions(const Settings &settings,
                                                 OperatorCredentials credentials)
    {
        OperatorServerOptions options;
        options.address = settings.listen.operators;
        options.instanceName = settings.instance.name;
        options.credentials = std::move(credentials);
        options.limits = settings.limits;
        options.maxBufferedBytes =
                limitToShare(callerLimits(settings.limits), settings.limits, operatorShare)
                        .maxBufferedBytes;
        options.defaultDrainLimit = settings.timing.drainLimit;
        return options;
    }

    static EndpointTableOptions tableOptions(const Settings &settings)
    {
        EndpointTableOptions options;
        options.self = settings.instance.name;
        options.lease = settings.timing.endpointLease;
        return options;
    }

    static AttemptRunnerOptions runnerOptions(const Settings &settings)
    {
        AttemptRunnerOptions options;
        options.budget.tokensPerRequest = settings.limits.retryPercent / 100.0;
        return options;
    }

    /// A process with this instance's name and a lower incarnation has ended.
    IsGatewayGone gatewayGonePredicate() const
    {
        return [this](const std::string &name, std::uint64_t incarnation) {
            return name == identity.name && incarnation < identity.incarnation;
        };
    }

    std::function<std::vector<EndpointRecord>()> endpointRecords() const
    {
        return [this] {
            std::vector<EndpointRecord> records;
            for (const auto &record : table.all()) {
                records.push_back(*record);
            }
            return records;
        };
    }

    std::function<std::vector<WaveExplanation>(const std::string &)> waveExplanations() const
    {
        return [this](const std::string &wave) {
            std::vector<WaveExplanation> explanations;
            for (const WaveTargetStatus &target : controller.explainWave(wave)) {
                explanations.push_back({target.instance, target.phase, target.reason});
            }
            return explanations;
        };
    }

    std::unique_ptr<JsonDecisionLog> log;
    PrometheusMetrics metrics;
    std::unique_ptr<LogStorage> storage;
    GatewayIdentity identity;
    StateStore store;
    Http2PeerTransport transport;
    Replica replica;
    EndpointTable table;
    HttpEndpointClient client;
    FairQueue queue;
    InstanceRegistrar registrar;
    AnnouncementIntake announcementIntake;
    EndpointSync endpointSync;
    DemandExchange demandExchange;
    SettleQueue settlements;
    ClaimBatcher claims;
    AttemptRunner runner;
    KeyedRequests keyedRequests;
    Gateway gateway;
    std::unique_ptr<Platform> platform;
    Controller controller;
    CallerServer callerServer;
    EndpointServer endpointServer;
    OperatorServer operatorServer;
};

EntryInstance::EntryInstance() = default;

Result<std::unique_ptr<EntryInstance>, EntryStartError>
EntryInstance::start(const Settings &settings, std::function<void(const std::string &)> onFatal)
{
    EntryStartError error;
    auto log =
            JsonDecisionLog::open(settings.instance.name, settings.log.severity, settings.log.file);
    auto callers = Credentials::fromFile(settings.credentials.callersFile);
    auto endpoints = Credentials::fromFile(settings.credentials.endpointsFile);
    auto operators = OperatorCredentials::read(settings.credentials.operatorsFile);
    if (!isOk(log)) {
        error.faults.push_back(errorOf(log).message);
    }
    for (const auto *credentials : {&callers, &endpoints}) {
        if (!isOk(*credentials)) {
            error.faults.push_back(errorOf(*credentials).message);
        }
    }
    if (!isOk(operators)) {
        const auto &faults = errorOf(operators).faults;
        error.faults.insert(error.faults.end(), faults.begin(), faults.end());
    }
    if (ownCredential(settings.credentials.peersFile).empty()) {
        error.faults.push_back(settings.credentials.peersFile
                               + ": expected a line \"name credential\", found none");
    }
    if (!error.faults.empty()) {
        return error;
    }
    std::unique_ptr<EntryInstance> instance(new EntryInstance);
    try {
        instance->m_components = std::make_unique<Components>(
                settings, takeValue(std::move(log)), makeStorage(settings),
                takeValue(std::move(callers)), takeValue(std::move(endpoints)),
                takeValue(std::move(operators)), std::move(onFatal));
    } catch (const Poco::Exception &exception) {
        return EntryStartError{{"cannot listen: " + exception.displayText()}};
    }
    Components &components = *instance->m_components;
    const auto opened = components.replica.open();
    if (!isOk(opened)) {
        return EntryStartError{{errorOf(opened).message}};
    }
    const auto transport = components.transport.start();
    if (!isOk(transport)) {
        return EntryStartError{{errorOf(transport).message}};
    }
    components.replica.start();
    components.endpointSync.start();
    components.demandExchange.start();
    components.controller.start();
    const auto operatorServer = components.operatorServer.start();
    if (!isOk(operatorServer)) {
        return EntryStartError{{errorOf(operatorServer).message}};
    }
    components.endpointServer.start();
    components.callerServer.start();
    instance->m_periodicThread = std::thread([self = instance.get()] { self->runPeriodicTasks(); });
    components.log->event(LogSeverity::Info, "program", "entry instance started");
    return instance;
}

EntryInstance::~EntryInstance()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stopCondition.notify_all();
    if (m_periodicThread.joinable()) {
        m_periodicThread.join();
    }
    if (!m_components) {
        return;
    }
    // Callers first: their running requests still need the replicated log to settle their claims.
    m_components->callerServer.stop();
    m_components->endpointServer.stop();
    m_components->operatorServer.stop();
    m_components->controller.stop();
    m_components->demandExchange.stop();
    m_components->endpointSync.stop();
    m_components->replica.stop();
    m_components->transport.stop();
}

void EntryInstance::runPeriodicTasks()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopCondition.wait_for(lock, periodicTaskInterval, [this] { return m_stopping; })) {
        lock.unlock();
        m_components->announcementIntake.expire();
        const LogStatus status = m_components->replica.status();
        m_components->metrics.gauge("dandelionloom_lists_revision", {},
                                    static_cast<double>(m_components->store.lists()->revision));
        m_components->metrics.gauge("dandelionloom_quorum_contact_age_milliseconds", {},
                                    static_cast<double>(status.quorumContactAgeMs));
        lock.lock();
    }
}

} // namespace dandelionloom
