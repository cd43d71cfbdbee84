#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Consensus/Raft.h"

namespace dandelionloom::test {

/// Voters on a simulated network with simulated disks and clocks. Every random choice comes from
/// the seed. Each step checks the safety properties and throws with the seed if one is violated.
class RaftSimulation
{
public:
    struct Network
    {
        double dropShare = 0;
        double duplicateShare = 0;
        std::int64_t minDelayMs = 1;
        std::int64_t maxDelayMs = 2;
    };

    RaftSimulation(std::size_t nodes, std::uint64_t seed);

    Network network;
    /// Share of syncs during which the process crashes.
    double crashInSyncShare = 0;
    /// Entries behind a snapshot after which a node makes the next one; 0 for never.
    std::uint64_t compactEntries = 0;

    /// Runs for this simulated time.
    void run(std::int64_t milliseconds);
    /// Runs until the condition holds. Fails after `limit` simulated milliseconds.
    template <typename Condition>
    void runUntil(const std::string &what, std::int64_t limit, Condition condition)
    {
        for (std::int64_t waited = 0; !condition(); ++waited) {
            if (waited >= limit) {
                violated("waited " + std::to_string(limit) + " ms in vain for " + what);
            }
            run(1);
        }
    }

    void crash(std::size_t node);
    void restart(std::size_t node);
    /// Crashes the node and starts it with an empty disk and a new storage id.
    void loseDisk(std::size_t node);
    /// A frozen node does nothing; messages to it wait.
    void freeze(std::size_t node);
    void thaw(std::size_t node);
    /// Makes the node's disk refuse writes.
    void setDiskFull(std::size_t node, bool full);
    void cut(std::size_t from, std::size_t to);
    void cutBoth(std::size_t left, std::size_t right);
    void isolate(std::size_t node);
    void heal();

    /// Appends a command at a node that takes itself for the leader.
    std::optional<LogPosition> propose(std::size_t node, const std::string &value);
    /// Starts a confirmed read; its result is checked against what was committed before.
    void read(std::size_t node);

    std::size_t size() const { return m_nodes.size(); }
    bool isUp(std::size_t node) const { return m_nodes[node].raft != nullptr; }
    bool isFrozen(std::size_t node) const { return m_nodes[node].frozen; }
    const Raft &raft(std::size_t node) const { return *m_nodes[node].raft; }
    const std::vector<std::string> &applied(std::size_t node) const
    {
        return m_nodes[node].applied;
    }
    /// Running node that leads the highest term; none if there is no leader.
    std::optional<std::size_t> leader() const;
    std::size_t waitForLeader(std::int64_t limit = 20000);
    /// Runs until all running nodes have applied the same and a new command gets accepted.
    void settle();
    /// Whether every node is a voter with its present disk in every node's applied voter set.
    bool allAdmitted() const;
    std::size_t confirmedReads() const { return m_confirmedReads; }
    std::size_t committed() const { return m_committed.size(); }
    std::size_t ledTerms() const { return m_leaders.size(); }
    std::size_t lostDisks() const { return m_lostDisks; }
    /// Whether the value was applied at any node.
    bool isCommitted(const std::string &value) const;
    std::mt19937_64 &random() { return m_random; }
    double chance() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    std::size_t pick(std::size_t count) { return m_random() % count; }

private:
    struct Node
    {
        std::string name;
        std::uint64_t disk = 1;
        std::int64_t clockOffset = 0;
        std::unique_ptr<Raft> raft;
        bool frozen = false;
        bool diskFull = false;
        // The disk.
        HardState hardState;
        std::shared_ptr<const Snapshot> snapshot;
        std::vector<LogEntry> entries;
        // The applied state: the values in order, and the index they reach.
        std::vector<std::string> applied;
        std::uint64_t appliedIndex = 0;
        /// Reads that run, with the commit index that they must reach.
        std::map<std::uint64_t, std::uint64_t> reads;
    };
    struct Delivery
    {
        std::size_t to = 0;
        RaftMessage message;
    };

    SteadyTimeMs clockOf(const Node &node) const { return m_now + node.clockOffset; }
    void start(Node &node);
    void process(std::size_t index);
    bool save(Node &node, const RaftOutput &output, bool crash);
    void release(Node &node, const RaftReleased &released);
    void applyEntry(Node &node, const LogEntry &entry);
    void compact(Node &node);
    void send(std::size_t from, const std::vector<RaftMessage> &messages);
    std::size_t indexOf(const std::string &name) const;
    void checkLeaders(std::size_t index);
    void checkContact(std::size_t index);
    void checkLogs() const;
    [[noreturn]] void violated(const std::string &what) const;

    const std::uint64_t m_seed;
    std::mt19937_64 m_random;
    std::int64_t m_now = 1000000;
    std::vector<Node> m_nodes;
    std::multimap<std::int64_t, Delivery> m_deliveries;
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
    std::map<std::uint64_t, std::string> m_leaders;
    /// All entries that any node has applied, by index.
    std::map<std::uint64_t, LogEntry> m_committed;
    /// Time from which each index was known to be committed.
    std::vector<std::pair<std::int64_t, std::uint64_t>> m_commitTimes;
    std::size_t m_confirmedReads = 0;
    std::size_t m_settled = 0;
    std::size_t m_lostDisks = 0;
};

} // namespace dandelionloom::test
