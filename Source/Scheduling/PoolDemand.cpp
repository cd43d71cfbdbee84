#include "Scheduling/PoolDemand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dandelionloom {

namespace {

struct Balance
{
    const PoolStatus *status = nullptr;
    /// Instances missing for the present demand, and for the next turn in addition.
    std::uint32_t shortage = 0;
    std::uint32_t foreseenShortage = 0;
    /// Instances that the pool can give away now, and those that it keeps for its next turn.
    std::uint32_t surplus = 0;
    std::uint32_t reserve = 0;
};

using Stock = std::uint32_t Balance::*;

/// Takes instances from the stock of other pools. Returns how many are still required.
std::uint32_t takeFrom(std::vector<Balance> &donors, const std::string &to, std::uint32_t required,
                       bool standby, Stock stock, std::vector<PoolTransfer> &transfers)
{
    for (Balance &donor : donors) {
        if (required == 0) {
            break;
        }
        if (donor.status->standby != standby || donor.status->pool == to || donor.*stock == 0) {
            continue;
        }
        const std::uint32_t count = std::min(donor.*stock, required);
        donor.*stock -= count;
        required -= count;
        transfers.push_back({donor.status->pool, to, count});
    }
    return required;
}

Balance balanceOf(const PoolStatus &pool, const PoolDemandOptions &options)
{
    Balance balance{&pool};
    if (pool.standby) {
        balance.surplus = pool.instances;
        return balance;
    }
    const std::uint32_t required = requiredInstances(pool, options);
    const std::uint32_t wanted = wantedInstances(pool, options);
    balance.shortage = required > pool.instances ? required - pool.instances : 0;
    balance.foreseenShortage = wanted > std::max(required, pool.instances)
            ? wanted - std::max(required, pool.instances)
            : 0;
    balance.surplus = std::min(pool.instances > wanted ? pool.instances - wanted : 0, pool.empty);
    const std::uint32_t spare =
            std::min(pool.instances > required ? pool.instances - required : 0, pool.empty);
    balance.reserve = spare - std::min(spare, balance.surplus);
    return balance;
}

std::uint32_t instancesFor(double milli, const PoolStatus &pool)
{
    return static_cast<std::uint32_t>(
            std::ceil(milli / static_cast<double>(std::max<std::int64_t>(pool.instanceMilli, 1))));
}

} // namespace

std::uint32_t requiredInstances(const PoolStatus &pool, const PoolDemandOptions &options)
{
    const double drainMilli = pool.backlogCoreMs / options.drainSeconds;
    const double backlogMilli =
            std::min(drainMilli * options.headroom,
                     static_cast<double>(pool.runnableMilli) * options.runnableHeadroom);
    const double coresMilli =
            std::max(backlogMilli,
                     static_cast<double>(pool.arrivingMilli) * options.arrivalHeadroom)
            + static_cast<double>(pool.longRunningMilli);
    return std::max({instancesFor(coresMilli, pool), pool.pinned, pool.longRunningSpread, 1U});
}

std::uint32_t wantedInstances(const PoolStatus &pool, const PoolDemandOptions &options)
{
    const double foreseenMilli = static_cast<double>(pool.foreseenMilli) * options.foreseenHeadroom
            + static_cast<double>(pool.longRunningMilli);
    return std::max(requiredInstances(pool, options), instancesFor(foreseenMilli, pool));
}

std::vector<PoolTransfer> planTransfers(const std::vector<PoolStatus> &pools,
                                        const PoolDemandOptions &options, SteadyTimeMs now)
{
    std::vector<Balance> balances;
    std::string standbyPool;
    for (const PoolStatus &pool : pools) {
        standbyPool = pool.standby ? pool.pool : standbyPool;
        balances.push_back(balanceOf(pool, options));
    }
    std::vector<PoolTransfer> transfers;
    const std::vector<Balance> before = balances;
    const auto serve = [&](Stock shortage, const std::vector<std::pair<bool, Stock>> &sources) {
        // Pools with the largest shortage come first.
        std::vector<Balance> recipients = before;
        std::stable_sort(recipients.begin(), recipients.end(),
                         [shortage](const Balance &left, const Balance &right) {
                             return left.*shortage > right.*shortage;
                         });
        for (const Balance &recipient : recipients) {
            std::uint32_t remaining = recipient.*shortage;
            for (const auto &[standby, stock] : sources) {
                remaining = takeFrom(balances, recipient.status->pool, remaining, standby, stock,
                                     transfers);
            }
        }
    };
    serve(&Balance::shortage,
          {{false, &Balance::surplus}, {true, &Balance::surplus}, {false, &Balance::reserve}});
    serve(&Balance::foreseenShortage, {{false, &Balance::surplus}, {true, &Balance::surplus}});
    if (standbyPool.empty()) {
        return transfers;
    }
    for (Balance &donor : balances) {
        if (!donor.status->standby && !donor.status->turnUnknown && donor.surplus > 0
            && now - donor.status->surplusSince >= options.standbyAfterMs) {
            transfers.push_back({donor.status->pool, standbyPool, donor.surplus});
        }
    }
    return transfers;
}

} // namespace dandelionloom
