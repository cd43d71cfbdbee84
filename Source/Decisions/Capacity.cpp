#include "Decisions/Capacity.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace dandelionloom {

namespace {

/// The combined plans and allowances of one service.
struct ServiceRequirements
{
    std::uint32_t minHealthy = 0;
    std::uint32_t maxUnavailable = std::numeric_limits<std::uint32_t>::max();
    std::uint64_t allowedInstances = 0;
};

std::map<std::string, ServiceRequirements> requirementsByService(const Lists &lists)
{
    std::map<std::string, ServiceRequirements> result;
    for (const auto &[id, plan] : lists.plans) {
        ServiceRequirements &requirements = result[plan.service];
        requirements.minHealthy = std::max(requirements.minHealthy, plan.minHealthyInstances);
        requirements.maxUnavailable =
                std::min(requirements.maxUnavailable, plan.maxUnavailableInstances);
        const auto allowance = lists.allowances.find(id);
        if (allowance != lists.allowances.end()) {
            requirements.allowedInstances += allowance->second.maxInstances;
        }
    }
    return result;
}

std::uint32_t instancesForSlots(double slots, const CapacityLimits &limits)
{
    // The epsilon keeps a rounding error in a whole quotient from adding an instance.
    return static_cast<std::uint32_t>(
            std::ceil(slots / (limits.slotsPerInstance * limits.targetUtilization) - 1e-9));
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const double position = share * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::ceil(position))];
}

double ratio(double part, double other)
{
    return part + other > 0 ? part / (part + other) : 0.5;
}

/// Smallest pool that keeps `base` members after the loss of one of `domains` equally filled
/// domains.
std::uint32_t sizeWithDomainLoss(std::uint32_t base, std::uint32_t domains)
{
    if (domains < 2) {
        return base + 1;
    }
    // n - ceil(n / domains) >= base holds from n = base * domains / (domains - 1) rounded up.
    const std::uint64_t lower = static_cast<std::uint64_t>(base) * domains / (domains - 1);
    std::uint32_t size = std::max(1U, static_cast<std::uint32_t>(lower));
    while (size - (size + domains - 1) / domains < base) {
        ++size;
    }
    return size;
}

PoolCapacity sizePool(const std::string &pool, const ServiceRequirements &requirements,
                      double demandSlots, double waveWeight, const CapacityFacts &facts,
                      const CapacityLimits &limits)
{
    const std::uint32_t domains = std::max(1U, facts.domains);
    PoolCapacity result;
    result.pool = pool;
    result.minHealthy = requirements.minHealthy;
    const std::uint32_t wanted = instancesForSlots(demandSlots, limits);
    result.demandInstances = wanted;
    if (requirements.allowedInstances > 0 && wanted > requirements.allowedInstances) {
        result.demandInstances = static_cast<std::uint32_t>(requirements.allowedInstances);
    }
    const std::uint32_t sizeWithLoss = sizeWithDomainLoss(requirements.minHealthy, domains);
    const std::uint32_t lossShare = sizeWithLoss - requirements.minHealthy;
    if (requirements.maxUnavailable > 0) {
        const std::uint32_t remainingBudget = requirements.maxUnavailable > lossShare
                ? std::min(requirements.maxUnavailable - lossShare, sizeWithLoss)
                : 1;
        const auto weighted = static_cast<std::uint32_t>(std::floor(remainingBudget * waveWeight));
        result.waveShare = std::max(1U, weighted);
    }
    const std::uint32_t minSize =
            sizeWithDomainLoss(requirements.minHealthy + result.waveShare, domains);
    result.instances = std::max(minSize, result.demandInstances);
    result.domainShare = (result.instances + domains - 1) / domains;
    if (result.demandInstances > minSize) {
        result.reason = wanted > result.demandInstances ? CapacityReason::AllowanceLimit
                                                        : CapacityReason::SustainedDemand;
    }
    if (result.domainShare > requirements.maxUnavailable) {
        result.reason = CapacityReason::BudgetBelowDomain;
    }
    return result;
}

/// Maximum over time of the sum over all pools of sustained demand beyond their sizes.
std::uint32_t largestOverflow(const std::map<std::string, std::vector<double>> &sustained,
                              const std::map<std::string, ServiceRequirements> &requirements,
                              const CapacityPlan &plan, const CapacityLimits &limits)
{
    std::vector<std::uint32_t> overflow;
    for (const auto &[service, slots] : sustained) {
        const auto pool = plan.pools.find(service);
        if (pool == plan.pools.end()) {
            continue;
        }
        const std::uint64_t allowed = requirements.at(service).allowedInstances;
        overflow.resize(std::max(overflow.size(), slots.size()));
        for (std::size_t index = 0; index < slots.size(); ++index) {
            std::uint32_t need = instancesForSlots(slots[index], limits);
            if (allowed > 0) {
                need = std::min(need, static_cast<std::uint32_t>(allowed));
            }
            overflow[index] += need - std::min(need, pool->second.instances);
        }
    }
    return overflow.empty() ? 0 : *std::max_element(overflow.begin(), overflow.end());
}

