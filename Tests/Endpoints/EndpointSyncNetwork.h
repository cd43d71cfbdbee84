#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Runtime/EndpointSync.h"

namespace dandelionloom::test {

class NoMetrics : public MetricSink
{
public:
    void count(const std::string &, const std::string &, double) override { }
    void gauge(const std::string &, const std::string &, double) override { }
    void observe(const std::string &, const std::string &, double) override { }
};

/// Simulated network of entry instances a, b, c... with a shared clock. Messages are queued until
/// the test delivers them, so that it controls loss, duplication, reordering and partitions.
class EndpointSyncNetwork
{
public:
    explicit EndpointSyncNetwork(std::size_t nodes, std::uint32_t seed = 1);

    EndpointTable &table(const std::string &node) { return m_nodes.at(node)->table; }
    bool announce(const std::string &node, const Announcement &announcement);

    /// Sets the probabilities that a message is lost or duplicated, and whether messages are
    /// reordered.
    void setFaults(double loss, double duplication, bool reorder);
    void partition(const std::string &left, const std::string &right);
    void healPartitions() { m_partitions.clear(); }
    /// Drops all queued messages; their senders get an error.
    void dropPending();
    std::size_t pendingCount(PeerMessageKind kind) const;

    /// Delivers messages until none is left.
    void deliver();
    /// Advances the clock in steps; each step ticks, delivers messages and expires leases.
    void run(Milliseconds duration);
    /// Advances the clock and ticks once, without delivering messages.
    void advanceAndTick(Milliseconds duration);

    /// "instance incarnation state address owner" of each record of a table, sorted.
    std::vector<std::string> view(const std::string &node);
    bool viewsAgree();
    std::vector<std::string> names() const;
    SteadyTimeMs now() const { return m_now; }
    std::size_t delivered(PeerMessageKind kind) const;

private:
    struct Message
    {
        std::string from;
        std::string to;
        PeerMessageKind kind = PeerMessageKind::EndpointDelta;
        std::string body;
        PeerTransport::Reply reply;
    };
    struct Transport : PeerTransport
    {
        void setHandler(PeerMessageKind kind, Handler handler) override
        {
            handlers[kind] = std::move(handler);
        }
        void call(const std::string &peer, PeerMessageKind kind, std::string body, Milliseconds,
                  Reply reply) override
        {
            network->m_messages.push_back({self, peer, kind, std::move(body), std::move(reply)});
        }

        EndpointSyncNetwork *network = nullptr;
        std::string self;
        std::map<PeerMessageKind, Handler> handlers;
    };
    struct Node : AnnouncementHandler
    {
        Node(EndpointSyncNetwork &simulation, const std::string &name,
             std::vector<std::string> peers);
        AnnouncementResponse announce(const Announcement &announcement) override;

        EndpointSyncNetwork &network;
        std::string self;
        EndpointTable table;
        Transport transport;
        NoMetrics metrics;
        std::unique_ptr<EndpointSync> endpointSync;
    };

    bool chance(double probability);
    void deliverOne(Message message);

    std::mt19937 m_random;
    SteadyTimeMs m_now = 1000000;
    std::deque<Message> m_messages;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::set<std::pair<std::string, std::string>> m_partitions;
    std::map<PeerMessageKind, std::size_t> m_delivered;
    double m_loss = 0;
    double m_duplication = 0;
    bool m_reorder = false;
};

Announcement makeAnnouncement(const std::string &instance, std::uint64_t incarnation,
                              EndpointState state = EndpointState::Serving);

} // namespace dandelionloom::test
