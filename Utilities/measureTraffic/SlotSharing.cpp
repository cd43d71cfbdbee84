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

/// Interval at which the gateways tell each other their demand.
constexpr double demandIntervalMs = 250;
/// Refusals in a row, each at another endpoint, that tell a gateway that the pool is full. One
/// alone is common when two gateways choose the same endpoint.
constexpr int refusalsForShares = 3;
/// Attempts in a row beyond the shares that must succeed to end the shares early: in a full pool
/// one alone often succeeds by chance.
constexpr int probesToEndShares = 2;
/// Pause between two attempts beyond the shares.
constexpr double probePauseMs = 20;
/// How long a gateway keeps to its shares after that.
constexpr double sharesAfterRefusalMs = 250;
/// Pause before a gateway tries a full endpoint or pool again.
constexpr double refusedPauseMs = 5;

struct Finish
{
    double atMs = 0;
    std::uint32_t endpoint = 0;
    int gateway = 0;

    bool operator>(const Finish &other) const { return atMs > other.atMs; }
};

struct Waiting
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
          m_mayTryAt(static_cast<std::size_t>(gateways), 0),
          m_sharesUntil(static_cast<std::size_t>(gateways), 0),
          m_probeAt(static_cast<std::size_t>(gateways), 0),
          m_probesInARow(static_cast<std::size_t>(gateways), 0),
          m_refusalsInARow(static_cast<std::size_t>(gateways), 0),
          m_refusedUntil(static_cast<std::size_t>(gateways),
                         std::vector<double>(deployment.endpoints, 0)),
          m_used(deployment.endpoints, 0),
          m_usedBy(static_cast<std::size_t>(gateways),
                   std::vector<std::uint32_t>(deployment.endpoints, 0)),
          m_shares(static_cast<std::size_t>(gateways),
                   std::vector<std::uint32_t>(deployment.endpoints, 0))
    { }

    SharingResult run()
    {
        divide();
        std::size_t next = 0;
        constexpr double stepMs = 1;
        const double endMs = m_arrivals.back().atMs + m_deployment.deadlineMs;
        double divideAt = demandIntervalMs;
        for (double now = 0; now < endMs; now += stepMs) {
            for (; next < m_arrivals.size() && m_arrivals[next].atMs <= now; ++next) {
                const Arrival &arrival = m_arrivals[next];
                m_queues[static_cast<std::size_t>(arrival.gateway)].push_back(
                        {arrival.atMs, arrival.atMs + m_deployment.deadlineMs, arrival.runMs});
            }
            for (; !m_finishes.empty() && m_finishes.top().atMs <= now; m_finishes.pop()) {
                --m_used[m_finishes.top().endpoint];
                --m_usedBy[static_cast<std::size_t>(m_finishes.top().gateway)]
                          [m_finishes.top().endpoint];
            }
            if (now >= divideAt) {
                divide();
                divideAt += demandIntervalMs;
            }
            for (std::size_t gateway = 0; gateway < m_queues.size(); ++gateway) {
                serve(gateway, now);
            }
            countIdle(stepMs);
        }
        return summary();
    }

