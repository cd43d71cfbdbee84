#include "Decisions/Waves.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

namespace dandelionloom {

namespace {

/// A target in service that waits for a grant.
struct Candidate
{
    const InstanceRecord *record = nullptr;
    const Wave *wave = nullptr;
    std::size_t waveOrder = 0;
    std::string domain;
    /// Its phase changed since the wave started, so an earlier drain of it was released.
    bool retried = false;
    bool domainImpaired = false;
    bool zoneImpaired = false;

    auto order() const
    {
        return std::make_tuple(retried, !domainImpaired, !zoneImpaired,
                               std::string_view(record->availabilityZone),
                               std::string_view(record->rack), waveOrder, record->lastMaintainedMs,
                               std::string_view(record->id));
    }
};

/// The instances of one pool that the planner may act on.
struct PoolWork
{
    std::vector<Candidate> candidates;
    /// Drains that can still be released.
    std::vector<const InstanceRecord *> drains;
    std::set<std::string_view> impairedZones;
    bool released = false;
};

struct Planner
{
    const Fleet &fleet;
    const WaveObservations &observations;
    const WaveLimits &limits;
    WallTimeMs nowMs;
    WavePlan plan;
    std::map<std::string_view, PoolWork> pools;

    std::string domainOf(const InstanceRecord &record) const
    {
        return domainKey(record, limits.ledger.toleratedFailureDomain);
    }
    PoolLedger &ledgerOf(const InstanceRecord &record) { return plan.ledger.pools.at(record.pool); }

