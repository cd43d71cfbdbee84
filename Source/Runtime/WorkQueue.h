#pragma once

#include <string>
#include <vector>

#include "Decisions/Routing.h"
#include "Model/Result.h"
#include "Model/Time.h"

namespace dandelionloom {

/// One attempt that waits for a slot.
struct WorkItem
{
    std::string requestId;
    std::string plan;
    std::string service;
    WorkClass workClass = WorkClass::Short;
    /// On this process's monotonic clock.
    SteadyTimeMs deadlineAt = 0;
    /// Instances and racks of earlier attempts of the request.
    std::vector<std::string> triedInstances;
    std::vector<std::string> triedRacks;
};

/// A slot of an endpoint, held until it is released.
struct Slot
{
    std::string service;
    std::string instance;
    std::string address;
    std::string rack;
    WorkClass workClass = WorkClass::Short;
    RoutingReason reason = RoutingReason::LeastLoadedInZone;
};

/// Why no slot came before the deadline, as routing gave it last.
struct SlotRefusal
{
    RoutingReason reason = RoutingReason::NoEndpoint;
};

/// Decides which request gets the next free slot, and where. Thread-safe.
class WorkQueue
{
public:
    virtual ~WorkQueue() = default;

    /// Waits for a slot until the item's deadline.
    virtual Result<Slot, SlotRefusal> acquire(const WorkItem &item) = 0;
    virtual void release(const Slot &slot) = 0;
    /// Endpoints of the service came, left or changed.
    virtual void endpointsChanged(const std::string &service) = 0;
};

} // namespace dandelionloom
