#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Model/EnumNames.h"
#include "Model/Fleet.h"

namespace dandelionloom {

/// Next step of an instance in its cycle of failure, drain, reboot and return.
enum class LifecycleAction {
    /// Nothing to do; the reason tells what the instance waits for.
    None,
    /// Ask the platform to drain. Repeated until the platform reports the drain.
    RequestDrain,
    /// Ask the platform to end a drain whose grant was released.
    RequestUndrain,
    /// Ask the platform to reboot. Repeated until the platform reports the reboot.
    RequestReboot,
    /// Record the next phase.
    EnterPhase,
    /// Record the new pool of a drained instance.
    ChangePool
};
inline constexpr EnumNames<LifecycleAction, 6> lifecycleActionNames{
        {"none", "request-drain", "request-undrain", "request-reboot", "enter-phase",
         "change-pool"}};

enum class LifecycleReason {
    Healthy,
    EndpointMissing,
    EndpointLost,
    EndpointReturned,
    DrainRequested,
    WaitingForGateways,
    WaitingForRunningWork,
    DrainLimitPassed,
    DrainCompleted,
    DrainGivenBack,
    RebootRequested,
    WaitingForReboot,
    RebootCompleted,
    MoveCompleted,
    Proving,
    Proved,
    PlatformSilent
};
inline constexpr EnumNames<LifecycleReason, 17> lifecycleReasonNames{
        {"healthy", "endpoint-missing", "endpoint-lost", "endpoint-returned", "drain-requested",
         "waiting-for-gateways", "waiting-for-running-work", "drain-limit-passed",
         "drain-completed", "drain-given-back", "reboot-requested", "waiting-for-reboot",
         "reboot-completed", "move-completed", "proving", "proved", "platform-silent"}};

struct LifecycleLimits
{
    /// How long an in-service instance may have no serving endpoint before it is recorded as
    /// failed. Longer than one endpoint lease, so that one lost renewal is not a failure.
    std::int64_t failureDelayMs = 30000;
    /// How long a returned instance must serve before it counts as available again.
    std::int64_t provingMs = 10000;
};

struct LifecycleFacts
{
    InstanceRecord record;
    /// State at the platform; empty if the platform did not answer.
    std::optional<PlatformInstanceState> platformState;
    /// The platform has acknowledged the drain or reboot of the record's epoch to this leader. A
    /// new leader sends the command again with the same id, which the platform deduplicates.
    bool commandAcknowledged = false;
    /// A serving endpoint with a valid lease exists for the instance's pool.
    bool endpointServing = false;
    /// How long `endpointServing` has had its value, as observed by this leader.
    std::int64_t endpointConditionMs = 0;
    /// Every gateway has applied the drain, or its lists lease has expired.
    bool gatewaysConfirmed = false;
    /// False for instances of the spare pool, which run no endpoint.
    bool expectsEndpoint = true;
    std::int64_t drainLimitMs = 60000;
    std::int64_t nowMs = 0;
};

struct LifecycleStep
{
    LifecycleAction action = LifecycleAction::None;
    LifecycleReason reason = LifecycleReason::Healthy;
    /// The phase to record for EnterPhase.
    InstancePhase phase = InstancePhase::InService;
};

/// The next step of an instance. Entering Drained requires the confirmation of all gateways, so
/// that no gateway sends new work to an instance that is about to stop.
LifecycleStep nextLifecycleStep(const LifecycleFacts &facts, const LifecycleLimits &limits);

} // namespace dandelionloom