/// Reduces the plan until it fits the fleet: the buffer first, since no plan relies on it, then the
/// pools in proportion to what they hold above their minimum.
void fitToFleet(CapacityPlan &plan, std::uint32_t fleetInstances)
{
    std::uint64_t total = plan.buffer;
    for (const auto &[name, pool] : plan.pools) {
        total += pool.instances;
    }
    if (total <= fleetInstances) {
        plan.surplus = static_cast<std::uint32_t>(fleetInstances - total);
        return;
    }
    plan.shortage = static_cast<std::uint32_t>(total - fleetInstances);
    std::uint32_t missing = plan.shortage;
    const std::uint32_t fromBuffer = std::min(missing, plan.buffer);
    plan.buffer -= fromBuffer;
    missing -= fromBuffer;
    plan.bufferReason = BufferReason::FleetTooSmall;
    std::uint64_t totalAboveMinimum = 0;
    for (const auto &[name, pool] : plan.pools) {
        totalAboveMinimum += pool.instances - std::min(pool.instances, pool.minHealthy);
    }
    const std::uint32_t target = missing;
    for (auto &[name, pool] : plan.pools) {
        const std::uint64_t aboveMinimum =
                pool.instances - std::min(pool.instances, pool.minHealthy);
        const std::uint64_t share = totalAboveMinimum == 0
                ? 0
                : (aboveMinimum * target + totalAboveMinimum - 1) / totalAboveMinimum;
        const auto taken = static_cast<std::uint32_t>(
                std::min({share, aboveMinimum, static_cast<std::uint64_t>(missing)}));
        pool.instances -= taken;
        missing -= taken;
        pool.reason = taken > 0 ? CapacityReason::FleetTooSmall : pool.reason;
    }
}

std::map<std::string, std::vector<double>> sustainedByService(const CapacityFacts &facts,
                                                              const CapacityLimits &limits)
{
    std::map<std::string, std::vector<double>> result;
    for (const auto &[service, windows] : facts.demand) {
        result[service] = sustainedSlots(windows, shortestUsefulPeakMs(limits));
    }
    return result;
}

} // namespace

std::int64_t shortestUsefulPeakMs(const CapacityLimits &limits)
{
    return limits.drainMs + limits.moveMs;
}

std::vector<double> sustainedSlots(const std::vector<DemandWindow> &windows, std::int64_t spanMs)
{
    std::vector<double> result;
    double area = 0;
    std::int64_t lengthMs = 0;
    std::size_t first = 0;
    for (const DemandWindow &window : windows) {
        area += window.meanSlots * static_cast<double>(window.lengthMs);
        lengthMs += window.lengthMs;
        while (lengthMs - windows[first].lengthMs >= spanMs) {
            area -= windows[first].meanSlots * static_cast<double>(windows[first].lengthMs);
            lengthMs -= windows[first].lengthMs;
            ++first;
        }
        if (lengthMs >= spanMs) {
            result.push_back(area / static_cast<double>(lengthMs));
        }
    }
    if (result.empty() && lengthMs > 0) {
        result.push_back(area / static_cast<double>(lengthMs));
    }
    return result;
}

CapacityFacts capacityFacts(const Fleet &fleet, FailureDomain toleratedFailureDomain)
{
    CapacityFacts facts;
    std::map<std::string, std::uint32_t> domains;
    for (const auto &[id, record] : fleet.instances) {
        ++domains[domainKey(record, toleratedFailureDomain)];
        facts.fleetInstances += record.phase == InstancePhase::Failed ? 0 : 1;
    }
    facts.domains = static_cast<std::uint32_t>(domains.size());
    for (const auto &[key, count] : domains) {
        facts.largestDomain = std::max(facts.largestDomain, count);
    }
    return facts;
}

CapacityPlan planCapacity(const CapacityFacts &facts, const Lists &lists,
                          const DeploymentWeights &weights, const CapacityLimits &limits)
{
    const auto requirements = requirementsByService(lists);
    const auto sustained = sustainedByService(facts, limits);
    const double demandShare = ratio(weights.moves, weights.buffer);
    const double waveWeight = ratio(weights.rollOutTime, weights.buffer);
    CapacityPlan plan;
    for (const auto &[service, serviceRequirements] : requirements) {
        const auto found = sustained.find(service);
        const double slots = found == sustained.end() ? 0 : quantile(found->second, demandShare);
        plan.pools[service] =
                sizePool(service, serviceRequirements, slots, waveWeight, facts, limits);
    }
    const std::uint32_t overflow = largestOverflow(sustained, requirements, plan, limits);
    plan.buffer = std::max(facts.largestDomain, overflow);
    plan.bufferReason =
            overflow > facts.largestDomain ? BufferReason::SustainedPeak : BufferReason::DomainLoss;
    fitToFleet(plan, facts.fleetInstances);
    return plan;
}

CapacityPlan planPerPoolPeak(const CapacityFacts &facts, const Lists &lists,
                             const CapacityLimits &limits)
{
    CapacityPlan plan;
    for (const auto &[service, requirements] : requirementsByService(lists)) {
        double peak = 0;
        const auto windows = facts.demand.find(service);
        if (windows != facts.demand.end()) {
            for (const DemandWindow &window : windows->second) {
                peak = std::max(peak, window.peakSlots);
            }
        }
        plan.pools[service] = sizePool(service, requirements, peak, 0, facts, limits);
    }
    return plan;
}

CapacityPlan planPerPoolSpare(const CapacityFacts &facts, const Lists &lists,
                              const CapacityLimits &limits)
{
    const auto sustained = sustainedByService(facts, limits);
    CapacityPlan plan;
    for (const auto &[service, requirements] : requirementsByService(lists)) {
        const auto found = sustained.find(service);
        const double slots = found == sustained.end() ? 0 : quantile(found->second, 1);
        PoolCapacity &pool = plan.pools[service];
        pool = sizePool(service, requirements, slots, 0, facts, limits);
        pool.instances = std::max(requirements.minHealthy + pool.waveShare, pool.demandInstances)
                + facts.largestDomain;
    }
    return plan;
}

} // namespace dandelionloom
