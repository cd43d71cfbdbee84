#include "Scheduling/SubmissionForecast.h"

#include <algorithm>

#include "Scheduling/JobTypes.h"

namespace dandelionloom {

namespace {

/// Time in which the capacity does the work.
double workTimeMs(double coreMs, std::int64_t milli)
{
    return coreMs * milliPerCore / static_cast<double>(milli);
}

/// Spreads refused callers over a time as long as the delay itself, so that they don't return
/// together.
std::int64_t retryAfterMs(double delayMs, double spread, const SubmissionOptions &options)
{
    const double shortest = std::clamp(delayMs, static_cast<double>(options.minRetryAfterMs),
                                       static_cast<double>(options.maxRetryAfterMs) / 2);
    return static_cast<std::int64_t>(shortest * (1 + std::clamp(spread, 0.0, 1.0)));
}

} // namespace

SubmissionDecision decideSubmission(const SubmissionFacts &facts, const SubmissionOptions &options)
{
    SubmissionDecision decision;
    const std::int64_t milli = facts.load.capacityMilli + facts.load.reachableMilli;
    if (milli <= 0) {
        // Nothing is known of the fleet yet, for example before the first worker has joined.
        return decision;
    }
    const double fullWaitMs = workTimeMs(facts.load.aheadCoreMs, milli);
    const double waitMs = std::min(fullWaitMs, facts.load.onTimeWaitMs.value_or(fullWaitMs));
    decision.predictedWaitMs = static_cast<std::int64_t>(waitMs);
    if (!facts.withinShare && waitMs > static_cast<double>(facts.targetLatencyMs)) {
        decision.verdict = SubmissionVerdict::BeyondShare;
        decision.retryAfterMs = retryAfterMs(static_cast<double>(facts.msUntilWithinShare),
                                             facts.callerSpread, options);
        return decision;
    }
    const double runMs =
            std::max(static_cast<double>(facts.jobPathMs), workTimeMs(facts.jobCoreMs, milli));
    const double usefulMs = static_cast<double>(facts.usefulUntil - facts.now);
    const double excessMs = waitMs / options.errorMargin + runMs - usefulMs;
    // A job that would be too late without any wait would be so at each later time too.
    if (runMs <= usefulMs && excessMs > 0 && !facts.load.onTimeWaitMs) {
        decision.verdict = SubmissionVerdict::TooLate;
        decision.retryAfterMs =
                retryAfterMs(excessMs * options.errorMargin, facts.callerSpread, options);
    }
    return decision;
}

} // namespace dandelionloom