    void collectInstances();
    void collectTargets();
    void collectTargetsOf(const Wave &wave, std::size_t order);
    bool targetsFail(const Wave &wave) const;
    std::int64_t drainLimitOf(const InstanceRecord &record) const;
    WaveReason progressOf(const InstanceRecord &record) const;
    void wait(const Wave &wave, const std::string &instance, const std::string &pool,
              WaveReason reason, const std::string &holder = {});
    void release(PoolWork &work, const InstanceRecord &record, WaveReason reason);
    void releaseCancelled(PoolWork &work);
    void releaseOverspent(PoolWork &work, PoolLedger &ledger);
    void releaseStuck(PoolWork &work, const PoolLedger &ledger);
    void grantCandidates(PoolWork &work, PoolLedger &ledger);
    void grant(const Candidate &candidate, PoolLedger &ledger);
};

bool isDrain(const InstanceRecord &record)
{
    return record.phase == InstancePhase::Draining || record.phase == InstancePhase::Drained;
}

void Planner::collectInstances()
{
    for (const auto &[id, record] : fleet.instances) {
        PoolWork &work = pools[record.pool];
        const bool available =
                record.phase == InstancePhase::InService && !observations.unavailable.contains(id);
        if (!available) {
            work.impairedZones.insert(record.availabilityZone);
        }
        if (isDrain(record)) {
            work.drains.push_back(&record);
        }
    }
}

/// True if targets failed after this wave's maintenance, or never returned from it, in so many
/// racks that the maintenance is the likely cause.
bool Planner::targetsFail(const Wave &wave) const
{
    std::set<std::string> racks;
    for (const std::string &target : wave.targets) {
        const auto found = fleet.instances.find(target);
        if (found == fleet.instances.end() || found->second.grantHolder != wave.id) {
            continue;
        }
        const InstanceRecord &record = found->second;
        const bool failedAfter = record.phase == InstancePhase::Failed
                && record.lastMaintainedMs >= wave.startedAtMs;
        const bool neverReturned = record.phase == InstancePhase::Rebooting
                && nowMs - record.phaseSinceMs > limits.rebootLimitMs;
        if (failedAfter || neverReturned) {
            racks.insert(domainKey(record, FailureDomain::Rack));
        }
    }
    return racks.size() >= limits.failingRackThreshold;
}

std::int64_t Planner::drainLimitOf(const InstanceRecord &record) const
{
    const auto wave = fleet.waves.find(record.grantHolder);
    return wave == fleet.waves.end() ? Wave{}.drainLimitMs : wave->second.drainLimitMs;
}

WaveReason Planner::progressOf(const InstanceRecord &record) const
{
    const auto found = observations.waitingFor.find(record.id);
    const WaitingFor waitingFor =
            found == observations.waitingFor.end() ? WaitingFor::Unknown : found->second;
    const std::int64_t inPhaseMs = nowMs - record.phaseSinceMs;
    switch (record.phase) {
    case InstancePhase::InService:
        return WaveReason::InstanceNotServing;
    case InstancePhase::Draining:
        if (waitingFor == WaitingFor::Platform) {
            return WaveReason::WaitingForPlatform;
        }
        if (waitingFor == WaitingFor::Gateways) {
            return WaveReason::WaitingForGateways;
        }
        if (inPhaseMs > drainLimitOf(record)) {
            return WaveReason::DrainStuck;
        }
        return waitingFor == WaitingFor::RunningWork ? WaveReason::WaitingForRunningWork
                                                     : WaveReason::Draining;
    case InstancePhase::Drained:
        return waitingFor == WaitingFor::Platform ? WaveReason::WaitingForPlatform
                                                  : WaveReason::Draining;
    case InstancePhase::Rebooting:
        if (waitingFor == WaitingFor::Platform) {
            return WaveReason::WaitingForPlatform;
        }
        return inPhaseMs > limits.rebootLimitMs ? WaveReason::RebootOverdue : WaveReason::Rebooting;
    case InstancePhase::Proving:
        return WaveReason::Proving;
    case InstancePhase::Failed:
        return WaveReason::InstanceFailed;
    }
    return WaveReason::UnknownInstance;
}

void Planner::wait(const Wave &wave, const std::string &instance, const std::string &pool,
                   WaveReason reason, const std::string &holder)
{
    plan.waits.push_back({wave.id, instance, pool, reason, holder});
}

void Planner::collectTargetsOf(const Wave &wave, std::size_t order)
{
    const std::unordered_set<std::string_view> finished(wave.finished.begin(), wave.finished.end());
    std::optional<WaveReason> stopped;
    if (wave.state == WaveState::Paused) {
        stopped = WaveReason::WavePaused;
    } else if (targetsFail(wave)) {
        stopped = WaveReason::TargetsFailing;
    }
    for (const std::string &target : wave.targets) {
        if (finished.contains(target)) {
            continue;
        }
        const auto found = fleet.instances.find(target);
        if (found == fleet.instances.end()) {
            wait(wave, target, {}, WaveReason::UnknownInstance);
            continue;
        }
        const InstanceRecord &record = found->second;
        if (!record.grantHolder.empty() && record.grantHolder != wave.id) {
            wait(wave, target, record.pool, WaveReason::HeldByAnother, record.grantHolder);
            continue;
        }
        const bool inService = record.phase == InstancePhase::InService
                && !observations.unavailable.contains(target);
        if (!inService || stopped) {
            wait(wave, target, record.pool, inService ? *stopped : progressOf(record));
            continue;
        }
        PoolWork &work = pools[record.pool];
        Candidate candidate{&record, &wave, order, domainOf(record)};
        candidate.retried = record.phaseSinceMs > wave.startedAtMs;
        work.candidates.push_back(std::move(candidate));
    }
}

void Planner::collectTargets()
{
    std::vector<const Wave *> waves;
    for (const auto &[id, wave] : fleet.waves) {
        if (wave.state == WaveState::Running || wave.state == WaveState::Paused) {
            waves.push_back(&wave);
        }
    }
    std::stable_sort(waves.begin(), waves.end(), [](const Wave *left, const Wave *right) {
        return left->startedAtMs < right->startedAtMs;
    });
    for (std::size_t order = 0; order < waves.size(); ++order) {
        collectTargetsOf(*waves[order], order);
    }
}

void Planner::release(PoolWork &work, const InstanceRecord &record, WaveReason reason)
{
    refund(ledgerOf(record), domainOf(record), !record.movingTo.empty());
    plan.releases.push_back({record.grantHolder, record.id, record.epoch, record.pool, reason});
    work.released = true;
}

void Planner::releaseCancelled(PoolWork &work)
{
    std::erase_if(work.drains, [&](const InstanceRecord *record) {
        const auto wave = fleet.waves.find(record->grantHolder);
        if (wave == fleet.waves.end() || wave->second.state != WaveState::Cancelled) {
            return false;
        }
        release(work, *record, WaveReason::WaveCancelled);
        return true;
    });
}

void Planner::releaseOverspent(PoolWork &work, PoolLedger &ledger)
{
    if (!ledger.isOverspent()) {
        return;
    }
    // Moves come first, since the pool is now short of the instance; then drains in progress before
    // completed ones, the latest first, since it loses the least work.
    std::stable_sort(work.drains.begin(), work.drains.end(),
                     [](const InstanceRecord *left, const InstanceRecord *right) {
                         const auto order = [](const InstanceRecord *record) {
                             return std::make_tuple(record->movingTo.empty(),
                                                    record->phase == InstancePhase::Drained,
                                                    -record->phaseSinceMs);
                         };
                         return order(left) < order(right);
                     });
    std::size_t next = 0;
    while (ledger.isOverspent() && next < work.drains.size()) {
        release(work, *work.drains[next++], WaveReason::BudgetOverspent);
    }
    work.drains.erase(work.drains.begin(), work.drains.begin() + static_cast<std::ptrdiff_t>(next));
}

void Planner::releaseStuck(PoolWork &work, const PoolLedger &ledger)
{
    // A release helps only if an untried target waits for exactly this unit of the budget.
    const bool anyUntried =
            std::any_of(work.candidates.begin(), work.candidates.end(),
                        [](const Candidate &candidate) { return !candidate.retried; });
    const bool spent = ledger.unavailable() >= ledger.maxUnavailable
            || ledger.available() <= ledger.minHealthy;
    if (!anyUntried || !spent) {
        return;
    }
    for (const InstanceRecord *record : work.drains) {
        const auto found = observations.waitingFor.find(record->id);
        const bool blockedByWork =
                found != observations.waitingFor.end() && found->second == WaitingFor::RunningWork;
        const std::int64_t retryAfterMs = drainLimitOf(*record) * limits.drainLimitsUntilRetry;
        if (record->movingTo.empty() && record->phase == InstancePhase::Draining && blockedByWork
            && nowMs - record->phaseSinceMs > retryAfterMs) {
            release(work, *record, WaveReason::DrainYields);
            return;
        }
    }
}

void Planner::grant(const Candidate &candidate, PoolLedger &ledger)
{
    WaveGrant grant;
    grant.wave = candidate.wave->id;
    grant.instance = candidate.record->id;
    grant.expectedEpoch = candidate.record->epoch;
    grant.pool = candidate.record->pool;
    grant.domain = candidate.domain;
    grant.observedUnavailable = ledger.observedUnavailable;
    const bool impaired = ledger.domains.at(candidate.domain).unavailable > 0;
    if (ledger.impairedDomains == 0) {
        grant.reason = WaveReason::FirstDomain;
    } else if (ledger.impairedDomains == 1 && impaired) {
        grant.reason = WaveReason::SameDomain;
    } else {
        grant.reason = WaveReason::ReserveHolds;
    }
    spend(ledger, candidate.domain);
    plan.grants.push_back(std::move(grant));
}

void Planner::grantCandidates(PoolWork &work, PoolLedger &ledger)
{
    for (Candidate &candidate : work.candidates) {
        candidate.domainImpaired = ledger.domains.at(candidate.domain).unavailable > 0;
        candidate.zoneImpaired = work.impairedZones.contains(candidate.record->availabilityZone);
    }
    std::sort(work.candidates.begin(), work.candidates.end(),
              [](const Candidate &left, const Candidate &right) {
                  return left.order() < right.order();
              });
    std::unordered_map<std::string_view, std::string_view> grantedTo;
    for (const Candidate &candidate : work.candidates) {
        const InstanceRecord &record = *candidate.record;
        const auto holder = grantedTo.find(record.id);
        if (holder != grantedTo.end()) {
            wait(*candidate.wave, record.id, record.pool, WaveReason::HeldByAnother,
                 std::string(holder->second));
            continue;
        }
        const BudgetVerdict verdict = checkSpend(ledger, candidate.domain);
        if (verdict == BudgetVerdict::WithinBudget && !work.released) {
            grantedTo.emplace(record.id, candidate.wave->id);
            grant(candidate, ledger);
            continue;
        }
        WaveReason reason = WaveReason::BudgetSpent;
        if (verdict == BudgetVerdict::AllowsNone) {
            reason = WaveReason::BudgetAllowsNone;
        } else if (verdict == BudgetVerdict::NoDomainReserve) {
            reason = WaveReason::NoDomainReserve;
        }
        wait(*candidate.wave, record.id, record.pool, reason);
    }
}

} // namespace

WavePlan planWaves(const Fleet &fleet, const Lists &lists, const WaveObservations &observations,
                   const WaveLimits &limits, WallTimeMs nowMs)
{
    Planner planner{fleet, observations, limits, nowMs, {}, {}};
    planner.plan.ledger = buildLedger(fleet, lists, observations.unavailable, limits.ledger);
    planner.collectInstances();
    planner.collectTargets();
    for (auto &[pool, work] : planner.pools) {
        PoolLedger &ledger = planner.plan.ledger.pools.at(std::string(pool));
        planner.releaseCancelled(work);
        planner.releaseOverspent(work, ledger);
        if (!work.released) {
            planner.releaseStuck(work, ledger);
        }
        planner.grantCandidates(work, ledger);
    }
    return std::move(planner.plan);
}

std::string describeWait(const WaveWait &wait, const WavePlan &plan)
{
    std::string text = "instance '" + wait.instance + "' of wave '" + wait.wave
            + "': " + std::string(waveReasonNames.name(wait.reason));
    switch (wait.reason) {
    case WaveReason::HeldByAnother:
        return text + "; held by '" + wait.holder + "'";
    case WaveReason::BudgetSpent:
    case WaveReason::BudgetAllowsNone:
    case WaveReason::NoDomainReserve: {
        const auto ledger = plan.ledger.pools.find(wait.pool);
        return ledger == plan.ledger.pools.end() ? text
                                                 : text + "; " + describeSpending(ledger->second);
    }
    default:
        return text;
    }
}

} // namespace dandelionloom
