#include "Decisions/Moves.h"

#include <algorithm>
#include <tuple>

namespace dandelionloom {

namespace {

struct PoolState
{
    std::uint32_t wanted = 0;
    /// Members that are not failed and not leaving, plus those on their way in.
    std::uint32_t usable = 0;
    std::uint32_t incoming = 0;
    std::uint32_t available = 0;
    std::uint32_t minHealthy = 0;
    /// Members that may be moved, and members by domain.
    std::vector<const InstanceRecord *> movable;
    std::map<std::string, std::uint32_t> membersByDomain;
    std::uint32_t resting = 0;

    std::uint32_t lacking() const { return wanted > usable ? wanted - usable : 0; }
    std::uint32_t beyond() const { return usable > wanted ? usable - wanted : 0; }
    /// Healthy members below the plans' minimum, counting those on their way.
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
    /// Donors that have nothing to give in this pass, with the reason. A budget only shrinks during
    /// a pass, so they need no second look.
    std::map<std::string, MoveReason> exhausted;

    std::string domainOf(const InstanceRecord &record) const
    {
        return domainKey(record, plan.ledger.options.lossPlannedFor);
    }
    void countPools(const CapacityPlan &capacity);
    void fill(const std::string &name);
    const InstanceRecord *chooseFrom(const std::string &donor, const PoolState &to,
                                     MoveReason &why);
    bool moveOne(const std::string &name, bool urgent, MoveReason &why);
    void move(const InstanceRecord &record, const std::string &to, MoveReason reason);
    bool rests(const std::string &pool) const;
};

void Planner::countPools(const CapacityPlan &capacity)
{
    for (const auto &[name, sized] : capacity.pools) {
        pools[name].wanted = sized.instances;
    }
    pools[sparePool].wanted = capacity.buffer;
    for (const auto &[id, record] : fleet.instances) {
        PoolState &pool = pools[record.pool];
        const bool leaves = !record.movingTo.empty();
        if (leaves) {
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

bool Planner::rests(const std::string &pool) const
{
    const auto received = plan.history.receivedAt.find(pool);
    return received != plan.history.receivedAt.end()
            && nowMs - received->second < limits.coolDownMs;
}

/// The donor's member whose domain holds least of the receiving pool and most of the donor.
const InstanceRecord *Planner::chooseFrom(const std::string &donor, const PoolState &to,
                                          MoveReason &why)
{
    PoolState &from = pools.at(donor);
    const InstanceRecord *best = nullptr;
    std::tuple<std::uint32_t, std::uint32_t> bestRank;
    for (const InstanceRecord *record : from.movable) {
        const std::string domain = domainOf(*record);
        // A spare instance serves no plan, so its drain spends no plan's budget.
        if (donor != sparePool
            && checkSpend(plan.ledger.pools.at(donor), domain) != BudgetVerdict::WithinBudget) {
            why = MoveReason::BudgetSpent;
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

void Planner::move(const InstanceRecord &record, const std::string &to, MoveReason reason)
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

bool Planner::moveOne(const std::string &name, bool urgent, MoveReason &why)
{
    if (inFlight >= limits.maxInFlight) {
        why = MoveReason::CapInFlight;
        return false;
    }
    const PoolState &to = pools.at(name);
    why = MoveReason::NoDonor;
    std::vector<std::pair<std::uint32_t, std::string>> donors;
    for (const auto &[donor, pool] : pools) {
        if (donor == name || donor == sparePool || pool.beyond() == 0) {
            continue;
        }
        if (!urgent && rests(donor)) {
            why = MoveReason::CoolDown;
            continue;
        }
        donors.emplace_back(pool.beyond(), donor);
    }
    std::sort(donors.rbegin(), donors.rend());
    // The spare pool is the quickest source, so it comes first when a plan's minimum is at stake.
    // Otherwise a pool with too many gives first, which saves a later move to the spare pool.
    if (name != sparePool) {
        donors.emplace(urgent ? donors.begin() : donors.end(), 0, sparePool);
    }
    for (const auto &[beyond, donor] : donors) {
        const auto known = exhausted.find(donor);
        if (known != exhausted.end()) {
            why = known->second;
            continue;
        }
        if (const InstanceRecord *record = chooseFrom(donor, to, why)) {
            MoveReason reason = MoveReason::LastingShortage;
            if (urgent) {
                reason = MoveReason::BelowMinimum;
            } else if (name == sparePool) {
                reason = MoveReason::RefillBuffer;
            }
            move(*record, name, reason);
            return true;
        }
        exhausted.emplace(donor, why);
    }
    return false;
}

void Planner::fill(const std::string &name)
{
    PoolState &pool = pools.at(name);
    if (pool.lacking() == 0 && !pool.isBelowMinimum()) {
        plan.history.lackingSince.erase(name);
        return;
    }
    const WallTimeMs since = plan.history.lackingSince.try_emplace(name, nowMs).first->second;
    while (pool.lacking() > 0 || pool.isBelowMinimum()) {
        const bool urgent = pool.isBelowMinimum();
        MoveReason why = MoveReason::Hysteresis;
        const bool waits = !urgent && nowMs - since < limits.hysteresisMs;
        if (waits || !moveOne(name, urgent, why)) {
            plan.waits.push_back({name, pool.lacking(), why});
            return;
        }
    }
}

} // namespace

MoveLimits moveLimits(const DeploymentWeights &weights, const CapacityLimits &capacity)
{
    MoveLimits limits;
    const double patience = weights.shortWait > 0 ? weights.moves / weights.shortWait : 1;
    const double factor = std::clamp(patience, 1.0, 4.0);
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
    // Plans below their minimum come first, and the buffer last.
    std::stable_sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
        return std::pair(left.second == sparePool, left.first)
                < std::pair(right.second == sparePool, right.first);
    });
    for (const auto &[healthy, name] : order) {
        planner.fill(name);
    }
    return std::move(planner.plan);
}

} // namespace dandelionloom
