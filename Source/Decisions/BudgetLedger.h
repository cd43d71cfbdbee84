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

/// A set of instances that can fail together, from the smallest to the largest.
enum class FailureDomain { Instance, Rack, AvailabilityZone };
inline constexpr EnumNames<FailureDomain, 3> failureDomainNames{
        {"instance", "rack", "availability-zone"}};

/// Key of the failure domain that an instance belongs to. A rack's key includes its zone, since
/// racks of two zones may have the same name.
std::string domainKey(const InstanceRecord &record, FailureDomain domain);

struct DomainCount
{
    std::uint32_t available = 0;
    std::uint32_t unavailable = 0;
};

/// The availability budget of one pool and its use. Every member is counted exactly once: as
/// available, or under one cause of unavailability.
struct PoolLedger
{
    std::string pool;
    std::uint32_t members = 0;

    std::uint32_t failed = 0;
    /// In service in the replicated state, but observed as not serving.
    std::uint32_t observedUnavailable = 0;
    /// Draining or drained for a wave.
    std::uint32_t draining = 0;
    std::uint32_t rebooting = 0;
    /// Returned, but not yet proved. Counted as unavailable, because a second failure right after a
    /// repair is common.
    std::uint32_t proving = 0;
    /// Draining or drained for a move to another pool.
    std::uint32_t moving = 0;
    /// Granted in the current planning pass.
    std::uint32_t granted = 0;

    std::uint32_t maxUnavailable = 0;
    std::uint32_t minHealthy = 0;
    /// The plans that determine the two limits; empty if no plan uses the pool.
    std::string maxUnavailablePlan;
    std::string minHealthyPlan;

    /// Members by domain, and the number of domains for each count of available members.
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
    /// True if the pool violates a limit of its plans, so that drain grants must be released. The
    /// limit of a pool without plans only bounds new drains: releasing the drain of a move out of
    /// the spare pool would take the instance from the pool that needs it.
    bool isOverspent() const
    {
        return hasPlan() && (unavailable() > maxUnavailable || available() < minHealthy);
    }
};

struct LedgerOptions
{
    /// The failure domain whose loss must not violate a plan's minimum while a wave drains
    /// instances in two domains. A rack or its switch is lost weekly, an availability zone a few
    /// times a year. Waves therefore reserve for a rack; a deployment whose plans tolerate the loss
    /// of a zone may choose the zone.
    FailureDomain toleratedFailureDomain = FailureDomain::Rack;
    /// Maximum share of a pool without plans (the spare pool) that may be unavailable at once. The
    /// rest stays ready to replace failed instances.
    double maxUnavailableShareWithoutPlan = 0.25;
};

struct BudgetLedger
{
    LedgerOptions options;
    std::map<std::string, PoolLedger> pools;
};

/// Builds the ledger by counting every member of every pool. `observedUnavailable` names instances
/// that are in service in the replicated state but do not serve.
BudgetLedger buildLedger(const Fleet &fleet, const Lists &lists,
                         const std::set<std::string> &observedUnavailable,
                         const LedgerOptions &options);

enum class BudgetVerdict {
    WithinBudget,
    /// Failures, drains, moves and proving instances use the whole budget.
    Spent,
    /// The plans allow no planned step even when every member is available.
    AllowsNone,
    /// A second domain would be impaired, and the loss of one more domain would then violate a
    /// plan's minimum.
    NoDomainReserve
};
inline constexpr EnumNames<BudgetVerdict, 4> budgetVerdictNames{
        {"within-budget", "spent", "allows-none", "no-domain-reserve"}};

/// Checks whether a planned step may make one more available member in `domain` unavailable.
///
/// While at most one domain is impaired, only the budget counts. With two or more, the pool must
/// keep the plans' minimum even after the loss of the domain with the most available members.
BudgetVerdict checkSpend(const PoolLedger &ledger, const std::string &domain);

/// Charges the budget for one available member in `domain`. Requires that checkSpend() returned
/// WithinBudget.
void spend(PoolLedger &ledger, const std::string &domain);

/// Refunds the budget of a member whose drain for a wave or move is released.
void refund(PoolLedger &ledger, const std::string &domain, bool wasMoving);

/// One sentence for operators: what uses the budget of the pool.
std::string describeSpending(const PoolLedger &ledger);

} // namespace dandelionloom
