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
    /// No endpoint can start long work now, although slots are free.
    bool longBlocked = false;
};

struct AdmissionLimits
{
    /// Maximum number of waiting requests of one service at one gateway.
    std::size_t queueLength = 1000;
    /// Minimum share of the slots that long work may not use once short work has been seen.
    double minShortReserve = 0.125;
    /// Share of the slots that long work may use even while short work waits, which prevents
    /// starvation of long work. Short work waits behind this share at most.
    double guaranteedLongShare = 0.05;
    /// Minimum share of the slots that long work may use while no short work waits, however high
    /// the decayed peak of short work is.
    double minLongShare = 0.2;
    /// Half-life of the decaying peak of short-work demand. Much longer than the interval between
    /// two peaks of a queue: with a half-life of a minute, the reserve had shrunk by a third when
    /// the next peak came.
    double reserveHalfLifeMs = 600000;
    /// Slots reserved for short work for each slot of the decayed peak.
    double reserveFactor = 1.1;
    /// Capacity of the token bucket, in seconds of the plan's rate.
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

/// Token bucket of a rate limit, refilled over time up to its capacity.
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

/// Mean run time of a class of work, as an exponential moving average.
struct MeanRunTime
{
    double ms = 0;
    bool known = false;
};

/// Queue of one service at one gateway. Plain data whose invariants the functions below maintain.
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
    /// Decaying peak of the slots needed by short work. The first request sets it to all slots,
    /// because a peak may be imminent.
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
    /// A waiting request that was removed in favour of a more urgent one or of a plan with a
    /// smaller backlog. Its caller is answered with the outcome not-run.
    std::optional<WaitingRequest> displaced;
};

/// Admits a request to the queue, or refuses it at once if its deadline can't be met or the plan
/// has used its allowance.
AdmissionDecision admit(ServiceQueue &queue, const WaitingRequest &request, const PlanShare &share,
                        const ServiceCapacity &capacity, SteadyTimeMs nowMs,
                        const AdmissionLimits &limits);

/// Dequeues the next request if a slot is free for it: plans in the order of their weighted virtual
/// time (weighted fair queueing), short work before long work, long work only within
/// longSlotLimit(). Requests whose deadline has passed are moved to `expired`.
std::optional<WaitingRequest> takeNext(ServiceQueue &queue, const ServiceCapacity &capacity,
                                       SteadyTimeMs nowMs, const AdmissionLimits &limits,
                                       std::vector<WaitingRequest> &expired);

/// Returns a request that was just dequeued to the head of its queue, because no endpoint accepted
/// it.
void requeue(ServiceQueue &queue, const WaitingRequest &request);

/// Releases the slot of a started request and adds its run time to the mean. A negative run time
/// stands for a request that was not run; it leaves the mean unchanged.
void finish(ServiceQueue &queue, const WaitingRequest &request, double runMs);

/// Counts a started short request as long from now on.
void reclassifyAsLong(ServiceQueue &queue, WaitingRequest &request);

/// Removes a waiting request whose caller disconnected. Returns false if it is no longer in the
/// queue.
bool removeWaiting(ServiceQueue &queue, const WaitingRequest &request);

/// Slots that long work may occupy now: the guaranteed share while short work waits, else all slots
/// except the short-work reserve.
std::uint32_t longSlotLimit(const ServiceQueue &queue, std::uint32_t slots, SteadyTimeMs nowMs,
                            const AdmissionLimits &limits);

} // namespace dandelionloom
