#include "Decisions/BudgetLedger.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace dandelionloom {

namespace {

void setAvailable(PoolLedger &ledger, DomainCount &count, std::uint32_t available)
{
    const auto before = ledger.domainsByAvailable.find(count.available);
    if (before != ledger.domainsByAvailable.end() && --before->second == 0) {
        ledger.domainsByAvailable.erase(before);
    }
    count.available = available;
    ++ledger.domainsByAvailable[available];
}

void recordUnavailable(PoolLedger &ledger, DomainCount &count)
{
    setAvailable(ledger, count, count.available - 1);
    ledger.impairedDomains += count.unavailable == 0 ? 1 : 0;
    ++count.unavailable;
}

void recordAvailable(PoolLedger &ledger, DomainCount &count)
{
    setAvailable(ledger, count, count.available + 1);
    --count.unavailable;
    ledger.impairedDomains -= count.unavailable == 0 ? 1 : 0;
}

void countMember(PoolLedger &ledger, const InstanceRecord &record, bool observedUnavailable)
{
    ++ledger.members;
    switch (record.phase) {
    case InstancePhase::InService:
        ledger.observedUnavailable += observedUnavailable ? 1 : 0;
        return;
    case InstancePhase::Draining:
    case InstancePhase::Drained:
        ++(record.movingTo.empty() ? ledger.draining : ledger.moving);
        return;
    case InstancePhase::Rebooting:
        ++ledger.rebooting;
        return;
    case InstancePhase::Proving:
        ++ledger.proving;
        return;
    case InstancePhase::Failed:
        ++ledger.failed;
        return;
    }
}

void applyPlans(BudgetLedger &fleetLedger, const Lists &lists)
{
    for (auto &[pool, ledger] : fleetLedger.pools) {
        ledger.maxUnavailable = std::numeric_limits<std::uint32_t>::max();
    }
    for (const auto &[id, plan] : lists.plans) {
        const auto found = fleetLedger.pools.find(plan.service);
        if (found == fleetLedger.pools.end()) {
            continue;
        }
        PoolLedger &ledger = found->second;
        if (!ledger.hasPlan() || plan.maxUnavailableInstances < ledger.maxUnavailable) {
            ledger.maxUnavailable = plan.maxUnavailableInstances;
            ledger.maxUnavailablePlan = id;
        }
        if (ledger.minHealthyPlan.empty() || plan.minHealthyInstances > ledger.minHealthy) {
            ledger.minHealthy = plan.minHealthyInstances;
            ledger.minHealthyPlan = id;
        }
    }
    for (auto &[pool, ledger] : fleetLedger.pools) {
        if (!ledger.hasPlan()) {
            const double share =
                    ledger.members * fleetLedger.options.maxUnavailableShareWithoutPlan;
            ledger.maxUnavailable = std::max(1U, static_cast<std::uint32_t>(std::floor(share)));
        }
    }
}

} // namespace

std::string domainKey(const InstanceRecord &record, FailureDomain domain)
{
    switch (domain) {
    case FailureDomain::Instance:
        return record.id;
    case FailureDomain::Rack:
        return record.availabilityZone + "/" + record.rack;
    case FailureDomain::AvailabilityZone:
        return record.availabilityZone;
    }
    return record.id;
}

BudgetLedger buildLedger(const Fleet &fleet, const Lists &lists,
                         const std::set<std::string> &observedUnavailable,
                         const LedgerOptions &options)
{
    BudgetLedger fleetLedger;
    fleetLedger.options = options;
    for (const auto &[id, record] : fleet.instances) {
        PoolLedger &ledger = fleetLedger.pools[record.pool];
        const bool observed = observedUnavailable.contains(id);
        countMember(ledger, record, observed);
        DomainCount &count = ledger.domains[domainKey(record, options.toleratedFailureDomain)];
        const bool available = record.phase == InstancePhase::InService && !observed;
        ++(available ? count.available : count.unavailable);
    }
    for (auto &[pool, ledger] : fleetLedger.pools) {
        ledger.pool = pool;
        for (const auto &[domain, count] : ledger.domains) {
            ++ledger.domainsByAvailable[count.available];
            ledger.impairedDomains += count.unavailable > 0 ? 1 : 0;
        }
    }
    applyPlans(fleetLedger, lists);
    return fleetLedger;
}

BudgetVerdict checkSpend(const PoolLedger &ledger, const std::string &domain)
{
    if (ledger.maxUnavailable == 0 || ledger.members <= ledger.minHealthy) {
        return BudgetVerdict::AllowsNone;
    }
    const std::uint32_t unavailable = ledger.unavailable() + 1;
    if (unavailable > ledger.maxUnavailable || unavailable + ledger.minHealthy > ledger.members) {
        return BudgetVerdict::Spent;
    }
    const auto found = ledger.domains.find(domain);
    const bool impairs = found != ledger.domains.end() && found->second.unavailable == 0;
    if (ledger.impairedDomains + (impairs ? 1 : 0) < 2) {
        return BudgetVerdict::WithinBudget;
    }
    // An upper bound: this step may itself shrink the largest domain, which only makes its loss
    // smaller.
    const std::uint32_t largest = ledger.domainsByAvailable.rbegin()->first;
    const bool survives = ledger.members - unavailable >= ledger.minHealthy + largest;
    return survives ? BudgetVerdict::WithinBudget : BudgetVerdict::NoDomainReserve;
}

void spend(PoolLedger &ledger, const std::string &domain)
{
    recordUnavailable(ledger, ledger.domains[domain]);
    ++ledger.granted;
}

void refund(PoolLedger &ledger, const std::string &domain, bool wasMoving)
{
    recordAvailable(ledger, ledger.domains[domain]);
    --(wasMoving ? ledger.moving : ledger.draining);
}

std::string describeSpending(const PoolLedger &ledger)
{
    const std::pair<const char *, std::uint32_t> causes[] = {
            {"failed", ledger.failed},
            {"not serving", ledger.observedUnavailable},
            {"draining", ledger.draining},
            {"rebooting", ledger.rebooting},
            {"proving", ledger.proving},
            {"moving", ledger.moving},
            {"granted in this pass", ledger.granted}};
    std::string text = "pool '" + ledger.pool + "': " + std::to_string(ledger.unavailable())
            + " of " + std::to_string(ledger.members) + " instances unavailable";
    const char *separator = " (";
    for (const auto &[name, count] : causes) {
        if (count > 0) {
            text += separator + std::to_string(count) + " " + name;
            separator = ", ";
        }
    }
    text += ledger.unavailable() > 0 ? ")" : "";
    text += "; at most " + std::to_string(ledger.maxUnavailable);
    text += ledger.maxUnavailablePlan.empty()
            ? " allowed without a plan"
            : " allowed by plan '" + ledger.maxUnavailablePlan + "'";
    if (!ledger.minHealthyPlan.empty()) {
        text += ", with at least " + std::to_string(ledger.minHealthy) + " healthy by plan '"
                + ledger.minHealthyPlan + "'";
    }
    return text;
}

} // namespace dandelionloom
