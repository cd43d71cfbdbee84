#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandelionloom {

/// Requests that a gateway has waiting and in flight for one service.
struct GatewayDemand
{
    std::string gateway;
    double requests = 0;
};

/// Divides the slots of one endpoint among the gateways in proportion to their demand. The shares
/// never add up to more than `slots`. Slots that remain after rounding down go to the gateways in
/// an order that depends on the endpoint, so that each gateway gets its share over the pool as a
/// whole.
std::map<std::string, std::uint32_t> allocateSlots(const std::string &endpoint, std::uint32_t slots,
                                                   const std::vector<GatewayDemand> &demands);

} // namespace dandelionloom
