#include "Runtime/Replica.h"

#include <algorithm>

// Start, thread and status of the replica. Log storage is in ReplicaLog.cpp, calls of other threads
// are in ReplicaCalls.cpp, and messages between instances in ReplicaPeers.cpp.

namespace dandelionloom {

namespace {

/// A fraction of the heartbeat interval of 150 ms. 50 wake-ups per second cost well below 1% of a
/// core.
constexpr Milliseconds tickInterval{20};

constexpr std::int64_t gaugeIntervalMs = 1000;

} // namespace

Replica::Replica(ReplicaOptions options, LogStorage *storage, PeerTransport &transport,
                 StateStore &store, DecisionLog &log, MetricSink &metrics, FatalHandler fatal)
    : m_options(std::move(options)), m_storage(storage), m_transport(transport), m_store(store),
      m_log(log), m_metrics(metrics), m_fatal(std::move(fatal)), m_applied(m_options.group, store),
      m_feedSource(m_applied)
{ }

Replica::~Replica()
{
    stop();
}

Result<Done, StorageError> Replica::open()
{
    m_startedAt = steadyTimeNow();
    setHandlers();
    if (m_storage == nullptr) {
        m_feedClient = std::make_unique<FeedClient>(
                m_options, m_applied, m_transport, m_log,
                [this](std::function<void()> task) { post(std::move(task)); },
                [this](SteadyTimeMs now) { return reportsToSend(now); });
        return Done{};
    }
    auto opened = m_storage->open();
    if (!isOk(opened)) {
        return errorOf(opened);
    }
    const RecoveredLog recovered = takeValue(std::move(opened));
    std::shared_ptr<const Snapshot> snapshot;
    if (recovered.snapshot) {
        const auto restored =
                m_applied.restore(recovered.snapshot->lastIndex, recovered.snapshot->state);
        if (!isOk(restored)) {
            return StorageError{StorageErrorKind::Damaged, errorOf(restored).message};
        }
        snapshot = std::make_shared<const Snapshot>(*recovered.snapshot);
        m_snapshotIndex = snapshot->lastIndex;
    }
    RaftOptions raft;
    raft.self = {m_options.name, recovered.storageId};
    raft.voterNames.push_back(m_options.name);
    for (const ReplicaPeer &peer : m_options.peers) {
        if (peer.voter) {
            raft.voterNames.push_back(peer.name);
        }
    }
    raft.heartbeatMs = m_options.heartbeatMs;
    raft.electionMinMs = m_options.electionMinMs;
    raft.electionMaxMs = m_options.electionMaxMs;
    raft.seed = m_options.seed;
    m_raft = std::make_unique<Raft>(std::move(raft), recovered.hardState, snapshot,
                                    recovered.entries, m_startedAt);
    for (const LogEntry &entry : recovered.entries) {
        m_bytesSinceSnapshot += entry.payload.size();
    }
    m_log.event(LogSeverity::Info, "replica",
                "log opened at term " + std::to_string(recovered.hardState.term) + ", snapshot "
                        + std::to_string(m_snapshotIndex) + ", "
                        + std::to_string(recovered.entries.size()) + " entries"
                        + (recovered.created ? ", new data folder" : ""));
    return Done{};
}

void Replica::start()
{
    m_thread = std::thread([this] { run(); });
}

void Replica::stop()
{
    m_stopped = true;
    m_queue.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Replica::post(TaskQueue::Task task)
{
    m_queue.post(std::move(task));
}

void Replica::postDelayed(std::int64_t delayMs, TaskQueue::Task task)
{
    m_delayedTasks.push_back({steadyTimeNow() + delayMs, std::move(task)});
}

void Replica::runDueTasks(SteadyTimeMs now)
{
    std::list<DelayedTask> due;
    for (auto delayed = m_delayedTasks.begin(); delayed != m_delayedTasks.end();) {
        const auto next = std::next(delayed);
        if (delayed->at <= now) {
            due.splice(due.end(), m_delayedTasks, delayed);
        }
        delayed = next;
    }
    for (const DelayedTask &delayed : due) {
        delayed.task();
    }
}

void Replica::run()
{
    while (!m_stopped && !m_failed) {
        iterate();
    }
}

void Replica::iterate()
{
    const std::deque<TaskQueue::Task> tasks = m_queue.take(tickInterval);
    const SteadyTimeMs now = steadyTimeNow();
    // The tick runs before the tasks, so that a leader whose process was suspended steps down
    // before it appends commands that were queued in the meantime.
    if (m_raft) {
        m_raft->tick(now);
    }
    for (const TaskQueue::Task &task : tasks) {
        task();
    }
    runDueTasks(now);
    if (m_raft) {
        runLeaderTasks(now);
        flush();
        compactLog();
    } else {
        const auto polled = m_feedClient->tick(now);
        if (!isOk(polled)) {
            fail(errorOf(polled).message);
        }
    }
    if (m_failed) {
        return;
    }
    for (auto &item : m_pendingReplies) {
        item.second(std::string());
    }
    m_pendingReplies.clear();
    runAppliedWaiters();
    expireWaiters(now);
    publishStatus(steadyTimeNow());
    m_feedSource.serve({leaderName(), m_raft ? m_raft->term() : m_feedClient->term()},
                       steadyTimeNow());
}

void Replica::fail(const std::string &message)
{
    if (m_failed) {
        return;
    }
    m_failed = true;
    m_log.event(LogSeverity::Error, "replica", message);
    m_fatal(message);
}

void Replica::runLeaderTasks(SteadyTimeMs now)
{
    if (!isLeader()) {
        return;
    }
    if (m_raft->term() != m_leaderTerm) {
        m_leaderTerm = m_raft->term();
        m_nextExpire = now + m_options.expireIntervalMs;
        // Command times must not decrease, also across terms, so commands of earlier leaders that
        // are not applied yet count as well.
        const RaftLog &log = m_raft->log();
        for (std::uint64_t index = m_applied.index() + 1; index <= log.lastIndex(); ++index) {
            const auto command = decodeCommand(log.at(index).payload);
            if (isOk(command)) {
                m_lastCommandTimeMs = std::max(m_lastCommandTimeMs, valueOf(command).atMs);
            }
        }
    }
    if (now >= m_nextExpire) {
        m_nextExpire = now + m_options.expireIntervalMs;
        appendCommand(encodeCommand({m_options.group, 0, ExpireRecords{}}),
                      now + m_options.electionMaxMs, [](const ProposeAnswer &) {});
    }
}

std::int64_t Replica::nextCommandTimeMs()
{
    m_lastCommandTimeMs =
            std::max({m_lastCommandTimeMs, m_applied.lastCommandTimeMs(), wallTimeNow()});
    return m_lastCommandTimeMs;
}

bool Replica::isLeader() const
{
    return m_raft && m_raft->role() == RaftRole::Leader;
}

std::string Replica::leaderName() const
{
    return m_raft ? m_raft->leader() : m_feedClient->leader();
}

void Replica::publishStatus(SteadyTimeMs now)
{
    LogStatus status;
    if (m_raft) {
        if (const auto contact = m_raft->contact(now)) {
            m_applied.recordContact(*contact);
        }
        status.role = isLeader()                       ? LogRole::Leader
                : m_raft->role() != RaftRole::Follower ? LogRole::Candidate
                : m_raft->isVoter()                    ? LogRole::Voter
                                                       : LogRole::Follower;
        status.term = m_raft->term();
        status.commitIndex = m_raft->commitIndex();
    } else {
        status.term = m_feedClient->term();
        status.commitIndex = std::max(m_feedClient->sourceIndex(), m_applied.index());
    }
    status.leader = leaderName();
    status.appliedIndex = m_applied.index();
    if (status.role != m_lastRole || status.leader != m_lastLeader) {
        m_log.event(LogSeverity::Info, "replica",
                    "role " + std::string(logRoleNames.name(status.role)) + ", term "
                            + std::to_string(status.term) + ", leader "
                            + (status.leader.empty() ? "unknown" : status.leader));
        m_lastRole = status.role;
        m_lastLeader = status.leader;
    }
    const auto &contact = m_applied.contact();
    if (now >= m_nextGauges) {
        m_nextGauges = now + gaugeIntervalMs;
        m_metrics.gauge("dandelionloom_log_term", "", static_cast<double>(status.term));
        m_metrics.gauge("dandelionloom_log_applied_index", "",
                        static_cast<double>(status.appliedIndex));
        m_metrics.gauge("dandelionloom_log_is_leader", "", isLeader() ? 1 : 0);
        if (contact) {
            m_metrics.gauge("dandelionloom_log_quorum_contact_age_seconds", "",
                            static_cast<double>(now - contact->at) / 1000.0);
        }
    }
    const std::lock_guard lock(m_statusMutex);
    // The first quorum contact after the start confirms that the applied state is no older than the
    // state that this instance served before the restart.
    status.ready = m_status.ready || (contact && contact->at >= m_startedAt);
    m_status = status;
    m_contactAt = contact ? std::optional(contact->at) : std::nullopt;
}

LogStatus Replica::status() const
{
    const std::lock_guard lock(m_statusMutex);
    LogStatus status = m_status;
    status.quorumContactAgeMs = m_contactAt ? steadyTimeNow() - *m_contactAt : -1;
    return status;
}

} // namespace dandelionloom
