#include "Decisions/Admission.h"

#include <algorithm>
#include <cmath>

namespace dandelionloom {

namespace {

constexpr double millisecondsPerSecond = 1000;
/// Weight of a new run time in the moving average, which then covers about the last twenty
/// requests.
constexpr double meanSmoothingFactor = 0.05;
/// Run time assumed before the first observation.
constexpr double initialRunMs = 50;
/// Lower bound of the retry delay of a refused caller: several round trips to the farthest client.
constexpr std::int64_t minRetryAfterMs = 100;

std::deque<WaitingRequest> &queueOf(PlanQueue &plan, WorkClass workClass)
{
    return workClass == WorkClass::Short ? plan.shortWork : plan.longWork;
}

double runMsOf(const ServiceQueue &queue, WorkClass workClass)
{
    const MeanRunTime &mean = workClass == WorkClass::Short ? queue.shortRun : queue.longRun;
    return mean.known ? mean.ms : initialRunMs;
}

void updateShortPeak(ServiceQueue &queue, std::uint32_t slots, SteadyTimeMs nowMs,
                     const AdmissionLimits &limits)
{
    if (!queue.shortPeakKnown) {
        queue.shortPeakKnown = true;
        queue.shortPeak = slots;
        queue.shortPeakAt = nowMs;
        return;
    }
    const double elapsedMs = static_cast<double>(nowMs - queue.shortPeakAt);
    const double decayed = queue.shortPeak * std::exp2(-elapsedMs / limits.reserveHalfLifeMs);
    const auto demand =
            std::min<double>(slots, static_cast<double>(queue.shortInFlight + queue.shortWaiting));
    queue.shortPeak = std::max(decayed, demand);
    queue.shortPeakAt = nowMs;
}

bool takeToken(TokenBucket &bucket, double perSecond, double burstSeconds, SteadyTimeMs nowMs)
{
    const double maxTokens = std::max(1.0, perSecond * burstSeconds);
    if (!bucket.started) {
        bucket = {maxTokens, nowMs, true};
    }
    const double elapsedMs = static_cast<double>(nowMs - bucket.updatedAt);
    bucket.tokens =
            std::min(maxTokens, bucket.tokens + elapsedMs * perSecond / millisecondsPerSecond);
    bucket.updatedAt = nowMs;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

/// Expected wait of one more request of a plan: the work queued ahead of it in the plan's own
/// queue, divided by the plan's weighted share of the slots.
double expectedWaitMs(const ServiceQueue &queue, const PlanQueue &plan, WorkClass workClass,
                      const ServiceCapacity &capacity)
{
    double weights = 0;
    for (const auto &[name, other] : queue.plans) {
        const bool busy = !other.shortWork.empty() || !other.longWork.empty() || &other == &plan;
        weights += busy ? other.share.weight : 0;
    }
    const double share = plan.share.weight / std::max(weights, plan.share.weight);
    const double slots = std::min(plan.share.slots, share * capacity.slots);
    const double queuedWorkMs =
            static_cast<double>(plan.shortWork.size()) * runMsOf(queue, WorkClass::Short)
            + (workClass == WorkClass::Long
                       ? static_cast<double>(plan.longWork.size()) * runMsOf(queue, WorkClass::Long)
                       : 0);
    return queuedWorkMs / std::max(slots, 1.0);
}

double backlog(const PlanQueue &plan)
{
    const auto waiting = static_cast<double>(plan.shortWork.size() + plan.longWork.size());
    return waiting / std::max(plan.share.weight, 0.001);
}

/// The queue whose newest request is displaced in favour of `request`: the least urgent work first,
/// then the plan with the largest backlog for its weight, so that a burst of one plan can't occupy
/// the queue places of the others. Null if no waiting request may be displaced.
std::deque<WaitingRequest> *findDisplaceableQueue(ServiceQueue &queue,
                                                  const WaitingRequest &request)
{
    std::deque<WaitingRequest> *displaceable = nullptr;
    const double ownBacklog =
            backlog(queue.plans[request.plan]) + 1 / queue.plans[request.plan].share.weight;
    double displaceableBacklog = 0;
    for (auto &[name, plan] : queue.plans) {
        for (std::deque<WaitingRequest> *candidates : {&plan.longWork, &plan.shortWork}) {
            if (candidates->empty() || candidates->back().urgency < request.urgency) {
                continue;
            }
            const double planBacklog = backlog(plan);
            const Urgency urgency = candidates->back().urgency;
            if (urgency == request.urgency && planBacklog <= ownBacklog) {
                continue;
            }
            const bool preferred = displaceable == nullptr || urgency > displaceable->back().urgency
                    || (urgency == displaceable->back().urgency
                        && planBacklog > displaceableBacklog);
            if (preferred) {
                displaceable = candidates;
                displaceableBacklog = planBacklog;
            }
        }
    }
    return displaceable;
}

void decrementWaiting(ServiceQueue &queue, const WaitingRequest &request)
{
    --queue.waiting;
    queue.shortWaiting -= request.workClass == WorkClass::Short ? 1 : 0;
}

AdmissionDecision refuse(AdmissionReason reason, double afterMs)
{
    AdmissionDecision decision;
    decision.reason = reason;
    decision.retryAfterMs =
            std::max(minRetryAfterMs, static_cast<std::int64_t>(std::ceil(afterMs)));
    return decision;
}

void dropExpired(ServiceQueue &queue, std::deque<WaitingRequest> &requests, SteadyTimeMs nowMs,
                 std::vector<WaitingRequest> &expired)
{
    while (!requests.empty() && requests.front().deadlineAt <= nowMs) {
        decrementWaiting(queue, requests.front());
        expired.push_back(std::move(requests.front()));
        requests.pop_front();
    }
}

} // namespace

AdmissionDecision admit(ServiceQueue &queue, const WaitingRequest &request, const PlanShare &share,
                        const ServiceCapacity &capacity, SteadyTimeMs nowMs,
                        const AdmissionLimits &limits)
{
    if (request.deadlineAt <= nowMs) {
        return refuse(AdmissionReason::DeadlinePassed, 0);
    }
    if (capacity.slots == 0) {
        return refuse(AdmissionReason::NoCapacity, millisecondsPerSecond);
    }
    PlanQueue &plan = queue.plans[request.plan];
    plan.share = share;
    if (!takeToken(plan.rate, share.requestsPerSecond, limits.burstSeconds, nowMs)) {
        return refuse(AdmissionReason::OverRate, millisecondsPerSecond / share.requestsPerSecond);
    }
    const double waitMs = expectedWaitMs(queue, plan, request.workClass, capacity);
    const double runMs = runMsOf(queue, request.workClass);
    if (static_cast<double>(nowMs) + waitMs + runMs > static_cast<double>(request.deadlineAt)) {
        const bool slotsExhausted = plan.inFlight >= share.slots;
        return refuse(slotsExhausted ? AdmissionReason::OverSlots
                                     : AdmissionReason::DeadlineUnreachable,
                      waitMs);
    }
    AdmissionDecision decision;
    if (queue.waiting >= limits.queueLength) {
        std::deque<WaitingRequest> *displaceable = findDisplaceableQueue(queue, request);
        if (displaceable == nullptr) {
            return refuse(AdmissionReason::QueueFull, waitMs);
        }
        decision.displaced = displaceable->back();
        displaceable->pop_back();
        decrementWaiting(queue, *decision.displaced);
    }
    queueOf(plan, request.workClass).push_back(request);
    ++queue.waiting;
    if (request.workClass == WorkClass::Short) {
        ++queue.shortWaiting;
        updateShortPeak(queue, capacity.slots, nowMs, limits);
    }
    decision.admitted = true;
    return decision;
}

std::optional<WaitingRequest> takeNext(ServiceQueue &queue, const ServiceCapacity &capacity,
                                       SteadyTimeMs nowMs, const AdmissionLimits &limits,
                                       std::vector<WaitingRequest> &expired)
{
    for (auto &[name, plan] : queue.plans) {
        dropExpired(queue, plan.shortWork, nowMs, expired);
        dropExpired(queue, plan.longWork, nowMs, expired);
    }
    if (capacity.free == 0) {
        return std::nullopt;
    }
    const bool longAllowed = !capacity.longBlocked
            && queue.longInFlight < longSlotLimit(queue, capacity.slots, nowMs, limits);
    PlanQueue *best = nullptr;
    double bestStart = 0;
    for (auto &[name, plan] : queue.plans) {
        const bool hasWork = !plan.shortWork.empty() || (longAllowed && !plan.longWork.empty());
        if (!hasWork || plan.inFlight >= std::max(plan.share.slots, 1.0)) {
            continue;
        }
        const double start = std::max(queue.virtualTime, plan.virtualFinish);
        if (best == nullptr || start < bestStart) {
            best = &plan;
            bestStart = start;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const WorkClass workClass = best->shortWork.empty() ? WorkClass::Long : WorkClass::Short;
    std::deque<WaitingRequest> &requests = queueOf(*best, workClass);
    WaitingRequest request = std::move(requests.front());
    requests.pop_front();
    decrementWaiting(queue, request);
    ++best->inFlight;
    ++(workClass == WorkClass::Short ? queue.shortInFlight : queue.longInFlight);
    queue.virtualTime = bestStart;
    best->virtualFinish =
            bestStart + runMsOf(queue, workClass) / std::max(best->share.weight, 0.001);
    return request;
}

void requeue(ServiceQueue &queue, const WaitingRequest &request)
{
    finish(queue, request, -1);
    queueOf(queue.plans[request.plan], request.workClass).push_front(request);
    ++queue.waiting;
    queue.shortWaiting += request.workClass == WorkClass::Short ? 1 : 0;
}

void finish(ServiceQueue &queue, const WaitingRequest &request, double runMs)
{
    PlanQueue &plan = queue.plans[request.plan];
    plan.inFlight -= plan.inFlight > 0 ? 1 : 0;
    std::uint32_t &inFlight =
            request.workClass == WorkClass::Short ? queue.shortInFlight : queue.longInFlight;
    inFlight -= inFlight > 0 ? 1 : 0;
    if (runMs < 0) {
        return;
    }
    MeanRunTime &mean = request.workClass == WorkClass::Short ? queue.shortRun : queue.longRun;
    mean.ms = mean.known ? mean.ms + meanSmoothingFactor * (runMs - mean.ms) : runMs;
    mean.known = true;
}

void reclassifyAsLong(ServiceQueue &queue, WaitingRequest &request)
{
    if (request.workClass == WorkClass::Long) {
        return;
    }
    request.workClass = WorkClass::Long;
    queue.shortInFlight -= queue.shortInFlight > 0 ? 1 : 0;
    ++queue.longInFlight;
}

bool removeWaiting(ServiceQueue &queue, const WaitingRequest &request)
{
    const auto plan = queue.plans.find(request.plan);
    if (plan == queue.plans.end()) {
        return false;
    }
    std::deque<WaitingRequest> &requests = queueOf(plan->second, request.workClass);
    const auto found =
            std::find_if(requests.begin(), requests.end(),
                         [&](const WaitingRequest &other) { return other.id == request.id; });
    if (found == requests.end()) {
        return false;
    }
    decrementWaiting(queue, *found);
    requests.erase(found);
    return true;
}

std::uint32_t longSlotLimit(const ServiceQueue &queue, std::uint32_t slots, SteadyTimeMs nowMs,
                            const AdmissionLimits &limits)
{
    const double elapsedMs = static_cast<double>(nowMs - queue.shortPeakAt);
    const double peak = queue.shortPeak * std::exp2(-elapsedMs / limits.reserveHalfLifeMs);
    if (peak < 0.5) {
        return slots;
    }
    if (queue.shortWaiting > 0) {
        const double guaranteed = std::ceil(limits.guaranteedLongShare * slots);
        return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(guaranteed));
    }
    const double reserve = std::max(limits.reserveFactor * peak, limits.minShortReserve * slots);
    const double limit = std::max(limits.minLongShare * slots, slots - reserve);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(limit)));
}

} // namespace dandelionloom
