#include "Decisions/Moves.h"

#include <algorithm>
#include <tuple>

namespace dandelionloom {

namespace {

struct PoolState
{
    std::uint32_t wanted = 0;
    /// Members that are neither failed nor leaving, plus incoming ones.
    std::uint32_t usable = 0;
    std::uint32_t incoming = 0;
    std::uint32_t available = 0;
    std::uint32_t minHealthy = 0;
    /// Members that may be moved, and members by domain.
    std::vector<const InstanceRecord *> movable;
    std::map<std::string, std::uint32_t> membersByDomain;
    std::uint32_t resting = 0;

    std::uint32_t shortfall() const { return wanted > usable ? wanted - usable : 0; }
    std::uint32_t surplus() const { return usable > wanted ? usable - wanted : 0; }
    /// True if available and incoming members together are fewer than the plans' minimum.
    bool isBelowMinimum() const { return available + incoming < minHealthy; }
};

struct Planner
{
    const Fleet &fleet;
    const std::set<std::string> &excluded;
    const MoveLimits &limits;
    WallTimeMs nowMs;
    MovePlan plan;
    std::map<std::string, PoolState> pools;
    std::uint32_t inFlight = 0;
    /// Donors without an instance to give in this pass, with the reason. A budget only shrinks
    /// during a pass, so they are not checked again.
    std::map<std::string, MoveReason> exhausted;

