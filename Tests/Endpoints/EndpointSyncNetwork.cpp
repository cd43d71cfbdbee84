#include "Endpoints/EndpointSyncNetwork.h"

#include <algorithm>

namespace dandelionloom::test {

namespace {

constexpr Milliseconds step{100};
/// Bounds a test in which nodes answer each other endlessly; far above what any test needs.
constexpr std::size_t maxDeliveries = 200000;

} // namespace

Announcement makeAnnouncement(const std::string &instance, std::uint64_t incarnation,
                              EndpointState state)
{
    Announcement announcement;
    announcement.instance = instance;
    announcement.address = "10.0.0.1:9000";
    announcement.service = "pricing";
    announcement.rack = "rack-1";
    announcement.availabilityZone = "zone-1";
    announcement.incarnation = incarnation;
    announcement.state = state;
    return announcement;
}

EndpointSyncNetwork::Node::Node(EndpointSyncNetwork &simulation, const std::string &name,
                                std::vector<std::string> peers)
    : network(simulation), self(name), table(EndpointTableOptions{.self = name})
{
    transport.network = &simulation;
    transport.self = name;
    EndpointSyncOptions options;
    options.self = name;
    options.incarnation = 1;
    options.peers = std::move(peers);
    options.maxRecordsPerMessage = 3;
    options.clock = [&simulation] { return simulation.m_now; };
    endpointSync = std::make_unique<EndpointSync>(options, *this, table, transport, metrics,
                                                  [](const std::string &) {});
}

AnnouncementResponse EndpointSyncNetwork::Node::announce(const Announcement &announcement)
{
    AnnouncementResponse answer;
    answer.accepted = isAccepted(table.announce(announcement, self, network.m_now));
    return answer;
}

EndpointSyncNetwork::EndpointSyncNetwork(std::size_t nodes, std::uint32_t seed) : m_random(seed)
{
    std::vector<std::string> all;
    for (std::size_t index = 0; index < nodes; ++index) {
        all.emplace_back(1, static_cast<char>('a' + index));
    }
    for (const std::string &name : all) {
        std::vector<std::string> peers = all;
        std::erase(peers, name);
        m_nodes.emplace(name, std::make_unique<Node>(*this, name, peers));
    }
}

bool EndpointSyncNetwork::announce(const std::string &node, const Announcement &announcement)
{
    return m_nodes.at(node)->endpointSync->announce(announcement).accepted;
}

void EndpointSyncNetwork::setFaults(double loss, double duplication, bool reorder)
{
    m_loss = loss;
    m_duplication = duplication;
    m_reorder = reorder;
}

void EndpointSyncNetwork::partition(const std::string &left, const std::string &right)
{
    m_partitions.insert({left, right});
    m_partitions.insert({right, left});
}

void EndpointSyncNetwork::dropPending()
{
    for (const Message &message : std::exchange(m_messages, {})) {
        message.reply(PeerError{PeerErrorKind::NoAnswer, "lost"});
    }
}

std::size_t EndpointSyncNetwork::pendingCount(PeerMessageKind kind) const
{
    return static_cast<std::size_t>(
            std::count_if(m_messages.begin(), m_messages.end(),
                          [&](const Message &message) { return message.kind == kind; }));
}

bool EndpointSyncNetwork::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

void EndpointSyncNetwork::deliver()
{
    for (std::size_t count = 0; !m_messages.empty() && count < maxDeliveries; ++count) {
        const std::size_t index = m_reorder ? m_random() % m_messages.size() : 0;
        Message message = std::move(m_messages[index]);
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
        deliverOne(std::move(message));
    }
}

void EndpointSyncNetwork::deliverOne(Message message)
{
    if (m_partitions.contains({message.from, message.to}) || chance(m_loss)) {
        message.reply(PeerError{PeerErrorKind::NoAnswer, "lost"});
        return;
    }
    ++m_delivered[message.kind];
    const auto &handler = m_nodes.at(message.to)->transport.handlers.at(message.kind);
    handler(message.from, message.body, message.reply);
    if (chance(m_duplication)) {
        Message late = message;
        late.reply = [](const PeerResult &) {};
        m_messages.push_back(std::move(late));
    }
}

void EndpointSyncNetwork::run(Milliseconds duration)
{
    for (Milliseconds passed{0}; passed < duration; passed += step) {
        advanceAndTick(step);
        deliver();
        for (const auto &[name, node] : m_nodes) {
            node->table.expire(m_now);
        }
    }
}

void EndpointSyncNetwork::advanceAndTick(Milliseconds duration)
{
    m_now += duration.count();
    for (const auto &[name, node] : m_nodes) {
        node->endpointSync->tick(m_now);
    }
}

std::vector<std::string> EndpointSyncNetwork::view(const std::string &node)
{
    std::vector<std::string> result;
    for (const auto &record : table(node).all()) {
        result.push_back(record->announcement.instance + " "
                         + std::to_string(record->announcement.incarnation) + " "
                         + std::string(endpointStateNames.name(record->announcement.state)) + " "
                         + record->announcement.address + " " + record->owner);
    }
    std::sort(result.begin(), result.end());
    return result;
}

bool EndpointSyncNetwork::viewsAgree()
{
    const std::vector<std::string> first = view("a");
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [&](const auto &item) { return view(item.first) == first; });
}

std::vector<std::string> EndpointSyncNetwork::names() const
{
    std::vector<std::string> result;
    for (const auto &item : m_nodes) {
        result.push_back(item.first);
    }
    return result;
}

std::size_t EndpointSyncNetwork::delivered(PeerMessageKind kind) const
{
    const auto found = m_delivered.find(kind);
    return found == m_delivered.end() ? 0 : found->second;
}

} // namespace dandelionloom::test
