#include "SlotSharing.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <optional>
#include <queue>
#include <string>

#include "Decisions/SlotShares.h"

namespace dandelionloom::measure {

namespace {

/// Interval at which the gateways exchange their demand.
constexpr double demandIntervalMs = 250;
/// Consecutive refusals, each by another endpoint, after which a gateway takes the pool as full and
/// keeps to its shares. A single refusal is common when two gateways choose the same endpoint.
constexpr int refusalsBeforeShares = 3;
/// Consecutive probes beyond the shares that must succeed before a gateway stops keeping to them. A
/// single probe often succeeds by chance, even in a full pool.
constexpr int probesToEndShares = 2;
/// Interval between probes beyond the shares.
constexpr double probeIntervalMs = 20;
/// Time for which a gateway keeps to its shares after those refusals.
constexpr double sharesDurationMs = 250;
/// Time before a gateway tries a full endpoint or pool again.
constexpr double refusalBackOffMs = 5;

struct Completion
{
    double atMs = 0;
    std::uint32_t endpoint = 0;
    int gateway = 0;

    bool operator>(const Completion &other) const { return atMs > other.atMs; }
};

struct QueuedRequest
{
    double arrivedAt = 0;
    double deadlineAt = 0;
    double runMs = 0;
};

class SharingReplay
{
public:
    SharingReplay(const Deployment &deployment, const std::vector<Arrival> &arrivals,
                  SharingPolicy policy, int gateways, std::uint64_t seed)
        : m_deployment(deployment), m_arrivals(arrivals), m_policy(policy), m_random(seed),
          m_queues(static_cast<std::size_t>(gateways)),
          m_retryAt(static_cast<std::size_t>(gateways), 0),
          m_sharesUntil(static_cast<std::size_t>(gateways), 0),
          m_nextProbeAt(static_cast<std::size_t>(gateways), 0),
          m_consecutiveGoodProbes(static_cast<std::size_t>(gateways), 0),
          m_consecutiveRefusals(static_cast<std::size_t>(gateways), 0),
          m_backOffUntil(static_cast<std::size_t>(gateways),
                         std::vector<double>(deployment.endpoints, 0)),
          m_usedSlots(deployment.endpoints, 0),
          m_usedSlotsByGateway(static_cast<std::size_t>(gateways),
                               std::vector<std::uint32_t>(deployment.endpoints, 0)),
          m_shares(static_cast<std::size_t>(gateways),
                   std::vector<std::uint32_t>(deployment.endpoints, 0))
    { }

    SharingResult run()
    {
        updateShares();
        std::size_t nextArrival = 0;
        constexpr double stepMs = 1;
        const double endMs = m_arrivals.back().atMs + m_deployment.deadlineMs;
        double nextUpdateMs = demandIntervalMs;
        for (double now = 0; now < endMs; now += stepMs) {
            for (; nextArrival < m_arrivals.size() && m_arrivals[nextArrival].atMs <= now;
                 ++nextArrival) {
                const Arrival &arrival = m_arrivals[nextArrival];
                m_queues[static_cast<std::size_t>(arrival.gateway)].push_back(
                        {arrival.atMs, arrival.atMs + m_deployment.deadlineMs, arrival.runMs});
            }
            for (; !m_completions.empty() && m_completions.top().atMs <= now; m_completions.pop()) {
                --m_usedSlots[m_completions.top().endpoint];
                --m_usedSlotsByGateway[static_cast<std::size_t>(m_completions.top().gateway)]
                                      [m_completions.top().endpoint];
            }
            if (now >= nextUpdateMs) {
                updateShares();
                nextUpdateMs += demandIntervalMs;
            }
            for (std::size_t gateway = 0; gateway < m_queues.size(); ++gateway) {
                startQueued(gateway, now);
            }
            recordIdleSlots(stepMs);
        }
        return summary();
    }

private:
    void updateShares()
    {
        std::vector<GatewayDemand> demands;
        for (std::size_t gateway = 0; gateway < m_queues.size(); ++gateway) {
            double demand = static_cast<double>(m_queues[gateway].size());
            for (const std::uint32_t used : m_usedSlotsByGateway[gateway]) {
                demand += used;
            }
            demands.push_back({std::to_string(gateway), demand});
        }
        for (std::uint32_t endpoint = 0; endpoint < m_deployment.endpoints; ++endpoint) {
            const auto shares = allocateSlots("endpoint-" + std::to_string(endpoint),
                                              m_deployment.slotsPerEndpoint, demands);
            for (std::size_t gateway = 0; gateway < m_queues.size(); ++gateway) {
                m_shares[gateway][endpoint] = shares.at(std::to_string(gateway));
            }
        }
    }

    std::uint32_t slotLimit(std::size_t gateway, std::uint32_t endpoint, double now) const
    {
        const bool usesShares = m_policy == SharingPolicy::Shares
                || m_policy == SharingPolicy::SharesWithProbe
                || (m_policy == SharingPolicy::Adaptive && now < m_sharesUntil[gateway]);
        return usesShares ? m_shares[gateway][endpoint] : m_deployment.slotsPerEndpoint;
    }

