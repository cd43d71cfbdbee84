#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Model/EnumNames.h"

namespace dandelionloom {

enum class WorkClass { Short, Long };
inline constexpr EnumNames<WorkClass, 2> workClassNames{{"short", "long"}};

/// State of an endpoint as known to one gateway at the time of a decision.
struct EndpointFacts
{
    std::string instance;
    std::string address;
    std::string rack;
    std::string availabilityZone;
    std::uint32_t slots = 0;
    /// Slots of the endpoint that this gateway may use now.
    std::uint32_t slotShare = 0;
    /// Attempts of this gateway in flight at the endpoint, and those of them that are long work.
    std::uint32_t inFlight = 0;
    std::uint32_t longInFlight = 0;
    bool leaving = false;
    bool leaseExpired = false;
    /// The replicated state has the instance in another pool or in a phase that takes no new work.
    bool outOfService = false;
    bool ejected = false;
};

struct RoutingFacts
{
    std::vector<EndpointFacts> endpoints;
    std::string availabilityZone;
    WorkClass workClass = WorkClass::Short;
    /// Maximum number of slots of each endpoint that long work may occupy.
    std::uint32_t longSlotsPerEndpoint = 6;
    /// Instances and racks of earlier attempts of the request.
    std::vector<std::string> triedInstances;
    std::vector<std::string> triedRacks;
    /// Random bits that break ties.
    std::uint64_t random = 0;
};

enum class RoutingReason {
    LeastLoadedInZone,
    LeastLoadedOtherZone,
    NoEndpoint,
    AllLeaving,
    AllOutOfService,
    AllEjected,
    AllBusy,
    LongWorkLimit
};
inline constexpr EnumNames<RoutingReason, 8> routingReasonNames{
        {"least-loaded-in-zone", "least-loaded-other-zone", "no-endpoint", "all-leaving",
         "all-out-of-service", "all-ejected", "all-busy", "long-work-limit"}};

struct RoutingDecision
{
    /// Index into RoutingFacts::endpoints; empty if the request has to wait or be refused.
    std::optional<std::size_t> chosen;
    RoutingReason reason = RoutingReason::NoEndpoint;
};

/// Chooses the endpoint of one attempt. Prefers endpoints that the request has not tried, racks
/// that it has not tried, the gateway's availability zone, and then the lowest load.
RoutingDecision chooseEndpoint(const RoutingFacts &facts);

} // namespace dandelionloom
