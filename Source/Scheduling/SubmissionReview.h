#pragma once

#include <optional>

#include "Scheduling/RunDurations.h"
#include "Scheduling/ServiceLoads.h"
#include "Scheduling/ShareMeter.h"
#include "Scheduling/SubmissionForecast.h"

namespace dandelionloom {

/// What the leader knows when a job is submitted.
struct SubmissionSources
{
    const ShareMeter &shares;
    const RunDurations &durations;
    /// Not const, as outdated loads are summed up again and accepted jobs are added.
    ServiceLoads &loads;
};

struct SubmissionReview
{
    SubmissionDecision decision;
    /// Load of the job's service on which the decision is based; none if it needed none.
    std::optional<ServiceLoad> load;
};

/// True if the job lies beyond its team's share. `team` is null for a job without a team.
bool liesBeyondShare(const JobSpec &spec, const TeamConfig *team, const ShareMeter &shares,
                     SteadyTimeMs now);

/// Records an accepted job in the share of its team, if it counts towards it.
void recordInShare(const JobSpec &spec, const TeamConfig *team, ShareMeter &shares,
                   SteadyTimeMs now);

/// Decides whether the job is accepted. Of the record, the specification with
/// JobSpec::beyondShare, the queue and the time of acceptance are used. Jobs that don't end by
/// themselves, use idle processor time only or start later are always accepted, and so is every
/// job until the instances are listed. An accepted job counts for the reviews that follow.
SubmissionReview reviewSubmission(const JobRecord &job, const TeamConfig *team,
                                  const SubmissionSources &sources,
                                  const SubmissionOptions &options, SteadyTimeMs now);

} // namespace dandelionloom
