#include "Runtime/ReplicatedJournal.h"

namespace dandelionloom {

namespace {

/// A fraction of the heartbeat interval of 120 ms.
constexpr Milliseconds tickInterval{30};

/// Raft repeats a lost message after half of the minimum election timeout, so a longer time-out has
/// no benefit.
constexpr Milliseconds messageTimeout{600};

/// Covers a clock drift of 2% between two instances over one election timeout, and late timers.
constexpr std::int64_t leaseMarginMs = 60;

/// Longer than an election, during which every instance without a vote has no leader.
constexpr std::int64_t admissionLogDelayMs = 1500;
/// Interval of the log line of an instance that stays outside the group.
constexpr std::int64_t admissionLogIntervalMs = 5000;

/// Least extension of the leader lease that is reported. Each answer of a peer extends it by a
/// millisecond or two.
constexpr std::int64_t leaseReportMs = 25;

} // namespace

ReplicatedJournal::ReplicatedJournal(JournalOptions options, LogStorage &storage,
                                     PeerTransport &transport, DecisionLog &log,
                                     JournalEvents events)
    : m_options(std::move(options)), m_storage(storage), m_transport(transport), m_log(log),
      m_events(std::move(events))
{ }

ReplicatedJournal::~ReplicatedJournal()
{
    stop();
}

Result<Done, StorageError> ReplicatedJournal::open()
{
    auto opened = m_storage.open();
    if (!isOk(opened)) {
        return errorOf(opened);
    }
    const RecoveredLog recovered = takeValue(std::move(opened));
    std::shared_ptr<const Snapshot> snapshot;
    if (recovered.snapshot) {
        snapshot = std::make_shared<const Snapshot>(*recovered.snapshot);
        m_events.restored(snapshot->lastIndex, snapshot->state);
    }
    for (const LogEntry &entry : recovered.entries) {
        m_bytesSinceSnapshot += entry.payload.size();
    }
    RaftOptions raft;
    raft.self = {m_options.name, recovered.storageId};
    raft.voterNames = m_options.initialVoters;
    raft.mayBootstrap = m_options.mayBootstrap;
    raft.targetVoters = m_options.targetVoters;
    raft.unresponsiveVoterTimeoutMs = m_options.unresponsiveVoterTimeoutMs;
    raft.heartbeatMs = m_options.heartbeatMs;
    raft.electionMinMs = m_options.electionMinMs;
    raft.electionMaxMs = m_options.electionMaxMs;
    raft.seed = m_options.seed;
    m_raft = std::make_unique<Raft>(std::move(raft), recovered.hardState, snapshot,
                                    recovered.entries, steadyTimeNow());
    m_transport.setHandler(
            PeerMessageKind::JournalMessage,
            [this](const std::string &, std::string body, PeerTransport::Reply reply) {
                m_queue.post([this, body = std::move(body), reply = std::move(reply)] {
                    onMessage(body, reply);
                });
            });
    m_log.event(LogSeverity::Info, "journal",
                "log opened at term " + std::to_string(recovered.hardState.term) + ", "
                        + std::to_string(recovered.entries.size()) + " entries after snapshot "
                        + std::to_string(snapshot ? snapshot->lastIndex : 0)
                        + (recovered.created ? ", new data folder" : ""));
    return Done{};
}

void ReplicatedJournal::start()
{
    m_thread = std::thread([this] { run(); });
}

void ReplicatedJournal::stop()
{
    m_stopped = true;
    m_queue.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ReplicatedJournal::propose(std::uint64_t term, std::string payload)
{
    m_queue.post([this, term, payload = std::move(payload)]() mutable {
        if (m_raft->term() == term) {
            m_raft->propose(std::move(payload));
        }
    });
}

void ReplicatedJournal::saveSnapshot(std::uint64_t index, std::string state)
{
    m_queue.post([this, index, state = std::move(state)]() mutable {
        m_snapshotRequested = false;
        const std::optional<std::uint64_t> term = m_raft->log().termAt(index);
        if (!term) {
            return;
        }
        const auto snapshot = std::make_shared<const Snapshot>(
                Snapshot{index, *term, m_raft->log().votersAt(index), std::move(state)});
        if (checkSaved(m_storage.saveSnapshot(*snapshot), "snapshot")) {
            m_raft->setSnapshot(snapshot, index);
            m_bytesSinceSnapshot = 0;
        }
    });
}

LeaderLease ReplicatedJournal::lease() const
{
    const std::lock_guard lock(m_leaseMutex);
    return m_lease;
}

void ReplicatedJournal::addPeer(const std::string &name)
{
    m_queue.post([this, name] { m_raft->addProbeTarget(name); });
}

void ReplicatedJournal::addPeerHint(const std::string &name)
{
    m_queue.post([this, name] { m_raft->addPeerHint(name, steadyTimeNow()); });
}

void ReplicatedJournal::run()
{
    while (!m_stopped && !m_failed) {
        iterate();
    }
}

void ReplicatedJournal::iterate()
{
    const std::deque<TaskQueue::Task> tasks = m_queue.take(tickInterval);
    // The tick runs before the tasks, so that a leader whose process was suspended steps down
    // before it appends records that were queued in the meantime.
    m_raft->tick(steadyTimeNow());
    for (const TaskQueue::Task &task : tasks) {
        task();
    }
    announceNewPeers();
    flush();
    for (auto &[request, reply] : m_pendingReplies) {
        reply(std::string());
    }
    m_pendingReplies.clear();
    if (!m_failed) {
        const SteadyTimeMs now = steadyTimeNow();
        publishStatus(now);
        logAdmission(now);
        reportDeparture();
        if (m_bytesSinceSnapshot >= m_options.compactBytes && !m_snapshotRequested) {
            m_snapshotRequested = true;
            m_events.snapshotRequested();
        }
    }
}

std::future<RaftDeparture> ReplicatedJournal::depart()
{
    auto promise = std::make_shared<std::promise<RaftDeparture>>();
    std::future<RaftDeparture> result = promise->get_future();
    m_queue.post([this, promise] {
        m_departed = promise;
        m_raft->depart(steadyTimeNow());
    });
    return result;
}

void ReplicatedJournal::reportDeparture()
{
    const RaftDeparture departure = m_raft->departure();
    if (!m_departed || departure == RaftDeparture::Requested) {
        return;
    }
    m_log.event(LogSeverity::Info, "journal",
                "departure: " + std::string(raftDepartureNames.name(departure)));
    std::exchange(m_departed, nullptr)->set_value(departure);
}

void ReplicatedJournal::announceNewPeers()
{
    for (const std::string &name : m_raft->takeNewPeers()) {
        m_log.event(LogSeverity::Info, "journal", "found control instance " + name);
        if (m_events.peerFound) {
            m_events.peerFound(name);
        }
    }
}

void ReplicatedJournal::logAdmission(SteadyTimeMs now)
{
    const bool outside = !m_raft->isVoter() && !m_raft->hasLeader(now);
    if (!outside) {
        if (m_outsideSince && now - *m_outsideSince >= admissionLogDelayMs) {
            m_log.event(LogSeverity::Info, "journal",
                        "admitted by leader " + m_raft->leader() + " after "
                                + std::to_string(now - *m_outsideSince) + " ms");
        }
        m_outsideSince.reset();
        return;
    }
    if (!m_outsideSince) {
        m_outsideSince = now;
        m_nextAdmissionLog = now + admissionLogDelayMs;
    }
    if (now < m_nextAdmissionLog) {
        return;
    }
    m_nextAdmissionLog = now + admissionLogIntervalMs;
    std::string names;
    for (const std::string &name : m_raft->peerNames()) {
        names += (names.empty() ? "" : ", ") + name;
    }
    m_log.event(LogSeverity::Warning, "journal",
                "no vote and no leader for " + std::to_string(now - *m_outsideSince)
                        + " ms, asking " + names);
}

void ReplicatedJournal::fail(const std::string &message)
{
    m_failed = true;
    m_log.event(LogSeverity::Error, "journal", message);
    m_events.failed(message);
}

void ReplicatedJournal::onMessage(const std::string &body, const PeerTransport::Reply &reply)
{
    const auto decoded = decodeRaftMessage(body);
    if (!isOk(decoded)) {
        m_log.event(LogSeverity::Warning, "journal",
                    "unreadable message dropped: " + errorOf(decoded).message);
        reply(std::string());
        return;
    }
    const RaftMessage &message = valueOf(decoded);
    const auto [slot, added] = m_pendingReplies.try_emplace({message.from, message.request}, reply);
    if (!added) {
        reply(std::string());
    }
    m_raft->receive(message, steadyTimeNow());
}

void ReplicatedJournal::send(std::vector<RaftMessage> messages)
{
    for (RaftMessage &message : messages) {
        const auto pendingReply = m_pendingReplies.find({message.to, message.request});
        if (isResponse(message.kind)) {
            if (pendingReply != m_pendingReplies.end()) {
                pendingReply->second(encodeRaftMessage(message));
                m_pendingReplies.erase(pendingReply);
            }
            continue;
        }
        m_transport.call(message.to.name, PeerMessageKind::JournalMessage,
                         encodeRaftMessage(message), messageTimeout, [this](PeerResult result) {
                             // Raft repeats lost messages, and the transport logs lost peers.
                             if (!isOk(result) || valueOf(result).empty()) {
                                 return;
                             }
                             m_queue.post([this, body = takeValue(std::move(result))] {
                                 const auto answer = decodeRaftMessage(body);
                                 if (isOk(answer)) {
                                     m_raft->receive(valueOf(answer), steadyTimeNow());
                                 } else {
                                     m_log.event(LogSeverity::Warning, "journal",
                                                 "unreadable answer dropped: "
                                                         + errorOf(answer).message);
                                 }
                             });
                         });
    }
}

void ReplicatedJournal::flush()
{
    bool needsSync = true;
    while (needsSync && !m_failed) {
        RaftOutput output = m_raft->takeOutput();
        needsSync = output.needsSync();
        send(std::move(output.messages));
        if (needsSync && !sync(output)) {
            return;
        }
        RaftSyncedOutput released = m_raft->synced(steadyTimeNow());
        send(std::move(released.messages));
        if (released.restored) {
            m_events.restored(released.restored->lastIndex, released.restored->state);
        }
        if (!released.committed.empty()) {
            m_events.committed(std::move(released.committed));
        }
    }
}

bool ReplicatedJournal::sync(const RaftOutput &output)
{
    bool saved = true;
    if (output.hardState) {
        saved = checkSaved(m_storage.saveHardState(*output.hardState), "term and vote");
    }
    if (saved && output.snapshot) {
        saved = checkSaved(m_storage.saveSnapshot(*output.snapshot), "snapshot");
        m_bytesSinceSnapshot = 0;
    }
    if (saved && !output.entries.empty()) {
        saved = checkSaved(m_storage.append(output.entries), "entries");
        for (const LogEntry &entry : output.entries) {
            m_bytesSinceSnapshot += entry.payload.size();
        }
    }
    if (!saved && !m_failed) {
        const SteadyTimeMs now = steadyTimeNow();
        m_raft->syncFailed(now);
        // The owner learns of dropped records only from the end of the term, and a leader whose
        // disk is full can commit nothing.
        m_raft->resign(now);
    }
    return saved;
}

bool ReplicatedJournal::checkSaved(const Result<Done, StorageError> &result, const char *what)
{
    if (isOk(result)) {
        return true;
    }
    const std::string message = std::string(what) + " not saved: " + errorOf(result).message;
    if (errorOf(result).kind == StorageErrorKind::DiskFull) {
        m_log.event(LogSeverity::Error, "journal", message);
    } else {
        fail(message);
    }
    return false;
}

void ReplicatedJournal::publishStatus(SteadyTimeMs now)
{
    JournalStatus status;
    status.isLeader = m_raft->role() == RaftRole::Leader;
    status.term = m_raft->term();
    status.leader = m_raft->leader();
    for (const VoterId &voter : m_raft->voters()) {
        status.voters.push_back(voter.name);
    }
    if (status.isLeader) {
        if (const auto contact = m_raft->contact(now)) {
            status.leaseUntil = contact->at + m_options.electionMinMs - leaseMarginMs;
        }
    }
    {
        const std::lock_guard lock(m_leaseMutex);
        m_lease = status.leaseUntil == 0 ? LeaderLease{}
                                         : LeaderLease{status.term, status.leaseUntil};
    }
    // A lease that is known to last a little longer is no news.
    JournalStatus unchanged = m_status;
    unchanged.leaseUntil = status.leaseUntil;
    if (status == unchanged && status.leaseUntil >= m_status.leaseUntil
        && status.leaseUntil - m_status.leaseUntil < leaseReportMs) {
        return;
    }
    if (!(status == m_status)) {
        m_status = status;
        m_events.status(std::move(status));
    }
}

} // namespace dandelionloom
