#include "Runtime/Replica.h"

// Log storage, application of committed entries, and compaction.

namespace dandelionloom {

namespace {

/// Size of the entries before a snapshot that stay in memory, so that voters that lag slightly need
/// no snapshot.
constexpr std::size_t trailingLogBytes = 1024 * 1024;

constexpr std::int64_t snapshotRetryMs = 10000;

} // namespace

void Replica::flush()
{
    bool needsSync = true;
    while (needsSync && !m_failed) {
        auto reads = std::move(m_queuedReads);
        m_queuedReads.clear();
        if (!reads.empty()) {
            const auto id = m_raft->startRead(steadyTimeNow());
            if (id) {
                m_unconfirmedReads[*id] = std::move(reads);
            } else {
                for (const auto &read : reads) {
                    read(std::nullopt);
                }
            }
        }
        const RaftOutput output = m_raft->takeOutput();
        needsSync = output.needsSync();
        send(output.messages);
        if (needsSync && !sync(output)) {
            return;
        }
        release(m_raft->synced(steadyTimeNow()));
    }
}

bool Replica::sync(const RaftOutput &output)
{
    const SteadyTimeMs start = steadyTimeNow();
    bool saved = true;
    if (output.hardState) {
        saved = checkSaved(m_storage->saveHardState(*output.hardState), "term and vote");
    }
    if (saved && output.snapshot) {
        saved = checkSaved(m_storage->saveSnapshot(*output.snapshot), "snapshot");
        if (saved) {
            m_snapshotIndex = output.snapshot->lastIndex;
            m_bytesSinceSnapshot = 0;
        }
    }
    if (saved && !output.entries.empty()) {
        saved = checkSaved(m_storage->append(output.entries), "entries");
        for (const LogEntry &entry : output.entries) {
            m_bytesSinceSnapshot += entry.payload.size();
        }
    }
    if (!saved && !m_failed) {
        m_raft->syncFailed(steadyTimeNow());
        failUnsyncedCommands();
    }
    m_metrics.observe("dandelionloom_log_sync_seconds", "",
                      static_cast<double>(steadyTimeNow() - start) / 1000.0);
    return saved;
}

bool Replica::checkSaved(const Result<Done, StorageError> &result, const std::string &what)
{
    if (isOk(result)) {
        return true;
    }
    const StorageError &error = errorOf(result);
    const std::string message = what + " not saved: " + error.message;
    if (error.kind != StorageErrorKind::DiskFull) {
        fail(message);
        return false;
    }
    m_metrics.count("dandelionloom_log_disk_full_total", "", 1);
    m_log.event(LogSeverity::Error, "replica", message);
    return false;
}

void Replica::failUnsyncedCommands()
{
    for (auto pendingCommand = m_pendingCommands.upper_bound(m_raft->log().lastIndex());
         pendingCommand != m_pendingCommands.end();) {
        pendingCommand->second.callback({ProposeVerdict::DiskFull,
                                         0,
                                         {},
                                         "the disk of the leader " + m_options.name + " is full"});
        pendingCommand = m_pendingCommands.erase(pendingCommand);
    }
}

void Replica::release(RaftSyncedOutput released)
{
    send(std::move(released.messages));
    if (released.restored) {
        const std::uint64_t index = released.restored->lastIndex;
        const auto restored = m_applied.restore(index, released.restored->state);
        if (!isOk(restored)) {
            fail(errorOf(restored).message);
            return;
        }
        while (!m_pendingCommands.empty() && m_pendingCommands.begin()->first <= index) {
            m_pendingCommands.begin()->second.callback(
                    {ProposeVerdict::Unknown,
                     0,
                     {},
                     "a snapshot replaced the log of this instance"});
            m_pendingCommands.erase(m_pendingCommands.begin());
        }
    }
    for (const LogEntry &entry : released.committed) {
        applyEntry(entry);
        if (m_failed) {
            return;
        }
    }
    for (const ConfirmedRead &read : released.reads) {
        const auto running = m_unconfirmedReads.extract(read.id);
        if (!running) {
            continue;
        }
        for (const auto &callback : running.mapped()) {
            callback(read.index);
        }
    }
}

void Replica::applyEntry(const LogEntry &entry)
{
    const auto applied = m_applied.apply(entry);
    if (!isOk(applied)) {
        fail("entry " + std::to_string(entry.index) + " not applied: " + errorOf(applied).message);
        return;
    }
    const auto range = m_pendingCommands.equal_range(entry.index);
    for (auto pendingCommand = range.first; pendingCommand != range.second; ++pendingCommand) {
        if (pendingCommand->second.term == entry.term) {
            pendingCommand->second.callback(
                    {ProposeVerdict::Accepted, entry.index, encodeOutcome(valueOf(applied)), {}});
        } else {
            pendingCommand->second.callback(
                    {ProposeVerdict::Refused,
                     0,
                     {},
                     "an entry of another leader took the place of the command in the log"});
        }
    }
    m_pendingCommands.erase(range.first, range.second);
}

void Replica::compactLog()
{
    const SteadyTimeMs now = steadyTimeNow();
    const bool large = m_bytesSinceSnapshot > m_options.compactBytes
            || m_raft->log().lastIndex() - m_snapshotIndex > m_options.compactEntries;
    if (m_failed || !large || m_applied.index() <= m_snapshotIndex || now < m_nextSnapshotAttempt) {
        return;
    }
    const RaftLog &log = m_raft->log();
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->lastIndex = m_applied.index();
    snapshot->lastTerm = log.termAt(snapshot->lastIndex).value_or(0);
    snapshot->voters = log.votersAt(snapshot->lastIndex);
    snapshot->state = m_applied.encode();
    if (!checkSaved(m_storage->saveSnapshot(*snapshot), "snapshot")) {
        m_nextSnapshotAttempt = now + snapshotRetryMs;
        return;
    }
    std::uint64_t compactTo = snapshot->lastIndex;
    for (std::size_t trailingBytes = 0; compactTo > log.baseIndex(); --compactTo) {
        trailingBytes += log.at(compactTo).payload.size();
        if (trailingBytes > trailingLogBytes) {
            break;
        }
    }
    m_snapshotIndex = snapshot->lastIndex;
    m_bytesSinceSnapshot = 0;
    for (std::uint64_t index = m_snapshotIndex + 1; index <= log.lastIndex(); ++index) {
        m_bytesSinceSnapshot += log.at(index).payload.size();
    }
    m_raft->setSnapshot(std::move(snapshot), compactTo);
    m_metrics.count("dandelionloom_log_snapshots_total", "", 1);
}

} // namespace dandelionloom
