#pragma once

#include <cstdint>
#include <optional>

#include "Model/EnumNames.h"
#include "Model/Time.h"

namespace dandelionloom {

/// Load of the service that would run a job.
struct ServiceLoad
{
    /// Core-milliseconds of unfinished work of the waiting jobs that are placed before the job.
    double aheadCoreMs = 0;
    /// Thousandths of a core for tasks that end by themselves: on the workers of the pool, and on
    /// the instances that can still move into it.
    std::int64_t capacityMilli = 0;
    std::int64_t reachableMilli = 0;
    /// Wait after which the job starts while it can still meet its objective, as it overtakes the
    /// work ahead that turns late before it can start; none if the job turns late itself.
    std::optional<double> onTimeWaitMs;
};

/// Inputs of the decision on a job that ends by itself and starts at once.
struct SubmissionFacts
{
    WallTimeMs now = 0;
    /// Core-milliseconds of the job, and the length of its critical path.
    double jobCoreMs = 0;
    std::int64_t jobPathMs = 0;
    /// Time by which its completion is still of use, see usefulDeadline().
    WallTimeMs usefulUntil = 0;
    bool withinShare = true;
    /// Time after which the team is within its share again.
    std::int64_t msUntilWithinShare = 0;
    /// Wait from which on jobs within their team's share are served late.
    std::int64_t targetLatencyMs = 0;
    /// Position of the caller among the refused ones, from 0 to 1. Callers that differ in it return
    /// at different times.
    double callerSpread = 0;
    ServiceLoad load;
};

struct SubmissionOptions
{
    /// Factor on the predicted wait: a job is refused only if the wait is too long even if it turns
    /// out shorter by this factor.
    double errorMargin = 1.5;
    /// Bounds of the delay that is suggested to refused callers.
    std::int64_t minRetryAfterMs = 1000;
    std::int64_t maxRetryAfterMs = 15000;
};

enum class SubmissionVerdict {
    Accepted,
    /// The job would end too late to be of use.
    TooLate,
    /// The team is beyond its share, and the jobs of teams within theirs would wait.
    BeyondShare
};
inline constexpr EnumNames<SubmissionVerdict, 3> submissionVerdictNames{
        {"accepted", "too-late", "beyond-share"}};

struct SubmissionDecision
{
    SubmissionVerdict verdict = SubmissionVerdict::Accepted;
    std::int64_t predictedWaitMs = 0;
    /// Refused: when capacity is expected for the caller.
    std::int64_t retryAfterMs = 0;
};

/// Decides whether a job is accepted, or refused at once because its result would come too late.
/// Answers a load in which more arrives than the fleet can serve.
SubmissionDecision decideSubmission(const SubmissionFacts &facts, const SubmissionOptions &options);

} // namespace dandelionloom
