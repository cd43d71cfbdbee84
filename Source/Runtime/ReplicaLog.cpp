#include "Runtime/Replica.h"

// Syncs, application of committed entries, and compaction.

namespace dandelionloom {

namespace {

/// Entries kept in memory behind a snapshot, for voters that are a little behind.
constexpr std::size_t keptBehindSnapshotBytes = 1024 * 1024;

constexpr std::int64_t snapshotRetryMs = 10000;

} // namespace

void Replica::flush()
{
    bool needsSync = true;
    while (needsSync && !m_failed) {
        auto reads = std::move(m_newReads);
        m_newReads.clear();
        if (!reads.empty()) {
            const auto id = m_raft->startRead(steadyTimeNow());
            if (id) {
                m_runningReads[*id] = std::move(reads);
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
        saved = isSaved(m_storage->saveHardState(*output.hardState), "term and vote");
    }
    if (saved && output.snapshot) {
        saved = isSaved(m_storage->saveSnapshot(*output.snapshot), "snapshot");
        if (saved) {
            m_snapshotIndex = output.snapshot->lastIndex;
            m_bytesSinceSnapshot = 0;
        }
    }
    if (saved && !output.entries.empty()) {
        saved = isSaved(m_storage->append(output.entries), "entries");
        for (const LogEntry &entry : output.entries) {
            m_bytesSinceSnapshot += entry.payload.size();
        }
    }
    if (!saved && !m_failed) {
        m_raft->syncFailed(steadyTimeNow());
        failUnsynced();
    }
    m_metrics.observe("dandelionloom_log_sync_seconds", "",
                      static_cast<double>(steadyTimeNow() - start) / 1000.0);
    return saved;
}

bool Replica::isSaved(const Result<Done, StorageError> &result, const std::string &what)
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

void Replica::failUnsynced()
{
    for (auto waiting = m_waiting.upper_bound(m_raft->log().lastIndex());
         waiting != m_waiting.end();) {
        waiting->second.done({ProposeVerdict::DiskFull,
                              0,
                              {},
                              "the disk of the leader " + m_options.name + " is full"});
        waiting = m_waiting.erase(waiting);
    }
}

void Replica::release(RaftReleased released)
{
    send(std::move(released.messages));
    if (released.restored) {
        const std::uint64_t index = released.restored->lastIndex;
        const auto restored = m_applied.restore(index, released.restored->state);
        if (!isOk(restored)) {
            fail(errorOf(restored).message);
            return;
        }
        while (!m_waiting.empty() && m_waiting.begin()->first <= index) {
            m_waiting.begin()->second.done({ProposeVerdict::Unknown,
                                            0,
                                            {},
                                            "a snapshot replaced the log of this instance"});
            m_waiting.erase(m_waiting.begin());
        }
    }
    for (const LogEntry &entry : released.committed) {
        applyEntry(entry);
        if (m_failed) {
            return;
        }
    }
    for (const ConfirmedRead &read : released.reads) {
        const auto running = m_runningReads.extract(read.id);
        if (!running) {
            continue;
        }
        for (const auto &done : running.mapped()) {
            done(read.index);
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
    const auto range = m_waiting.equal_range(entry.index);
    for (auto waiting = range.first; waiting != range.second; ++waiting) {
        if (waiting->second.term == entry.term) {
            waiting->second.done(
                    {ProposeVerdict::Accepted, entry.index, encodeOutcome(valueOf(applied)), {}});
        } else {
            waiting->second.done({ProposeVerdict::Refused,
                                  0,
                                  {},
                                  "another leader's command took its place in the log"});
        }
    }
    m_waiting.erase(range.first, range.second);
}

void Replica::compactLog()
{
    const SteadyTimeMs now = steadyTimeNow();
    const bool large = m_bytesSinceSnapshot > m_options.compactBytes
            || m_raft->log().lastIndex() - m_snapshotIndex > m_options.compactEntries;
    if (m_failed || !large || m_applied.index() <= m_snapshotIndex || now < m_nextSnapshotTry) {
        return;
    }
    const RaftLog &log = m_raft->log();
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->lastIndex = m_applied.index();
    snapshot->lastTerm = log.termAt(snapshot->lastIndex).value_or(0);
    snapshot->voters = log.votersAt(snapshot->lastIndex);
    snapshot->state = m_applied.encode();
    if (!isSaved(m_storage->saveSnapshot(*snapshot), "snapshot")) {
        m_nextSnapshotTry = now + snapshotRetryMs;
        return;
    }
    std::uint64_t compactTo = snapshot->lastIndex;
    for (std::size_t kept = 0; compactTo > log.baseIndex(); --compactTo) {
        kept += log.at(compactTo).payload.size();
        if (kept > keptBehindSnapshotBytes) {
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
