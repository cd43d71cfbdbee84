#include "Scheduling/SubmissionReview.h"

#include "Scheduling/StepFacts.h"

namespace dandelionloom {

namespace {

/// Number of different delays that callers of one refusal get, by a hash of their job's id.
constexpr std::uint64_t spreadSteps = 1024;

double callerSpreadOf(const std::string &job)
{
    return static_cast<double>(JobId(job).hash() % spreadSteps) / static_cast<double>(spreadSteps);
}

bool isReviewed(const JobSpec &spec)
{
    const bool startsLater = spec.repeatCount > 0 || spec.startAtMs > 0;
    return !startsLater && !isLongRunning(spec) && !isBestEffort(spec);
}

} // namespace

bool liesBeyondShare(const JobSpec &spec, const TeamConfig *team, const ShareMeter &shares,
                     SteadyTimeMs now)
{
    return team != nullptr && !isLongRunning(spec)
            && !shares.isWithinShare(team->name, team->weight, now);
}

void recordInShare(const JobSpec &spec, const TeamConfig *team, ShareMeter &shares,
                   SteadyTimeMs now)
{
    if (team != nullptr && !isLongRunning(spec) && !spec.beyondShare) {
        shares.record(team->name, now);
    }
}

SubmissionReview reviewSubmission(const JobRecord &job, const TeamConfig *team,
                                  const SubmissionSources &sources,
                                  const SubmissionOptions &options, SteadyTimeMs now)
{
    if (!isReviewed(job.spec)) {
        return {};
    }
    const SubmittedJob submitted =
            submittedJob(job, sources.durations.expectedStepMs(job.spec), job.acceptedAtMs);
    const bool withinShare = !job.spec.beyondShare;
    const std::optional<ServiceLoad> load =
            sources.loads.loadOf(job.queue.service, submitted, withinShare, now);
    if (!load) {
        return {};
    }
    SubmissionFacts facts;
    facts.now = job.acceptedAtMs;
    facts.jobCoreMs = submitted.coreMs;
    facts.jobPathMs = submitted.pathMs;
    facts.usefulUntil = submitted.usefulUntil;
    facts.withinShare = withinShare;
    facts.msUntilWithinShare =
            team == nullptr ? 0 : sources.shares.msUntilWithinShare(team->name, team->weight, now);
    facts.targetLatencyMs = job.queue.targetLatencyMs;
    facts.callerSpread = callerSpreadOf(job.spec.id);
    facts.load = *load;
    const SubmissionDecision decision = decideSubmission(facts, options);
    if (withinShare && decision.verdict == SubmissionVerdict::Accepted) {
        sources.loads.accepted(job.queue.service, submitted, now);
    }
    return {decision, load};
}

} // namespace dandelionloom
