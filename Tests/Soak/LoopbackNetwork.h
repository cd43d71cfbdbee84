#pragma once

#include <string>

namespace dandelionloom::soak {

/// Loopback addresses of one run, so that runs at the same time don't meet: 127.second.third + n.
struct LoopbackNetwork
{
    int second = 64;
    int third = 0;

    /// Address of a host, numbered from 0 to 1,999.
    std::string address(int host) const
    {
        return "127." + std::to_string(second) + "." + std::to_string(third + host / hostsPerSubnet)
                + "." + std::to_string(host % hostsPerSubnet + 1);
    }

    static constexpr int hostsPerSubnet = 250;
    static constexpr int subnets = 8;
};

} // namespace dandelionloom::soak
