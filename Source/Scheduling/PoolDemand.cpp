#include "Scheduling/PoolDemand.h"

#include <algorithm>
#include <cmath>

namespace dandelionloom {

namespace {

struct Balance
{
    const PoolFacts *facts = nullptr;
    std::uint32_t missing = 0;
    /// What the pool can give now.
    std::uint32_t spare = 0;
};

std::uint32_t take(std::vector<Balance> &givers, const std::string &to, std::uint32_t wanted,
                   bool standby, std::vector<PoolTransfer> &transfers)
{
    for (Balance &giver : givers) {
        if (wanted == 0) {
            break;
        }
        if (giver.facts->standby != standby || giver.facts->pool == to || giver.spare == 0) {
            continue;
        }
        const std::uint32_t count = std::min(giver.spare, wanted);
        giver.spare -= count;
        wanted -= count;
        transfers.push_back({giver.facts->pool, to, count});
    }
    return wanted;
}

} // namespace

std::uint32_t wantedInstances(const PoolFacts &pool, const PoolDemandRules &rules)
{
    const double drainMilli = pool.waitingCoreMs / rules.drainSeconds;
    const double backlogMilli = std::min(drainMilli * rules.headroom,
                                         static_cast<double>(pool.runnableMilli) * rules.growth);
    const double coresMilli =
            std::max(backlogMilli, static_cast<double>(pool.arrivingMilli) * rules.arrivalShare)
            + static_cast<double>(pool.lastingMilli);
    const auto instances = static_cast<std::uint32_t>(std::ceil(
            coresMilli / static_cast<double>(std::max<std::int64_t>(pool.instanceMilli, 1))));
    return std::max({instances, pool.pinned, pool.lastingSpread, 1U});
}

std::vector<PoolTransfer> planTransfers(const std::vector<PoolFacts> &pools,
                                        const PoolDemandRules &rules, SteadyTimeMs now)
{
    std::vector<Balance> balances;
    std::string standbyPool;
    for (const PoolFacts &pool : pools) {
        Balance balance{&pool, 0, 0};
        if (pool.standby) {
            standbyPool = pool.pool;
            balance.spare = pool.instances;
        } else {
            const std::uint32_t wanted = wantedInstances(pool, rules);
            balance.missing = wanted > pool.instances ? wanted - pool.instances : 0;
            balance.spare =
                    std::min(pool.instances > wanted ? pool.instances - wanted : 0, pool.empty);
        }
        balances.push_back(balance);
    }
    std::vector<PoolTransfer> transfers;
    // The largest lack first.
    std::vector<Balance> takers = balances;
    std::stable_sort(takers.begin(), takers.end(), [](const Balance &left, const Balance &right) {
        return left.missing > right.missing;
    });
    for (const Balance &taker : takers) {
        const std::uint32_t rest =
                take(balances, taker.facts->pool, taker.missing, false, transfers);
        take(balances, taker.facts->pool, rest, true, transfers);
    }
    if (standbyPool.empty()) {
        return transfers;
    }
    for (Balance &giver : balances) {
        if (!giver.facts->standby && giver.spare > 0
            && now - giver.facts->surplusSince >= rules.parkAfterMs) {
            transfers.push_back({giver.facts->pool, standbyPool, giver.spare});
        }
    }
    return transfers;
}

} // namespace dandelionloom
