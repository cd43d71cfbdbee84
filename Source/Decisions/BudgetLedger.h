#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Model/EnumNames.h"
#include "Model/Fleet.h"
#include "Model/Lists.h"

namespace dandelionloom {

/// What is lost at once when one thing breaks, from the smallest to the largest.
enum class FailureDomain { Instance, Rack, AvailabilityZone };
inline constexpr EnumNames<FailureDomain, 3> failureDomainNames{
        {"instance", "rack", "availability-zone"}};

/// Key of the failure domain that an instance belongs to. A rack's key holds its zone, so that
/// racks with the same number in two zones stay apart.
std::string domainKey(const InstanceRecord &record, FailureDomain domain);

struct DomainCount
{
    std::uint32_t available = 0;
    std::uint32_t unavailable = 0;
};

/// The availability budget of one pool and everything that spends it. Every member is counted
/// once: available, or under exactly one of the causes.
struct PoolLedger
{
    std::string pool;
    std::uint32_t members = 0;

    std::uint32_t failed = 0;
    /// In service by the agreed record, but observed as not serving.
    std::uint32_t observedUnavailable = 0;
    /// Draining or drained for a wave.
    std::uint32_t draining = 0;
    std::uint32_t rebooting = 0;
    /// Returned, but not yet proved. Counted, because a second loss right after a repair is common.
    std::uint32_t proving = 0;
    /// Draining or drained for a move to another pool.
    std::uint32_t moving = 0;
    /// Granted by the planning pass that holds this ledger.
    std::uint32_t granted = 0;

    std::uint32_t maxUnavailable = 0;
    std::uint32_t minHealthy = 0;
    /// The plans that set the two limits; empty if no plan uses the pool.
    std::string maxUnavailablePlan;
    std::string minHealthyPlan;

    /// Members by domain, and the number of domains by their count of available members.
    std::map<std::string, DomainCount> domains;
    std::map<std::uint32_t, std::uint32_t> domainsByAvailable;
    /// Domains with at least one unavailable member.
    std::uint32_t impairedDomains = 0;

    std::uint32_t unavailable() const
    {
        return failed + observedUnavailable + draining + rebooting + proving + moving + granted;
    }
    std::uint32_t available() const { return members - unavailable(); }
    bool hasPlan() const { return !maxUnavailablePlan.empty(); }
    /// True if a plan is broken, so that planned steps must be given back. The share of a pool
    /// without plans only bounds new drains: giving back a move out of the spare pool would take
    /// the instance from the pool that needs it.
    bool isOverspent() const
    {
        return hasPlan() && (unavailable() > maxUnavailable || available() < minHealthy);
    }
};

struct LedgerOptions
{
    /// The loss that must not break a plan's minimum while a wave is at work in two domains. A rack
    /// or its switch is lost weekly, an availability zone a few times a year. Waves therefore
    /// reserve for a rack; a deployment whose plans survive a zone may choose the zone.
    FailureDomain lossPlannedFor = FailureDomain::Rack;
    /// Share of a pool without plans (the spare pool) that may be unavailable at once. The rest
    /// stays ready to replace failed instances.
    double shareWithoutPlans = 0.25;
};

struct BudgetLedger
{
    LedgerOptions options;
    std::map<std::string, PoolLedger> pools;
};

/// Counts every member of every pool. `observedUnavailable` names instances that are in service by
/// the agreed record but do not serve.
BudgetLedger openLedger(const Fleet &fleet, const Lists &lists,
                        const std::set<std::string> &observedUnavailable,
                        const LedgerOptions &options);

enum class BudgetVerdict {
    WithinBudget,
    /// Failures, drains, moves and proving instances hold the whole budget.
    Spent,
    /// The plans allow no planned step even when every member is available.
    AllowsNone,
    /// A second domain would be impaired, and the loss of one more domain would then break a plan's
    /// minimum.
    NoDomainReserve
};
inline constexpr EnumNames<BudgetVerdict, 4> budgetVerdictNames{
        {"within-budget", "spent", "allows-none", "no-domain-reserve"}};

/// Whether one more available member in `domain` may become unavailable by a planned step.
///
/// One impaired domain needs the budget only. As soon as two are impaired, the loss of the domain
/// with the most available members must leave the plans' minimum.
BudgetVerdict checkSpend(const PoolLedger &ledger, const std::string &domain);

/// Takes one unit for an available member in `domain`. Only after checkSpend agreed.
void spend(PoolLedger &ledger, const std::string &domain);

/// Returns the unit of a member that was draining for a wave or for a move.
void giveBack(PoolLedger &ledger, const std::string &domain, bool wasMoving);

/// One sentence for operators: who spends the budget of the pool.
std::string describeSpending(const PoolLedger &ledger);

} // namespace dandelionloom
