#include "Program/ControlInstance.h"

#include <algorithm>
#include <thread>

namespace dandelionloom {

namespace {

constexpr Milliseconds tickInterval{100};

/// Keeps two segments and a snapshot far below the size of a 128 MB disk.
constexpr std::uint64_t segmentBytes = 4U << 20U;

HttpLimits controlLimits()
{
    HttpLimits limits;
    limits.maxConnections = 1500;
    limits.maxBodyBytes = 4 * 1024 * 1024;
    limits.headTimeout = Milliseconds(3000);
    limits.keepAliveTimeout = Milliseconds(30000);
    return limits;
}

// Shares of the machine. The descriptors that remain are for the journal, the other instances and
// the workers, the memory that remains for the program and the scheduler's state. The receive
// buffers of the control listener are left to the system, as workers report up to 4 MiB and get no
// acknowledgement after a second; only those of clients that send ahead are limited.
constexpr ListenerShare controlShare{42, 22, 0, 256 * 1024, 20};
constexpr ListenerShare metricsShare{8, 3, 3, 64 * 1024};
constexpr PeerShare peerShare{25, 12};

/// A voter that restarts or is briefly suspended keeps its vote.
constexpr std::int64_t maxUnresponsiveVoterMs = 3000;

/// Time without contact after which a voter is replaced. The last quarter of the time to catch up
/// is for the change itself.
std::int64_t unresponsiveVoterTimeoutMs(const ControlSettings &settings)
{
    return std::min(maxUnresponsiveVoterMs, settings.catchUpMs * 3 / 4);
}

} // namespace

ControlInstance::ControlInstance(ControlSettings settings, JobProtocol &protocol, JsonLineLog &log,
                                 std::function<void(const std::string &)> onFatal)
    : m_settings(std::move(settings)), m_protocol(protocol), m_log(log),
      m_onFatal(std::move(onFatal)), m_closedConnections(m_metrics, m_log)
{
    m_loop.setErrorHandler(errorLogger(m_log));
}

ControlInstance::~ControlInstance()
{
    if (m_journal) {
        m_journal->stop();
    }
    if (m_transport) {
        m_transport->stop();
    }
    m_loop.stop();
}

JournalEvents ControlInstance::journalEvents()
{
    JournalEvents events;
    events.committed = [this](std::vector<LogEntry> entries) {
        m_loop.post([this, entries = std::move(entries)] { m_service->onCommitted(entries); });
    };
    events.restored = [this](std::uint64_t index, std::string state) {
        m_loop.post(
                [this, index, state = std::move(state)] { m_service->onRestored(index, state); });
    };
    events.status = [this](const JournalStatus &status) {
        m_loop.post([this, status] { onStatus(status); });
    };
    events.snapshotRequested = [this] {
        m_loop.post([this] { m_service->onSnapshotRequested(); });
    };
    events.failed = m_onFatal;
    events.peerFound = [this](const std::string &name) {
        m_transport->addPeer(controlAddress(m_settings.peers, name));
        m_loop.post([this, name] { addPeer(name); });
    };
    return events;
}

void ControlInstance::onStatus(const JournalStatus &status)
{
    m_service->onStatus(status);
    for (const std::string &voter : status.voters) {
        addPeer(voter);
    }
    m_leaderClient->setKnownLeader(status.leader);
}

void ControlInstance::addPeer(const std::string &name)
{
    if (name == m_settings.peers.name || !m_knownPeers.insert(name).second) {
        return;
    }
    m_leaderClient->addControlInstance(name);
    m_workerCalls->addRelay(name);
}

Result<Done, StartError> ControlInstance::start(const OutgoingClientsFactory &factory)
{
    const PeerNetworkSettings &peers = m_settings.peers;
    m_transport = std::make_unique<Http2PeerTransport>(
            peerIdentity(peers), peers.name + ":" + std::to_string(peers.ownPort),
            std::vector<PeerAddress>{},
            limitToMachine(peerTransportOptions(), m_settings.machine, peerShare), m_log,
            m_metrics);
    m_outgoingClients = factory(m_loop);
    m_workerCalls = std::make_unique<RelayedWorkerCalls>(
            m_loop, *m_transport, *m_outgoingClients.workers, m_log,
            m_settings.service.dispatch.calls, [this](const std::string &worker) {
                const WorkerRecord *record = m_service->book().worker(worker);
                return record == nullptr ? std::string() : record->availabilityZone;
            });
    m_relay = std::make_unique<WorkerCallRelay>(m_loop, *m_transport, *m_outgoingClients.workers,
                                                m_log, peers.availabilityZone);
    m_service = std::make_unique<JobService>(m_loop, m_settings.service, m_log, m_metrics,
                                             *m_workerCalls, *m_outgoingClients.instances);
    DiskLogOptions disk;
    disk.folder = m_settings.dataFolder;
    disk.clusterId = "dandelionloom";
    disk.group = "jobs";
    disk.segmentBytes = segmentBytes;
    m_storage = std::make_unique<DiskLogStorage>(std::move(disk));
    JournalOptions journal;
    journal.name = peers.name;
    journal.initialVoters = peers.controlInstances;
    // A group of 2n + 1 voters keeps its quorum when n fail.
    journal.targetVoters = 2 * m_settings.toleratedFailures + 1;
    journal.mayBootstrap = m_settings.bootstrap;
    journal.unresponsiveVoterTimeoutMs = unresponsiveVoterTimeoutMs(m_settings);
    journal.seed = std::hash<std::string>{}(peers.name);
    m_journal = std::make_unique<ReplicatedJournal>(journal, *m_storage, *m_transport, m_log,
                                                    journalEvents());
    m_service->setJournal(*m_journal);
    m_leaderClient = std::make_unique<LeaderClient>(
            m_loop, *m_transport, m_log, [this](const std::string &name) {
                m_transport->addPeer(controlAddress(m_settings.peers, name));
                // Other instances name a leader that the journal may not know.
                m_journal->addPeerHint(name);
            });
    const auto opened = m_journal->open();
    if (!isOk(opened)) {
        return StartError{errorOf(opened).message};
    }
    setPeerHandlers();
    const auto started = m_transport->start();
    if (!isOk(started)) {
        return StartError{errorOf(started).message};
    }
    m_controlServer = std::make_unique<EventedHttpServer>(
            m_loop, limitToMachine(controlLimits(), m_settings.machine, controlShare),
            [this](const HttpRequest &request, const EventedHttpServer::Respond &respond) {
                handleRequest(request, respond);
            });
    m_metricsServer = std::make_unique<EventedHttpServer>(
            m_loop, limitToMachine(controlLimits(), m_settings.machine, metricsShare),
            metricsHandler(m_metrics));
    m_controlServer->setCloseObserver(m_closedConnections.observer("control"));
    m_metricsServer->setCloseObserver(m_closedConnections.observer("metrics"));
    for (const auto &[server, address] :
         {std::pair{m_controlServer.get(), m_settings.controlAddress},
          std::pair{m_metricsServer.get(), m_settings.metricsAddress}}) {
        const auto listening = server->listen(address);
        if (!isOk(listening)) {
            return StartError{errorOf(listening).message};
        }
    }
    for (const std::string &name : peers.controlInstances) {
        addPeer(name);
    }
    m_loop.start();
    m_loop.post([this] {
        m_service->start();
        tick();
    });
    m_journal->start();
    m_log.line(LogSeverity::Info, "start",
               {{"role", "control"}, {"address", m_settings.controlAddress}});
    return Done{};
}

void ControlInstance::setPeerHandlers()
{
    m_transport->setHandler(
            PeerMessageKind::JobCall,
            [this](const std::string &from, std::string body, PeerTransport::Reply reply) {
                m_loop.post([this, from, body = std::move(body), reply = std::move(reply)] {
                    const auto call = unpackMessage<JobCall>(body);
                    if (!isOk(call)) {
                        m_log.event(LogSeverity::Warning, "calls", "malformed call from " + from);
                        reply(packMessage(makeAnswer(JobCallOutcome::Invalid, "unreadable-call")));
                        return;
                    }
                    m_service->handle(valueOf(call), [reply](const JobCallAnswer &answer) {
                        reply(packMessage(answer));
                    });
                });
            });
    m_transport->setHandler(
            PeerMessageKind::WorkerCalls,
            [this](const std::string &from, std::string body, PeerTransport::Reply reply) {
                m_loop.post([this, from, body = std::move(body), reply = std::move(reply),
                             receivedAt = steadyTimeNow()] {
                    // The results are sent to the leader, whom the journal may not know yet.
                    addPeer(from);
                    m_relay->handle(from, body, receivedAt, reply);
                });
            });
    m_transport->setHandler(
            PeerMessageKind::WorkerCallResults,
            [this](const std::string &from, std::string body, const PeerTransport::Reply &reply) {
                m_loop.post([this, from, body = std::move(body)] {
                    m_workerCalls->onResults(from, body);
                });
                reply(std::string());
            });
    m_transport->setHandler(
            PeerMessageKind::Locate,
            [this](const std::string &, const std::string &, PeerTransport::Reply reply) {
                m_loop.post([this, reply = std::move(reply)] {
                    reply(packMessage(m_service->locate()));
                });
            });
}

void ControlInstance::addControlInstances(const std::vector<std::string> &names)
{
    m_loop.post([this, names] {
        for (const std::string &name : names) {
            m_journal->addPeer(name);
            addPeer(name);
        }
    });
}

void ControlInstance::handleRequest(const HttpRequest &request,
                                    const EventedHttpServer::Respond &respond)
{
    auto decoded = m_protocol.decode(request);
    if (const auto *answer = std::get_if<HttpResponse>(&decoded)) {
        // Debug, as a flood of such requests would displace the other lines.
        m_log.line(LogSeverity::Debug, "refused",
                   {{"path", request.path}, {"status", answer->status}, {"reason", answer->body}});
        respond(*answer);
        return;
    }
    auto &timed = std::get<TimedJobCall>(decoded);
    timed.call.requestId = m_settings.peers.name + "/" + std::to_string(++m_requestCount);
    const JobReplyCallback reply = [this, respond, call = timed.call](const JobCallAnswer &answer) {
        respond(m_protocol.encode(call, answer));
    };
    if (m_service->leads()) {
        m_service->handle(timed.call, reply);
        return;
    }
    // Most announcements change nothing, and the leader needs only those that do.
    if (timed.call.kind == JobCallKind::AnnounceWorker
        && m_service->isRecorded(timed.call.worker)) {
        reply(makeAnswer(JobCallOutcome::Done, {}));
        return;
    }
    m_leaderClient->call(timed.call, steadyTimeNow() + timed.callTimeoutMs, reply);
}

void ControlInstance::tick()
{
    m_closedConnections.report(steadyTimeNow());
    m_log.flush();
    m_loop.startTimer(tickInterval, [this] { tick(); });
}

void ControlInstance::passVoteOn()
{
    // Requests are served meanwhile. The rest of the time is for those that are pending then.
    const Milliseconds limit(m_settings.shutdownTimeoutMs / 2);
    std::future<RaftDeparture> departure = m_journal->depart();
    const bool done = departure.wait_for(limit) == std::future_status::ready;
    m_log.line(
            done ? LogSeverity::Info : LogSeverity::Warning, "vote-passed-on",
            {{"outcome", done ? std::string(raftDepartureNames.name(departure.get())) : "timeout"},
             {"limit_ms", limit.count()}});
}

void ControlInstance::stop()
{
    m_log.line(LogSeverity::Info, "stop", {{"role", "control"}});
    const SteadyTimeMs begin = steadyTimeNow();
    passVoteOn();
    m_loop.runAndWait([this] { m_controlServer->drain(); });
    std::size_t pending = 1;
    while (pending > 0 && steadyTimeNow() - begin < m_settings.shutdownTimeoutMs) {
        m_loop.runAndWait([&] { pending = m_controlServer->pendingRequests(); });
        if (pending > 0) {
            std::this_thread::sleep_for(tickInterval);
        }
    }
    m_loop.runAndWait([this] { m_log.flush(); });
}

} // namespace dandelionloom