private:
    void divide()
    {
        std::vector<GatewayDemand> demands;
        for (std::size_t gateway = 0; gateway < m_queues.size(); ++gateway) {
            double demand = static_cast<double>(m_queues[gateway].size());
            for (const std::uint32_t used : m_usedBy[gateway]) {
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

    std::uint32_t limit(std::size_t gateway, std::uint32_t endpoint, double now) const
    {
        const bool shared = m_policy == SharingPolicy::Shares
                || m_policy == SharingPolicy::SharesWithProbe
                || (m_policy == SharingPolicy::Adaptive && now < m_sharesUntil[gateway]);
        return shared ? m_shares[gateway][endpoint] : m_deployment.slotsPerEndpoint;
    }

    /// The endpoint that the gateway would use: an owner sees the true use, others only their own.
    std::optional<std::uint32_t> choose(std::size_t gateway, double now)
    {
        std::optional<std::uint32_t> chosen;
        double lowest = std::numeric_limits<double>::infinity();
        const std::uint32_t offset =
                static_cast<std::uint32_t>(m_random() % m_deployment.endpoints);
        for (std::uint32_t step = 0; step < m_deployment.endpoints; ++step) {
            const std::uint32_t endpoint = (step + offset) % m_deployment.endpoints;
            const std::uint32_t used = m_policy == SharingPolicy::Owner
                    ? m_used[endpoint]
                    : m_usedBy[gateway][endpoint];
            const std::uint32_t most = limit(gateway, endpoint, now);
            const bool paused = m_refusedUntil[gateway][endpoint] > now;
            if (!paused && used < most && static_cast<double>(used) / most < lowest) {
                lowest = static_cast<double>(used) / most;
                chosen = endpoint;
            }
        }
        if (!chosen && m_policy == SharingPolicy::SharesWithProbe) {
            chosen = offset;
        }
        return chosen;
    }

    void serve(std::size_t gateway, double now)
    {
        std::deque<Waiting> &queue = m_queues[gateway];
        while (!queue.empty() && queue.front().deadlineAt <= now) {
            queue.pop_front();
        }
        while (!queue.empty() && now >= m_mayTryAt[gateway]) {
            auto endpoint = choose(gateway, now);
            bool isProbe = false;
            if (!endpoint && m_policy == SharingPolicy::Adaptive && now < m_sharesUntil[gateway]
                && now >= m_probeAt[gateway]) {
                isProbe = true;
                m_probeAt[gateway] = now + probePauseMs;
                endpoint = static_cast<std::uint32_t>(m_random() % m_deployment.endpoints);
            }
            if (!endpoint) {
                return;
            }
            if (m_used[*endpoint] >= m_deployment.slotsPerEndpoint) {
                refused(gateway, *endpoint, now);
                continue;
            }
            m_refusalsInARow[gateway] = 0;
            if (isProbe && ++m_probesInARow[gateway] >= probesToEndShares) {
                m_sharesUntil[gateway] = now;
                m_probesInARow[gateway] = 0;
            }
            start(gateway, *endpoint, now);
        }
    }

    void refused(std::size_t gateway, std::uint32_t endpoint, double now)
    {
        ++m_refused;
        m_probesInARow[gateway] = 0;
        m_extraMs += m_deployment.zoneRoundTripMs;
        m_refusedUntil[gateway][endpoint] = now + refusedPauseMs;
        if (++m_refusalsInARow[gateway] >= refusalsForShares) {
            m_sharesUntil[gateway] = now + sharesAfterRefusalMs;
            m_mayTryAt[gateway] = now + refusedPauseMs;
        }
    }

    void start(std::size_t gateway, std::uint32_t endpoint, double now)
    {
        const Waiting request = m_queues[gateway].front();
        m_queues[gateway].pop_front();
        const double grantMs = m_policy == SharingPolicy::Owner ? m_deployment.zoneRoundTripMs : 0;
        m_extraMs += grantMs;
        ++m_used[endpoint];
        ++m_usedBy[gateway][endpoint];
        // A granted slot is held during the round trip to its owner.
        m_finishes.push({now + grantMs + request.runMs, endpoint, static_cast<int>(gateway)});
        m_waits.push_back(now + grantMs - request.arrivedAt);
    }

    void countIdle(double stepMs)
    {
        const bool waiting = std::any_of(m_queues.begin(), m_queues.end(),
                                         [](const auto &queue) { return !queue.empty(); });
        if (!waiting) {
            return;
        }
        for (const std::uint32_t used : m_used) {
            m_idleSlotMs += (m_deployment.slotsPerEndpoint - used) * stepMs;
        }
        m_waitingSlotMs += m_deployment.slots() * stepMs;
    }

    SharingResult summary()
    {
        SharingResult result;
        const auto served = static_cast<double>(m_waits.size());
        result.refusedPer100 = 100 * m_refused / served;
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
    std::vector<std::deque<Waiting>> m_queues;
    std::vector<double> m_mayTryAt;
    std::vector<double> m_sharesUntil;
    std::vector<double> m_probeAt;
    std::vector<int> m_probesInARow;
    std::vector<int> m_refusalsInARow;
    std::vector<std::vector<double>> m_refusedUntil;
    std::vector<std::uint32_t> m_used;
    std::vector<std::vector<std::uint32_t>> m_usedBy;
    std::vector<std::vector<std::uint32_t>> m_shares;
    std::priority_queue<Finish, std::vector<Finish>, std::greater<>> m_finishes;
    std::vector<double> m_waits;
    double m_refused = 0;
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
