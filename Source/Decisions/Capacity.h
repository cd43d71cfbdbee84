#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Decisions/BudgetLedger.h"
#include "Model/EnumNames.h"
#include "Model/Fleet.h"
#include "Model/Lists.h"

namespace dandelionloom {

/// What an operator weighs a deployment by; only the ratios matter.
struct DeploymentWeights
{
    double buffer = 1;
    double shortWait = 1;
    double rollOutTime = 1;
    double moves = 1;
};

/// Observed demand of one service over one window. Windows of a service are in order of time,
/// without gaps, and the same for all services.
struct DemandWindow
{
    std::int64_t lengthMs = 0;
    /// Slots in use or waited for.
    double meanSlots = 0;
    double peakSlots = 0;
};

struct CapacityLimits
{
    /// The loss that every plan's budget must survive.
    FailureDomain lossPlannedFor = FailureDomain::Rack;
    std::uint32_t slotsPerInstance = 8;
    /// Share of its slots that an instance is planned to use, so that queues stay short.
    double plannedUse = 0.8;
    /// Usual times of a drain, and of a move from the agreed record to the first request served.
    std::int64_t drainMs = 60000;
    std::int64_t moveMs = 30000;
};

/// The shortest peak that a move can help with: a peak that ends before an instance has been
/// drained and moved is over when the instance arrives. Admission handles shorter peaks.
std::int64_t shortestUsefulPeakMs(const CapacityLimits &limits);

/// Mean of each stretch of windows that lasts at least the shortest useful peak. All of the
/// observation counts as one stretch if it is shorter.
std::vector<double> sustainedSlots(const std::vector<DemandWindow> &windows,
                                   std::int64_t stretchMs);

/// What sets the size of a pool.
enum class CapacityReason {
    /// The plans' minimum, the loss of a domain and the wave's share on top.
    MinimumAndLoss,
    SustainedDemand,
    /// Demand asks for more, but the allowances end here.
    AllowanceLimit,
    /// The fleet is too small; the pool gets a reduced share.
    FleetTooSmall,
    /// A domain holds more of the pool than its plans let be unavailable. More instances don't
    /// help: the plans allow too little or the fleet has too few domains.
    BudgetBelowDomain,
    /// Spare instances are lent to the pool while a wave has targets in it, see lendForWaves.
    LentForWave
};
inline constexpr EnumNames<CapacityReason, 6> capacityReasonNames{
        {"minimum-and-loss", "sustained-demand", "allowance-limit", "fleet-too-small",
         "budget-below-domain", "lent-for-wave"}};

/// The size of one pool and its parts.
struct PoolCapacity
{
    std::string pool;
    std::uint32_t instances = 0;
    std::uint32_t minHealthy = 0;
    /// Members that the loss of one domain takes if the pool is spread evenly.
    std::uint32_t domainShare = 0;
    /// Members that a wave may take at once with the domain reserve intact.
    std::uint32_t waveShare = 0;
    /// Instances that sustained demand asks for, within the allowances.
    std::uint32_t demandInstances = 0;
    CapacityReason reason = CapacityReason::MinimumAndLoss;
};

enum class BufferReason { DomainLoss, SustainedPeak, FleetTooSmall };
inline constexpr EnumNames<BufferReason, 3> bufferReasonNames{
        {"domain-loss", "sustained-peak", "fleet-too-small"}};

struct CapacityPlan
{
    std::map<std::string, PoolCapacity> pools;
    /// Instances of the spare pool, shared by all pools.
    std::uint32_t buffer = 0;
    BufferReason bufferReason = BufferReason::DomainLoss;
    /// Instances of the fleet beyond all pools and the buffer. They stay in the spare pool.
    std::uint32_t surplus = 0;
    /// Instances that the fleet lacks.
    std::uint32_t shortage = 0;
};

struct CapacityFacts
{
    /// Instances of the fleet that can work, and how they lie in failure domains.
    std::uint32_t fleetInstances = 0;
    std::uint32_t domains = 0;
    std::uint32_t largestDomain = 0;
    std::map<std::string, std::vector<DemandWindow>> demand;
};

/// Counts the fleet's instances that are not failed, and its failure domains.
CapacityFacts capacityFacts(const Fleet &fleet, FailureDomain lossPlannedFor);

/// Sizes each pool and the shared buffer.
///
/// A pool holds what is larger of: the plans' minimum plus its share in the largest domain plus
/// what a wave takes at once; and the demand that is sustained for the given quantile of the time.
/// The quantile balances a move against an idle instance: moves / (moves + buffer), the critical
/// ratio of the newsvendor problem. A wave's share lies between one instance and the rest of the
/// budget, by roll_out_time / (roll_out_time + buffer).
///
/// The buffer holds what is larger of: one domain, since only one is lost at a time and its
/// members are replaced whatever their pools; and the largest sum over the pools, at one time, of
/// sustained demand beyond their sizes. Queues that peak in turn share it.
CapacityPlan planCapacity(const CapacityFacts &facts, const Lists &lists,
                          const DeploymentWeights &weights, const CapacityLimits &limits);

/// Baseline: each pool sized for its own peak, without a shared buffer.
CapacityPlan planForOwnPeak(const CapacityFacts &facts, const Lists &lists,
                            const CapacityLimits &limits);

/// Baseline: each pool sized for its own sustained peak, with its own spare of one domain.
CapacityPlan planWithOwnSpare(const CapacityFacts &facts, const Lists &lists,
                              const CapacityLimits &limits);

} // namespace dandelionloom
