#include "Decisions/SlotShares.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace dandelionloom {

namespace {

/// Demand added for every gateway, so that one without requests can start its first at once.
constexpr double baseDemand = 0.5;

std::uint64_t tieBreakHash(const std::string &endpoint, const std::string &gateway)
{
    const std::string text = endpoint + '\n' + gateway;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::map<std::string, std::uint32_t> allocateSlots(const std::string &endpoint, std::uint32_t slots,
                                                   const std::vector<GatewayDemand> &demands)
{
    struct Allocation
    {
        const GatewayDemand *demand = nullptr;
        double priority = 0;
        std::uint64_t tieBreak = 0;
    };
    double total = 0;
    for (const GatewayDemand &demand : demands) {
        total += demand.requests + baseDemand;
    }
    std::map<std::string, std::uint32_t> shares;
    std::vector<Allocation> allocations;
    std::uint32_t allocated = 0;
    for (const GatewayDemand &demand : demands) {
        const double exact = slots * (demand.requests + baseDemand) / total;
        const auto whole = static_cast<std::uint32_t>(std::floor(exact));
        shares[demand.gateway] = whole;
        allocated += whole;
        const std::uint64_t tieBreak = tieBreakHash(endpoint, demand.gateway);
        // The fractional part acts as a probability: over many endpoints a gateway with a fraction
        // of 0.3 gets an extra slot at about three in ten.
        const double uniform =
                static_cast<double>(tieBreak >> 11) / static_cast<double>(1ULL << 53);
        allocations.push_back({&demand, (exact - whole) / std::max(uniform, 1e-9), tieBreak});
    }
    std::sort(allocations.begin(), allocations.end(),
              [](const Allocation &left, const Allocation &right) {
                  return left.priority != right.priority ? left.priority > right.priority
                                                         : left.tieBreak < right.tieBreak;
              });
    for (const Allocation &allocation : allocations) {
        if (allocated == slots) {
            break;
        }
        ++shares[allocation.demand->gateway];
        ++allocated;
    }
    return shares;
}

} // namespace dandelionloom