    /// Returns the endpoint with the lowest utilization that the gateway may use. With owners the
    /// utilization is exact, otherwise a gateway sees only its own requests.
    std::optional<std::uint32_t> chooseEndpoint(std::size_t gateway, double now)
    {
        std::optional<std::uint32_t> chosen;
        double minUtilization = std::numeric_limits<double>::infinity();
        const std::uint32_t offset =
                static_cast<std::uint32_t>(m_random() % m_deployment.endpoints);
        for (std::uint32_t step = 0; step < m_deployment.endpoints; ++step) {
            const std::uint32_t endpoint = (step + offset) % m_deployment.endpoints;
            const std::uint32_t used = m_policy == SharingPolicy::Owner
                    ? m_usedSlots[endpoint]
                    : m_usedSlotsByGateway[gateway][endpoint];
            const std::uint32_t maxUsed = slotLimit(gateway, endpoint, now);
            const bool inBackOff = m_backOffUntil[gateway][endpoint] > now;
            if (!inBackOff && used < maxUsed
                && static_cast<double>(used) / maxUsed < minUtilization) {
                minUtilization = static_cast<double>(used) / maxUsed;
                chosen = endpoint;
            }
        }
        if (!chosen && m_policy == SharingPolicy::SharesWithProbe) {
            chosen = offset;
        }
        return chosen;
    }

    void startQueued(std::size_t gateway, double now)
    {
        std::deque<QueuedRequest> &queue = m_queues[gateway];
        while (!queue.empty() && queue.front().deadlineAt <= now) {
            queue.pop_front();
        }
        while (!queue.empty() && now >= m_retryAt[gateway]) {
            auto endpoint = chooseEndpoint(gateway, now);
            bool isProbe = false;
            if (!endpoint && m_policy == SharingPolicy::Adaptive && now < m_sharesUntil[gateway]
                && now >= m_nextProbeAt[gateway]) {
                isProbe = true;
                m_nextProbeAt[gateway] = now + probeIntervalMs;
                endpoint = static_cast<std::uint32_t>(m_random() % m_deployment.endpoints);
            }
            if (!endpoint) {
                return;
            }
            if (m_usedSlots[*endpoint] >= m_deployment.slotsPerEndpoint) {
                recordRefusal(gateway, *endpoint, now);
                continue;
            }
            m_consecutiveRefusals[gateway] = 0;
            if (isProbe && ++m_consecutiveGoodProbes[gateway] >= probesToEndShares) {
                m_sharesUntil[gateway] = now;
                m_consecutiveGoodProbes[gateway] = 0;
            }
            startRequest(gateway, *endpoint, now);
        }
    }

    void recordRefusal(std::size_t gateway, std::uint32_t endpoint, double now)
    {
        ++m_refusals;
        m_consecutiveGoodProbes[gateway] = 0;
        m_extraMs += m_deployment.zoneRoundTripMs;
        m_backOffUntil[gateway][endpoint] = now + refusalBackOffMs;
        if (++m_consecutiveRefusals[gateway] >= refusalsBeforeShares) {
            m_sharesUntil[gateway] = now + sharesDurationMs;
            m_retryAt[gateway] = now + refusalBackOffMs;
        }
    }

    void startRequest(std::size_t gateway, std::uint32_t endpoint, double now)
    {
        const QueuedRequest request = m_queues[gateway].front();
        m_queues[gateway].pop_front();
        const double grantMs = m_policy == SharingPolicy::Owner ? m_deployment.zoneRoundTripMs : 0;
        m_extraMs += grantMs;
        ++m_usedSlots[endpoint];
        ++m_usedSlotsByGateway[gateway][endpoint];
        // A granted slot is occupied during the round trip to its owner.
        m_completions.push({now + grantMs + request.runMs, endpoint, static_cast<int>(gateway)});
        m_waits.push_back(now + grantMs - request.arrivedAt);
    }

    void recordIdleSlots(double stepMs)
    {
        const bool waiting = std::any_of(m_queues.begin(), m_queues.end(),
                                         [](const auto &queue) { return !queue.empty(); });
        if (!waiting) {
            return;
        }
        for (const std::uint32_t used : m_usedSlots) {
            m_idleSlotMs += (m_deployment.slotsPerEndpoint - used) * stepMs;
        }
        m_waitingSlotMs += m_deployment.slots() * stepMs;
    }

    SharingResult summary()
    {
        SharingResult result;
        const auto served = static_cast<double>(m_waits.size());
        result.refusedPer100 = 100 * m_refusals / served;
        result.idleWhileWaitingPercent =
                m_waitingSlotMs > 0 ? 100 * m_idleSlotMs / m_waitingSlotMs : 0;
        result.extraMs = m_extraMs / served;
        std::sort(m_waits.begin(), m_waits.end());
        for (const double wait : m_waits) {
            result.waitMeanMs += wait / served;
        }
        result.waitP99Ms = m_waits[static_cast<std::size_t>(0.99 * served)];
        return result;
    }

    const Deployment &m_deployment;
    const std::vector<Arrival> &m_arrivals;
    const SharingPolicy m_policy;
    std::mt19937_64 m_random;
    std::vector<std::deque<QueuedRequest>> m_queues;
    std::vector<double> m_retryAt;
    std::vector<double> m_sharesUntil;
    std::vector<double> m_nextProbeAt;
    std::vector<int> m_consecutiveGoodProbes;
    std::vector<int> m_consecutiveRefusals;
    std::vector<std::vector<double>> m_backOffUntil;
    std::vector<std::uint32_t> m_usedSlots;
    std::vector<std::vector<std::uint32_t>> m_usedSlotsByGateway;
    std::vector<std::vector<std::uint32_t>> m_shares;
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> m_completions;
    std::vector<double> m_waits;
    double m_refusals = 0;
    double m_extraMs = 0;
    double m_idleSlotMs = 0;
    double m_waitingSlotMs = 0;
};

} // namespace

SharingResult replaySharing(const Deployment &deployment, const std::vector<Arrival> &arrivals,
                            SharingPolicy policy, int gateways, std::uint64_t seed)
{
    return SharingReplay(deployment, arrivals, policy, gateways, seed).run();
}

} // namespace dandelionloom::measure
