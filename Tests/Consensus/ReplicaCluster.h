#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Consensus/FakePeerNetwork.h"
#include "Consensus/MemoryLogStorage.h"
#include "Runtime/Replica.h"

namespace dandelionloom::test {

/// Records the events of a replica and discards decisions and metrics.
class EventRecorder : public DecisionLog, public MetricSink
{
public:
    void write(const Decision &) override { }
    void event(LogSeverity severity, const std::string &component,
               const std::string &message) override;
    void count(const std::string &, const std::string &, double) override { }
    void gauge(const std::string &, const std::string &, double) override { }
    void observe(const std::string &, const std::string &, double) override { }

    bool contains(const std::string &part) const;
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lines;
};

/// Several replicas in one process. Voters are a, b, c, ... in zones z1, z2, ...
class ReplicaCluster
{
public:
    struct Node
    {
        ReplicaOptions options;
        std::unique_ptr<MemoryLogStorage> storage;
        std::unique_ptr<PeerTransport> transport;
        std::unique_ptr<StateStore> store;
        std::unique_ptr<EventRecorder> events;
        std::unique_ptr<Replica> replica;
        std::atomic<bool> failed{false};
    };

    /// Name and zone of an instance, and whether it is a voter.
    struct Member
    {
        std::string name;
        std::string zone;
        bool voter = true;
    };
    /// Creates the instances without starting them.
    ReplicaCluster(const std::vector<Member> &members, std::uint64_t seed);
    ~ReplicaCluster();

    void start(const std::string &name);
    void startAll();
    /// Stops a replica and keeps its storage.
    void stop(const std::string &name);

    Node &node(const std::string &name) { return *m_nodes.at(name); }
    Replica &replica(const std::string &name) { return *node(name).replica; }
    FakePeerNetwork &network() { return m_network; }
    /// Waits until all of `names` know the same leader, which is one of them, and returns its name.
    std::string waitForLeader(const std::vector<std::string> &names);
    /// Waits until the condition holds. After 20 s fails the test and reports the recorded events.
    void waitUntil(const std::string &what, const std::function<bool()> &condition);
    std::vector<std::string> names() const;

private:
    /// Objects of a stopped process, kept alive because the network may still hold its handlers and
    /// reply callbacks.
    struct Stopped
    {
        std::unique_ptr<PeerTransport> transport;
        std::unique_ptr<StateStore> store;
        std::unique_ptr<EventRecorder> events;
        std::unique_ptr<Replica> replica;
    };

    std::vector<Stopped> m_stopped;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    FakePeerNetwork m_network;
};

/// A valid change of the plans list for the expected revision.
ApplyList plansChange(const std::string &changeId, std::uint64_t expectedRevision);

} // namespace dandelionloom::test
