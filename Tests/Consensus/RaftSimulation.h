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

/// Deterministic simulation of Raft voters with their network, disks and clocks. All random choices
/// derive from the seed. Each step checks the safety properties; a violation throws an error that
/// states the seed.
class RaftSimulation
{
public:
    struct Network
    {
        double dropProbability = 0;
        double duplicateProbability = 0;
        std::int64_t minDelayMs = 1;
        std::int64_t maxDelayMs = 2;
        /// Messages whose entries and data are larger are not sent; 0 for no limit.
        std::size_t maxMessageBytes = 0;
    };

    /// A group whose members come and go, as opposed to a fixed set of voters.
    struct Group
    {
        /// Number of nodes, from the first on, that all nodes have in their settings. A node can
        /// send to another one only if it is a seed or has become known by a message.
        std::size_t seeds = 0;
        std::size_t targetVoters = 0;
    };

    RaftSimulation(std::size_t nodes, std::uint64_t seed, std::optional<Group> group = {});

    Network network;
    /// Probability that the process crashes during a sync.
    double crashInSyncProbability = 0;
    /// Number of entries after a snapshot at which a node takes the next one; 0 for never.
    std::uint64_t compactEntries = 0;

    /// Advances the simulated time.
    void run(std::int64_t milliseconds);
    /// Runs until the condition holds. Fails after `limit` simulated milliseconds.
    template <typename Condition>
    void runUntil(const std::string &what, std::int64_t limit, Condition condition)
    {
        for (std::int64_t waited = 0; !condition(); ++waited) {
            if (waited >= limit) {
                reportViolation("timed out after " + std::to_string(limit) + " ms without reaching "
                                + what);
            }
            run(1);
        }
    }

    void crash(std::size_t node);
    void restart(std::size_t node);
    /// Crashes the node and restarts it with an empty disk and a new storage id.
    void loseDisk(std::size_t node);
    /// Tells the node that its process is about to stop. It goes on until it is crashed.
    void depart(std::size_t node);
    /// Suspends the node. Messages to it are queued.
    void suspend(std::size_t node);
    void resume(std::size_t node);
    /// Sets whether writes to the node's disk fail because it is full.
    void setDiskFull(std::size_t node, bool full);
    void cut(std::size_t from, std::size_t to);
    void cutBoth(std::size_t left, std::size_t right);
    void isolate(std::size_t node);
    void heal();

    /// Proposes a command on a node. None if the node does not consider itself the leader.
    std::optional<LogPosition> propose(std::size_t node, const std::string &value);
    /// Starts a linearizable read. Its index is checked against the entries committed before.
    void read(std::size_t node);

    std::size_t size() const { return m_nodes.size(); }
    bool isUp(std::size_t node) const { return m_nodes[node].raft != nullptr; }
    bool isSuspended(std::size_t node) const { return m_nodes[node].suspended; }
    const Raft &raft(std::size_t node) const { return *m_nodes[node].raft; }
    const std::vector<std::string> &applied(std::size_t node) const
    {
        return m_nodes[node].applied;
    }
    /// Running leader of the highest term; none if there is no leader.
    std::optional<std::size_t> leader() const;
    std::size_t waitForLeader(std::int64_t limit = 20000);
    /// Runs until a new command is committed and all running nodes have applied the same entries.
    void waitForConvergence();
    /// Whether the committed voter set of every node has all nodes with their current storage ids.
    bool allAdmitted() const;
    /// Whether every running node follows the leader and as many of the running nodes as
    /// Group::targetVoters vote with their current storage ids.
    bool allInGroup() const;
    bool isCurrentVoter(std::size_t node) const;
    /// Number of further losses of a voter that each voter set in use bears.
    std::size_t tolerance() const;
    std::size_t confirmedReads() const { return m_confirmedReads; }
    std::size_t committed() const { return m_committed.size(); }
    std::size_t termsWithLeader() const { return m_leaders.size(); }
    std::size_t lostDisks() const { return m_lostDisks; }
    /// Whether any node has applied the value.
    bool isCommitted(const std::string &value) const;
    std::mt19937_64 &random() { return m_random; }
    double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    std::size_t randomIndex(std::size_t count) { return m_random() % count; }

private:
    struct Node
    {
        std::string name;
        std::uint64_t disk = 1;
        std::int64_t clockOffset = 0;
        std::unique_ptr<Raft> raft;
        bool suspended = false;
        bool diskFull = false;
        // Durable state.
        HardState hardState;
        std::shared_ptr<const Snapshot> snapshot;
        std::vector<LogEntry> entries;
        bool startedBefore = false;
        /// Group: names of the nodes that the node can send to.
        std::set<std::string> addresses;
        // Applied state: all values in order, and the index of the last one.
        std::vector<std::string> applied;
        std::uint64_t appliedIndex = 0;
        /// Pending reads, and the minimum index that each must return.
        std::map<std::uint64_t, std::uint64_t> reads;
    };
    struct Delivery
    {
        std::size_t to = 0;
        RaftMessage message;
    };

    SteadyTimeMs clockOf(const Node &node) const { return m_now + node.clockOffset; }
    void start(Node &node);
    void processOutput(std::size_t index);
    bool writeToDisk(Node &node, const RaftOutput &output, bool crash);
    void applySyncedOutput(Node &node, const RaftSyncedOutput &released);
    void applyEntry(Node &node, const LogEntry &entry);
    void compact(Node &node);
    void send(std::size_t from, const std::vector<RaftMessage> &messages);
    std::size_t indexOf(const std::string &name) const;
    void checkLeaders(std::size_t index);
    void checkContact(std::size_t index);
    void checkLogs() const;
    [[noreturn]] void reportViolation(const std::string &what) const;

    VoterId idOf(const Node &node) const
    {
        return {node.name, node.name + "-" + std::to_string(node.disk)};
    }
    void updateAddresses(Node &node);

    const std::uint64_t m_seed;
    const std::optional<Group> m_group;
    std::mt19937_64 m_random;
    std::int64_t m_now = 1000000;
    std::vector<Node> m_nodes;
    std::multimap<std::int64_t, Delivery> m_deliveries;
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
    std::map<std::uint64_t, std::string> m_leaders;
    /// Entries that at least one node has applied, by index.
    std::map<std::uint64_t, LogEntry> m_committed;
    /// Time at which each index was first applied on a node.
    std::vector<std::pair<std::int64_t, std::uint64_t>> m_commitTimes;
    std::size_t m_confirmedReads = 0;
    std::size_t m_convergenceMarkers = 0;
    std::size_t m_lostDisks = 0;
};

} // namespace dandelionloom::test
