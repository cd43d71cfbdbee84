#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Decisions/Routing.h"
#include "Model/EnumNames.h"
#include "Model/Lists.h"
#include "Model/Time.h"

namespace dandelionloom {

/// A request that waits for a slot of its service's pool at one gateway.
struct WaitingRequest
{
    std::uint64_t id = 0;
    std::string plan;
    Urgency urgency = Urgency::Normal;
    WorkClass workClass = WorkClass::Short;
    SteadyTimeMs arrivedAt = 0;
    SteadyTimeMs deadlineAt = 0;
};

/// What the plan may use at this gateway: its share of the regional allowance.
struct PlanShare
{
    double weight = 1;
    double slots = 8;
    double requestsPerSecond = 100;
};

/// Slots of the service's pool that this gateway may use now.
struct ServiceCapacity
{
    std::uint32_t slots = 0;
    std::uint32_t free = 0;
    /// No endpoint takes long work now, although slots are free.
    bool longBlocked = false;
};

struct AdmissionLimits
{
    /// Waiting requests of one service at one gateway.
    std::size_t queueLength = 1000;
    /// Part of the slots that is always kept free of long work while short work has been seen.
    double smallestShortReserve = 0.125;
    /// Part of the slots that long work may use even while short work waits, so that it is never
    /// starved. This is the stated share behind which short work can wait.
    double guaranteedLongShare = 0.05;
    /// Part of the slots that long work may use while no short work waits, however high the
    /// remembered peak of short work is.
    double smallestLongShare = 0.2;
    /// Half-life of the memory of short work's peak demand. Much longer than the pause between two
    /// peaks of a queue: with a minute, the reserve had shrunk by a third when the next peak came.
    double reserveHalfLifeMs = 600000;
    /// Slots reserved for each slot of the remembered peak.
    double reserveFactor = 1.1;
    /// Burst that a plan may send above its rate, in seconds of its rate.
    double burstSeconds = 2;
};

enum class AdmissionReason {
    Admitted,
    OverRate,
    OverSlots,
    QueueFull,
    DeadlineUnreachable,
    DeadlinePassed,
    Displaced,
    NoCapacity
};
inline constexpr EnumNames<AdmissionReason, 8> admissionReasonNames{
        {"admitted", "over-rate", "over-slots", "queue-full", "deadline-unreachable",
         "deadline-passed", "displaced", "no-capacity"}};

/// Tokens that grow with time up to a limit.
struct TokenBucket
{
    double tokens = 0;
    SteadyTimeMs updatedAt = 0;
    bool started = false;
};

struct PlanQueue
{
    std::deque<WaitingRequest> shortWork;
    std::deque<WaitingRequest> longWork;
    /// Virtual finish time of the plan's last started request.
    double virtualFinish = 0;
    std::uint32_t inFlight = 0;
    PlanShare share;
    TokenBucket rate;
};

/// Mean run time of a class of work, by exponential average.
struct MeanRunTime
{
    double ms = 0;
    bool known = false;
};

/// Queue of one service at one gateway. Plain data; the functions below keep it consistent.
struct ServiceQueue
{
    std::map<std::string, PlanQueue> plans;
    std::size_t waiting = 0;
    std::size_t shortWaiting = 0;
    std::uint32_t shortInFlight = 0;
    std::uint32_t longInFlight = 0;
    double virtualTime = 0;
    MeanRunTime shortRun;
    MeanRunTime longRun;
    /// Decaying peak of the slots that short work asked for. Unknown at first: the first request
    /// sets it to all slots, because a peak may be due.
    double shortPeak = 0;
    bool shortPeakKnown = false;
    SteadyTimeMs shortPeakAt = 0;
};

struct AdmissionDecision
{
    bool admitted = false;
    AdmissionReason reason = AdmissionReason::Admitted;
    /// When a refused caller may try again, in milliseconds.
    std::int64_t retryAfterMs = 0;
    /// A waiting request that gave up its place to a more urgent one or to a plan with less
    /// backlog; its caller is told not-run.
    std::optional<WaitingRequest> displaced;
};

/// Admits a request to the queue, or refuses it at once if it could not be served in time or the
/// plan has used its allowance.
AdmissionDecision admit(ServiceQueue &queue, const WaitingRequest &request, const PlanShare &share,
                        const ServiceCapacity &capacity, SteadyTimeMs nowMs,
                        const AdmissionLimits &limits);

/// Starts the next request if a slot is free for it: plans in the order of their weighted virtual
/// time, short work before long work, long work only within its limit. Requests
/// whose deadline has passed are moved to `expired`.
std::optional<WaitingRequest> takeNext(ServiceQueue &queue, const ServiceCapacity &capacity,
                                       SteadyTimeMs nowMs, const AdmissionLimits &limits,
                                       std::vector<WaitingRequest> &expired);

/// Puts a request that was just taken back in front of its queue, because no endpoint took it.
void putBack(ServiceQueue &queue, const WaitingRequest &request);

/// Gives back the slot of a started request and learns its run time. A request that was not run
/// is given back with a negative run time and teaches nothing.
void finish(ServiceQueue &queue, const WaitingRequest &request, double runMs);

/// Counts a started short request as long from now on.
void reclassify(ServiceQueue &queue, WaitingRequest &request);

/// Removes a request that still waits, for a caller that left. False if it had left the queue.
bool withdraw(ServiceQueue &queue, const WaitingRequest &request);

/// Slots that long work may hold now: the guaranteed share while short work waits, else all but
/// the short reserve.
std::uint32_t longSlotLimit(const ServiceQueue &queue, std::uint32_t slots, SteadyTimeMs nowMs,
                            const AdmissionLimits &limits);

} // namespace dandelionloom
