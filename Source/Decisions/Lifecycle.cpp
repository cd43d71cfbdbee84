#include "Decisions/Lifecycle.h"

namespace dandelionloom {

namespace {

LifecycleStep wait(LifecycleReason reason)
{
    return {LifecycleAction::None, reason, InstancePhase::InService};
}

LifecycleStep request(LifecycleAction action, LifecycleReason reason)
{
    return {action, reason, InstancePhase::InService};
}

LifecycleStep enter(InstancePhase phase, LifecycleReason reason)
{
    return {LifecycleAction::EnterPhase, reason, phase};
}

LifecycleStep stepInService(const LifecycleFacts &facts, const LifecycleLimits &limits)
{
    // After a grant was released the platform is still draining; end that drain first.
    if (facts.platformState == PlatformInstanceState::Draining
        || facts.platformState == PlatformInstanceState::Drained) {
        return request(LifecycleAction::RequestUndrain, LifecycleReason::DrainGivenBack);
    }
    if (!facts.expectsEndpoint || facts.endpointServing) {
        return wait(LifecycleReason::Healthy);
    }
    if (facts.endpointConditionMs < limits.failureDelayMs) {
        return wait(LifecycleReason::EndpointMissing);
    }
    return enter(InstancePhase::Failed, LifecycleReason::EndpointLost);
}

LifecycleStep stepDraining(const LifecycleFacts &facts)
{
    if (!facts.commandAcknowledged) {
        return request(LifecycleAction::RequestDrain, LifecycleReason::DrainRequested);
    }
    if (!facts.platformState) {
        return wait(LifecycleReason::PlatformSilent);
    }
    if (!facts.gatewaysConfirmed) {
        return wait(LifecycleReason::WaitingForGateways);
    }
    if (*facts.platformState == PlatformInstanceState::Drained) {
        return enter(InstancePhase::Drained, LifecycleReason::DrainCompleted);
    }
    if (facts.nowMs - facts.record.phaseSinceMs > facts.drainLimitMs) {
        return wait(LifecycleReason::DrainLimitPassed);
    }
    return wait(LifecycleReason::WaitingForRunningWork);
}

LifecycleStep stepDrained(const LifecycleFacts &facts)
{
    if (!facts.record.movingTo.empty()) {
        return request(LifecycleAction::ChangePool, LifecycleReason::MoveCompleted);
    }
    return enter(InstancePhase::Rebooting, LifecycleReason::DrainCompleted);
}

LifecycleStep stepRebooting(const LifecycleFacts &facts)
{
    if (!facts.commandAcknowledged) {
        return request(LifecycleAction::RequestReboot, LifecycleReason::RebootRequested);
    }
    if (!facts.platformState) {
        return wait(LifecycleReason::PlatformSilent);
    }
    if (*facts.platformState != PlatformInstanceState::Running) {
        return wait(LifecycleReason::WaitingForReboot);
    }
    if (facts.expectsEndpoint && !facts.endpointServing) {
        return wait(LifecycleReason::EndpointMissing);
    }
    return enter(InstancePhase::Proving, LifecycleReason::RebootCompleted);
}

LifecycleStep stepProving(const LifecycleFacts &facts, const LifecycleLimits &limits)
{
    if (facts.expectsEndpoint && !facts.endpointServing) {
        // A second failure right after a repair is common; the instance has to return and prove
        // itself again.
        if (facts.endpointConditionMs >= limits.failureDelayMs) {
            return enter(InstancePhase::Failed, LifecycleReason::EndpointLost);
        }
        return wait(LifecycleReason::EndpointMissing);
    }
    const bool proved = facts.nowMs - facts.record.phaseSinceMs >= limits.provingMs
            && (!facts.expectsEndpoint || facts.endpointConditionMs >= limits.provingMs);
    if (!proved) {
        return wait(LifecycleReason::Proving);
    }
    return enter(InstancePhase::InService, LifecycleReason::Proved);
}

LifecycleStep stepFailed(const LifecycleFacts &facts)
{
    if (facts.expectsEndpoint && !facts.endpointServing) {
        return wait(LifecycleReason::EndpointMissing);
    }
    return enter(InstancePhase::Proving, LifecycleReason::EndpointReturned);
}

} // namespace

LifecycleStep nextLifecycleStep(const LifecycleFacts &facts, const LifecycleLimits &limits)
{
    switch (facts.record.phase) {
    case InstancePhase::InService:
        return stepInService(facts, limits);
    case InstancePhase::Draining:
        return stepDraining(facts);
    case InstancePhase::Drained:
        return stepDrained(facts);
    case InstancePhase::Rebooting:
        return stepRebooting(facts);
    case InstancePhase::Proving:
        return stepProving(facts, limits);
    case InstancePhase::Failed:
        return stepFailed(facts);
    }
    return wait(LifecycleReason::Healthy);
}

} // namespace dandelionloom
