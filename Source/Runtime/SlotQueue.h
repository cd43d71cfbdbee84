#pragma once

#include <string>
#include <vector>

#include "Decisions/Ejection.h"
#include "Decisions/Routing.h"
#include "Model/Result.h"
#include "Model/Time.h"

namespace dandelionloom {

/// Asks for a slot for one attempt of a request.
struct SlotRequest
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

/// A slot of an endpoint, held from acquire() to release().
struct Slot
{
    /// Number of the request in the queue of its service at this gateway.
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
    /// Name of a RoutingReason or an AdmissionReason.
    std::string reason;
    /// When the caller may try again.
    Milliseconds retryAfter{0};
};

/// Queue of requests for slots of endpoints: decides which request gets the next free slot, and on
/// which endpoint. Thread-safe.
class SlotQueue
{
public:
    virtual ~SlotQueue() = default;

    /// Blocks until a slot is granted or refused, at most until the request's deadline.
    virtual Result<Slot, SlotRefusal> acquire(const SlotRequest &item) = 0;
    /// Returns a slot. `result` tells how the attempt ended.
    virtual void release(const Slot &slot, AttemptOutcome result) = 0;
    /// Records the results of all attempts of a finished request for the health of the endpoints.
    virtual void requestEnded(const std::string &service,
                              const std::vector<CompletedAttempt> &attempts) = 0;
    /// To be called when endpoints of the service joined, left or changed.
    virtual void endpointsChanged(const std::string &service) = 0;
};

} // namespace dandelionloom
