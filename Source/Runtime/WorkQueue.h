#pragma once

#include <string>
#include <vector>

#include "Decisions/Ejection.h"
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
    /// Method and leading path segments, see requestKind().
    std::string kind;
    /// On this process's monotonic clock.
    SteadyTimeMs deadlineAt = 0;
    /// Instances and racks of earlier attempts of the request.
    std::vector<std::string> triedInstances;
    std::vector<std::string> triedRacks;
};

/// A slot of an endpoint, held until it is released.
struct Slot
{
    /// Number of the grant at this gateway.
    std::uint64_t ticket = 0;
    std::string service;
    std::string instance;
    std::string address;
    std::string rack;
    WorkClass workClass = WorkClass::Short;
    RoutingReason reason = RoutingReason::LeastLoadedInZone;
};

/// Why no slot was granted.
struct SlotRefusal
{
    /// Name of the reason that routing or admission gave.
    std::string reason;
    /// When the caller may try again.
    Milliseconds retryAfter{0};
};

/// Decides which request gets the next free slot, and where. Thread-safe.
class WorkQueue
{
public:
    virtual ~WorkQueue() = default;

    /// Waits for a slot until the item's deadline.
    virtual Result<Slot, SlotRefusal> acquire(const WorkItem &item) = 0;
    /// Gives a slot back. `result` tells how the attempt ended.
    virtual void release(const Slot &slot, AttemptJudgement result) = 0;
    /// Tells how all attempts of one request ended, for the health of the endpoints.
    virtual void requestEnded(const std::string &service,
                              const std::vector<JudgedAttempt> &attempts) = 0;
    /// Endpoints of the service came, left or changed.
    virtual void endpointsChanged(const std::string &service) = 0;
};

} // namespace dandelionloom
