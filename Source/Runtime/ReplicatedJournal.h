#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Consensus/Raft.h"
#include "Ports/DecisionLog.h"
#include "Ports/LogStorage.h"
#include "Ports/PeerTransport.h"
#include "Runtime/TaskQueue.h"

namespace dandelionloom {

struct JournalOptions
{
    /// Own name, as peers call it.
    std::string name;
    /// Names of the instances that found the journal together, the own one included or not.
    std::vector<std::string> founders;
    /// True only on the first start of the whole system.
    bool mayFound = false;
    /// Three voters survive the loss of one; a fourth instance waits as a replacement, because four
    /// voters survive no more than three and stop at an even split.
    std::size_t targetVoters = 3;
    std::int64_t heartbeatMs = 120;
    std::int64_t electionMinMs = 450;
    std::int64_t electionMaxMs = 900;
    /// The log behind the last snapshot is compacted from this size.
    std::size_t compactBytes = 4 * 1024 * 1024;
    std::uint64_t seed = 1;
};

/// What the journal's thread knows of leadership.
struct JournalStatus
{
    bool isLeader = false;
    std::uint64_t term = 0;
    /// Name of the known leader; empty without one.
    std::string leader;
    std::vector<std::string> voters;
    /// Until when no other instance can have been elected, on the local clock; 0 if unknown. A
    /// leader must not act on its authority past it.
    SteadyTimeMs leaseUntil = 0;

    bool operator==(const JournalStatus &) const = default;
};

/// Called on the journal's thread; the owner passes them on to its own.
struct JournalEvents
{
    std::function<void(std::vector<LogEntry>)> committed;
    std::function<void(std::uint64_t index, std::string state)> restored;
    std::function<void(JournalStatus)> status;
    /// The log has grown past JournalOptions::compactBytes; the owner answers with saveSnapshot().
    std::function<void()> snapshotWanted;
    /// The process must stop: the disk failed. Called once.
    std::function<void(std::string)> failed;
    /// An instance asks to be admitted. The owner makes it reachable: the journal is sent to it.
    std::function<void(std::string name)> probed;
};

/// An agreed, durable sequence of opaque records kept by the instances with a disk. One thread owns
/// the consensus state and the storage, so that a sync never delays the owner's event loop.
class ReplicatedJournal
{
public:
    /// The references must outlive the journal.
    ReplicatedJournal(JournalOptions options, LogStorage &storage, PeerTransport &transport,
                      DecisionLog &log, JournalEvents events);
    ~ReplicatedJournal();

    /// Reads the storage, reports what it holds as restored, and sets the message handler. Call
    /// before the transport starts.
    Result<Done, StorageError> open();
    void start();
    void stop();

    /// Appends records if this instance leads; otherwise they are dropped. The owner learns of
    /// their acceptance from JournalEvents::committed only.
    void propose(std::string payload);
    /// Saves the owner's state as of `index` and drops the log before it.
    void saveSnapshot(std::uint64_t index, std::string state);
    void addPeer(const std::string &name);

private:
    void run();
    void iterate();
    void fail(const std::string &message);
    void onMessage(const std::string &body, const PeerTransport::Reply &reply);
    void send(std::vector<RaftMessage> messages);
    void flush();
    bool sync(const RaftOutput &output);
    bool isSaved(const Result<Done, StorageError> &result, const char *what);
    void publishStatus(SteadyTimeMs now);

    const JournalOptions m_options;
    LogStorage &m_storage;
    PeerTransport &m_transport;
    DecisionLog &m_log;
    const JournalEvents m_events;

    TaskQueue m_queue;
    std::thread m_thread;
    std::atomic<bool> m_stopped{false};
    bool m_failed = false;
    std::unique_ptr<Raft> m_raft;
    /// Replies to requests whose answer Raft has not given yet.
    std::map<std::pair<VoterId, std::uint64_t>, PeerTransport::Reply> m_replies;
    JournalStatus m_status;
    std::size_t m_bytesSinceSnapshot = 0;
    bool m_snapshotWanted = false;
};

} // namespace dandelionloom
