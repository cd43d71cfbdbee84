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

/// Relative costs that an operator assigns to the goals of a deployment; only their ratios matter.
struct DeploymentWeights
{
    double buffer = 1;
    double shortWait = 1;
    double rollOutTime = 1;
    double moves = 1;
};

/// Observed demand of one service in one time window. The windows of a service are in order of
/// time, without gaps, and the same for all services.
struct DemandWindow
{
    std::int64_t lengthMs = 0;
    /// Slots in use or waited for.
    double meanSlots = 0;
    double peakSlots = 0;
};

struct CapacityLimits
{
    /// The failure domain whose loss every plan's budget must tolerate.
    FailureDomain toleratedFailureDomain = FailureDomain::Rack;
    std::uint32_t slotsPerInstance = 8;
    /// Target utilization of an instance's slots; the rest keeps queues short.
    double targetUtilization = 0.8;
    /// Typical duration of a drain, and of a move from the recorded change of pool to the first
    /// request served.
    std::int64_t drainMs = 60000;
    std::int64_t moveMs = 30000;
};

/// The shortest peak that a move can help with: a shorter one is over before an instance has been
/// drained and moved. Admission control handles shorter peaks.
std::int64_t shortestUsefulPeakMs(const CapacityLimits &limits);

/// Sliding means of the demanded slots over spans of at least `spanMs`. One mean over all windows
/// if they are shorter than that together.
std::vector<double> sustainedSlots(const std::vector<DemandWindow> &windows, std::int64_t spanMs);

/// What determines the size of a pool.
enum class CapacityReason {
    /// The plans' minimum, plus the members lost with one domain, plus the wave's share.
    MinimumAndLoss,
    SustainedDemand,
    /// Demand exceeds what the allowances permit.
    AllowanceLimit,
    /// The fleet is too small; the pool gets a reduced share.
    FleetTooSmall,
    /// A domain holds more of the pool than its plans let be unavailable. More instances don't
    /// help: the plans allow too little or the fleet has too few domains.
    BudgetBelowDomain,
    /// Spare instances are added while a wave has targets in the pool, see addWaveSurge().
    WaveSurge
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
    /// Members that are lost with one domain if the pool is spread evenly.
    std::uint32_t domainShare = 0;
    /// Members that a wave may take at once while the domain reserve stays intact.
    std::uint32_t waveShare = 0;
    /// Instances needed for the sustained demand, within the allowances.
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
    /// Instances by which the fleet is too small.
    std::uint32_t shortage = 0;
};

struct CapacityFacts
{
    /// Instances that are not failed, and the failure domains of the whole fleet.
    std::uint32_t fleetInstances = 0;
    std::uint32_t domains = 0;
    std::uint32_t largestDomain = 0;
    std::map<std::string, std::vector<DemandWindow>> demand;
};

/// Counts the fleet's instances that are not failed, and its failure domains.
CapacityFacts capacityFacts(const Fleet &fleet, FailureDomain toleratedFailureDomain);

/// Sizes each pool and the shared buffer.
///
/// A pool's size is the larger of:
/// - the plans' minimum, plus the pool's members in the largest domain, plus what a wave takes at
///   once;
/// - the instances for the quantile moves / (moves + buffer) of sustained demand. This is the
///   critical ratio of the newsvendor problem, which balances the cost of a move against that of an
///   idle instance.
///
/// A wave's share lies between one instance and the rest of the budget, in proportion to
/// roll_out_time / (roll_out_time + buffer).
///
/// The buffer's size is the larger of:
/// - one domain, since only one is assumed to fail at a time, and any pool's members are replaced
///   from the buffer;
/// - the largest sum over the pools, at one time, of sustained demand beyond their sizes. Pools
///   that peak at different times share it.
CapacityPlan planCapacity(const CapacityFacts &facts, const Lists &lists,
                          const DeploymentWeights &weights, const CapacityLimits &limits);

/// Baseline: each pool sized for its own peak, without a shared buffer.
CapacityPlan planPerPoolPeak(const CapacityFacts &facts, const Lists &lists,
                             const CapacityLimits &limits);

/// Baseline: each pool sized for its own sustained peak, with its own spare instances for the loss
/// of one domain.
CapacityPlan planPerPoolSpare(const CapacityFacts &facts, const Lists &lists,
                              const CapacityLimits &limits);

} // namespace dandelionloom
