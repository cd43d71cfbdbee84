#include "Decisions/SlotShares.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace dandelionloom {

namespace {

/// Demand assumed of every gateway, so that one without requests can start its first at once.
constexpr double idleDemand = 0.5;

std::uint64_t orderOf(const std::string &endpoint, const std::string &gateway)
{
    const std::string text = endpoint + '\n' + gateway;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::map<std::string, std::uint32_t> divideSlots(const std::string &endpoint, std::uint32_t slots,
                                                 const std::vector<GatewayDemand> &demands)
{
    struct Part
    {
        const GatewayDemand *demand = nullptr;
        double remainder = 0;
        std::uint64_t order = 0;
    };
    double total = 0;
    for (const GatewayDemand &demand : demands) {
        total += demand.requests + idleDemand;
    }
    std::map<std::string, std::uint32_t> shares;
    std::vector<Part> parts;
    std::uint32_t given = 0;
    for (const GatewayDemand &demand : demands) {
        const double exact = slots * (demand.requests + idleDemand) / total;
        const auto whole = static_cast<std::uint32_t>(std::floor(exact));
        shares[demand.gateway] = whole;
        given += whole;
        const std::uint64_t order = orderOf(endpoint, demand.gateway);
        // The remainder is a probability: over many endpoints a gateway with a remainder of 0.3
        // gets an extra slot at about three in ten.
        const double draw = static_cast<double>(order >> 11) / static_cast<double>(1ULL << 53);
        parts.push_back({&demand, (exact - whole) / std::max(draw, 1e-9), order});
    }
    std::sort(parts.begin(), parts.end(), [](const Part &left, const Part &right) {
        return left.remainder != right.remainder ? left.remainder > right.remainder
                                                 : left.order < right.order;
    });
    for (const Part &part : parts) {
        if (given == slots) {
            break;
        }
        ++shares[part.demand->gateway];
        ++given;
    }
    return shares;
}

} // namespace dandelionloom
