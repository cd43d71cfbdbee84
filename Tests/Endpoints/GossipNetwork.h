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

#include "Runtime/EndpointGossip.h"

namespace dandelionloom::test {

class NoMetrics : public MetricSink
{
public:
    void count(const std::string &, const std::string &, double) override { }
    void gauge(const std::string &, const std::string &, double) override { }
    void observe(const std::string &, const std::string &, double) override { }
};

/// Entry instances a, b, c... with a shared clock and messages that wait until they are delivered,
/// so that a test decides which are lost, doubled, reordered or cut off.
class GossipNetwork
{
public:
    explicit GossipNetwork(std::size_t nodes, std::uint32_t seed = 1);

    EndpointTable &table(const std::string &node) { return m_nodes.at(node)->table; }
    bool announce(const std::string &node, const Announcement &announcement);

    /// Shares of messages that are lost or doubled, and whether they overtake each other.
    void disturb(double loss, double duplicates, bool reorder);
    void cut(const std::string &left, const std::string &right);
    void heal() { m_cuts.clear(); }
    /// Loses all waiting messages.
    void loseWaiting();
    std::size_t waiting(PeerMessageKind kind) const;

    /// Delivers messages until none is left.
    void deliver();
    /// Moves the clock in steps, with ticks, deliveries and ended leases.
    void run(Milliseconds duration);
    /// Moves the clock and ticks once, without delivering.
    void tickAfter(Milliseconds duration);

    /// "instance incarnation state owner" of each record, for comparisons between tables.
    std::vector<std::string> view(const std::string &node);
    bool agree();
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

        GossipNetwork *network = nullptr;
        std::string self;
        std::map<PeerMessageKind, Handler> handlers;
    };
    struct Node : AnnouncementHandler
    {
        Node(GossipNetwork &owner, const std::string &name, std::vector<std::string> peers);
        AnnouncementAnswer announce(const Announcement &announcement) override;

        GossipNetwork &network;
        std::string self;
        EndpointTable table;
        Transport transport;
        NoMetrics metrics;
        std::unique_ptr<EndpointGossip> gossip;
    };

    bool chance(double share);
    void deliverOne(Message message);

    std::mt19937 m_random;
    SteadyTimeMs m_now = 1000000;
    std::deque<Message> m_messages;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<PeerMessageKind, std::size_t> m_delivered;
    double m_loss = 0;
    double m_duplicates = 0;
    bool m_reorder = false;
};

Announcement endpointOf(const std::string &instance, std::uint64_t incarnation,
                        EndpointState state = EndpointState::Serving);

} // namespace dandelionloom::test
