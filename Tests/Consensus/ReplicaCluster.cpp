#include "Consensus/ReplicaCluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace dandelionloom::test {

namespace {

constexpr std::int64_t waitLimitMs = 20000;

} // namespace

void EventRecorder::event(LogSeverity severity, const std::string &component,
                          const std::string &message)
{
    const std::lock_guard lock(m_mutex);
    m_lines.push_back(std::string(logSeverityNames.name(severity)) + " " + component + ": "
                      + message);
}

bool EventRecorder::contains(const std::string &part) const
{
    return text().find(part) != std::string::npos;
}

std::string EventRecorder::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string result;
    for (const std::string &line : m_lines) {
        result += line + "\n";
    }
    return result;
}

ReplicaCluster::ReplicaCluster(const std::vector<Member> &members, std::uint64_t seed)
{
    for (const Member &member : members) {
        auto node = std::make_unique<Node>();
        node->options.name = member.name;
        node->options.availabilityZone = member.zone;
        node->options.group = "region-1";
        node->options.seed = seed + m_nodes.size();
        for (const Member &peer : members) {
            if (peer.name != member.name) {
                node->options.peers.push_back({peer.name, peer.zone, peer.voter});
            }
        }
        if (member.voter) {
            node->storage = std::make_unique<MemoryLogStorage>(member.name);
        }
        m_nodes.emplace(member.name, std::move(node));
    }
}

ReplicaCluster::~ReplicaCluster()
{
    for (auto &item : m_nodes) {
        if (item.second->storage) {
            item.second->storage->block(false);
        }
        stop(item.first);
    }
}

void ReplicaCluster::start(const std::string &name)
{
    Node &started = node(name);
    m_stopped.push_back({std::move(started.transport), std::move(started.store),
                         std::move(started.events), std::move(started.replica)});
    started.failed = false;
    started.transport = m_network.transport(name);
    started.store = std::make_unique<StateStore>(started.options.group);
    started.events = std::make_unique<EventRecorder>();
    started.replica =
            std::make_unique<Replica>(started.options, started.storage.get(), *started.transport,
                                      *started.store, *started.events, *started.events,
                                      [&started](const std::string &) { started.failed = true; });
    CPPUNIT_ASSERT(isOk(started.replica->open()));
    m_network.setUp(name, true);
    started.replica->start();
}

void ReplicaCluster::startAll()
{
    for (auto &item : m_nodes) {
        start(item.first);
    }
}

void ReplicaCluster::stop(const std::string &name)
{
    m_network.setUp(name, false);
    if (node(name).replica) {
        node(name).replica->stop();
    }
}

std::string ReplicaCluster::waitForLeader(const std::vector<std::string> &names)
{
    std::string leader;
    waitUntil("a leader", [&] {
        leader = replica(names.front()).status().leader;
        for (const std::string &name : names) {
            if (replica(name).status().leader != leader) {
                return false;
            }
        }
        return std::find(names.begin(), names.end(), leader) != names.end()
                && replica(leader).status().role == LogRole::Leader;
    });
    return leader;
}

void ReplicaCluster::waitUntil(const std::string &what, const std::function<bool()> &condition)
{
    const SteadyTimeMs end = steadyTimeNow() + waitLimitMs;
    while (!condition()) {
        if (steadyTimeNow() > end) {
            std::string events;
            for (const auto &item : m_nodes) {
                events += item.first + ":\n"
                        + (item.second->events ? item.second->events->text() : "");
            }
            CPPUNIT_FAIL("timed out waiting for " + what + "\n" + events);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
}

std::vector<std::string> ReplicaCluster::names() const
{
    std::vector<std::string> result;
    for (const auto &item : m_nodes) {
        result.push_back(item.first);
    }
    return result;
}

ApplyList plansChange(const std::string &changeId, std::uint64_t expectedRevision)
{
    ApplyList change;
    change.change = {changeId, "operator-1"};
    change.kind = ListKind::Plans;
    change.expectedRevision = expectedRevision;
    Plan plan;
    plan.id = "quotes";
    plan.customer = changeId;
    plan.service = "pricing";
    change.plans = {plan};
    return change;
}

} // namespace dandelionloom::test