    std::string domainOf(const InstanceRecord &record) const
    {
        return domainKey(record, plan.ledger.options.toleratedFailureDomain);
    }
    void countPools(const CapacityPlan &capacity);
    void resolveShortfall(const std::string &name);
    const InstanceRecord *chooseInstance(const std::string &donor, const PoolState &to,
                                         MoveReason &waitReason);
    bool planMove(const std::string &name, bool urgent, MoveReason &waitReason);
    void addMove(const InstanceRecord &record, const std::string &to, MoveReason reason);
    bool isCoolingDown(const std::string &pool) const;
};

void Planner::countPools(const CapacityPlan &capacity)
{
    for (const auto &[name, sized] : capacity.pools) {
        pools[name].wanted = sized.instances;
    }
    pools[sparePool].wanted = capacity.buffer;
    for (const auto &[id, record] : fleet.instances) {
        PoolState &pool = pools[record.pool];
        const bool isMoving = !record.movingTo.empty();
        if (isMoving) {
            ++inFlight;
            PoolState &target = pools[record.movingTo];
            ++target.usable;
            ++target.incoming;
            ++target.membersByDomain[domainOf(record)];
            continue;
        }
        if (record.phase == InstancePhase::Failed) {
            continue;
        }
        ++pool.usable;
        ++pool.membersByDomain[domainOf(record)];
        if (record.phase == InstancePhase::InService && !excluded.contains(id)) {
            pool.movable.push_back(&record);
        }
    }
    for (auto &[name, pool] : pools) {
        const auto ledger = plan.ledger.pools.find(name);
        if (ledger != plan.ledger.pools.end()) {
            pool.available = ledger->second.available();
            pool.minHealthy = ledger->second.minHealthy;
        }
    }
}

bool Planner::isCoolingDown(const std::string &pool) const
{
    const auto received = plan.history.receivedAt.find(pool);
    return received != plan.history.receivedAt.end()
            && nowMs - received->second < limits.coolDownMs;
}

/// The donor's member whose domain holds the fewest members of the receiving pool and, among
/// equals, the most of the donor.
const InstanceRecord *Planner::chooseInstance(const std::string &donor, const PoolState &to,
                                              MoveReason &waitReason)
{
    PoolState &from = pools.at(donor);
    const InstanceRecord *best = nullptr;
    std::tuple<std::uint32_t, std::uint32_t> bestRank;
    for (const InstanceRecord *record : from.movable) {
        const std::string domain = domainOf(*record);
        // The spare pool has no plan, so a drain in it spends no plan's budget.
        if (donor != sparePool
            && checkSpend(plan.ledger.pools.at(donor), domain) != BudgetVerdict::WithinBudget) {
            waitReason = MoveReason::BudgetSpent;
            continue;
        }
        const auto there = to.membersByDomain.find(domain);
        const std::uint32_t inReceiver = there == to.membersByDomain.end() ? 0 : there->second;
        const std::tuple rank{inReceiver, UINT32_MAX - from.membersByDomain.at(domain)};
        if (best == nullptr || rank < bestRank) {
            best = record;
            bestRank = rank;
        }
    }
    return best;
}

void Planner::addMove(const InstanceRecord &record, const std::string &to, MoveReason reason)
{
    PoolState &from = pools.at(record.pool);
    PoolState &target = pools.at(to);
    const std::string domain = domainOf(record);
    std::erase(from.movable, &record);
    --from.usable;
    --from.membersByDomain[domain];
    --from.available;
    ++target.usable;
    ++target.incoming;
    ++target.membersByDomain[domain];
    PoolLedger &ledger = plan.ledger.pools.at(record.pool);
    plan.moves.push_back(
            {record.id, record.epoch, record.pool, to, ledger.observedUnavailable, reason});
    spend(ledger, domain);
    plan.history.receivedAt[to] = nowMs;
    ++inFlight;
}

bool Planner::planMove(const std::string &name, bool urgent, MoveReason &waitReason)
{
    if (inFlight >= limits.maxInFlight) {
        waitReason = MoveReason::CapInFlight;
        return false;
    }
    const PoolState &to = pools.at(name);
    waitReason = MoveReason::NoDonor;
    std::vector<std::pair<std::uint32_t, std::string>> donors;
    for (const auto &[donor, pool] : pools) {
        if (donor == name || donor == sparePool || pool.surplus() == 0) {
            continue;
        }
        if (!urgent && isCoolingDown(donor)) {
            waitReason = MoveReason::CoolDown;
            continue;
        }
        donors.emplace_back(pool.surplus(), donor);
    }
    std::sort(donors.rbegin(), donors.rend());
    // The spare pool is the quickest source, so it comes first for a pool below its minimum.
    // Otherwise pools with a surplus come first, which saves a later move to the spare pool.
    if (name != sparePool) {
        donors.emplace(urgent ? donors.begin() : donors.end(), 0, sparePool);
    }
    for (const auto &[surplus, donor] : donors) {
        const auto known = exhausted.find(donor);
        if (known != exhausted.end()) {
            waitReason = known->second;
            continue;
        }
        if (const InstanceRecord *record = chooseInstance(donor, to, waitReason)) {
            MoveReason reason = MoveReason::LastingShortage;
            if (urgent) {
                reason = MoveReason::BelowMinimum;
            } else if (name == sparePool) {
                reason = MoveReason::RefillBuffer;
            }
            addMove(*record, name, reason);
            return true;
        }
        exhausted.emplace(donor, waitReason);
    }
    return false;
}

void Planner::resolveShortfall(const std::string &name)
{
    PoolState &pool = pools.at(name);
    if (pool.shortfall() == 0 && !pool.isBelowMinimum()) {
        plan.history.shortfallSince.erase(name);
        return;
    }
    const WallTimeMs since = plan.history.shortfallSince.try_emplace(name, nowMs).first->second;
    while (pool.shortfall() > 0 || pool.isBelowMinimum()) {
        const bool urgent = pool.isBelowMinimum();
        MoveReason waitReason = MoveReason::Hysteresis;
        const bool waits = !urgent && nowMs - since < limits.hysteresisMs;
        if (waits || !planMove(name, urgent, waitReason)) {
            plan.waits.push_back({name, pool.shortfall(), waitReason});
            return;
        }
    }
}

} // namespace

MoveLimits moveLimits(const DeploymentWeights &weights, const CapacityLimits &capacity)
{
    MoveLimits limits;
    const double costRatio = weights.shortWait > 0 ? weights.moves / weights.shortWait : 1;
    const double factor = std::clamp(costRatio, 1.0, 4.0);
    limits.hysteresisMs =
            static_cast<std::int64_t>(static_cast<double>(shortestUsefulPeakMs(capacity)) * factor);
    limits.coolDownMs = std::max(limits.coolDownMs, 4 * limits.hysteresisMs);
    return limits;
}

std::set<std::string> excludedFromMoves(const WavePlan &waves, const WaveObservations &observations)
{
    std::set<std::string> excluded = observations.unavailable;
    for (const WaveGrant &grant : waves.grants) {
        excluded.insert(grant.instance);
    }
    return excluded;
}

MovePlan planMoves(const Fleet &fleet, const CapacityPlan &capacity, const BudgetLedger &ledger,
                   const std::set<std::string> &excluded, const MoveHistory &history,
                   const MoveLimits &limits, WallTimeMs nowMs)
{
    Planner planner{fleet, excluded, limits, nowMs, {}, {}, 0, {}};
    planner.plan.ledger = ledger;
    planner.plan.history = history;
    planner.countPools(capacity);
    std::vector<std::pair<bool, std::string>> order;
    for (const auto &[name, pool] : planner.pools) {
        order.emplace_back(!pool.isBelowMinimum(), name);
    }
    // Pools below their minimum come first, the spare pool last.
    std::stable_sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
        return std::pair(left.second == sparePool, left.first)
                < std::pair(right.second == sparePool, right.first);
    });
    for (const auto &[healthy, name] : order) {
        planner.resolveShortfall(name);
    }
    return std::move(planner.plan);
}

} // namespace dandelionloom
