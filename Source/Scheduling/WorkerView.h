#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Scheduling/DispatchTypes.h"

namespace dandelionloom {

enum class RunState {
    /// Assigned and not sent, or resent because the worker does not have it.
    ToSend,
    Sent,
    /// Sent without an answer, or assigned by an earlier leader.
    Unknown,
    Running
};

/// An assigned run as its leader sees it.
struct RunView
{
    std::uint32_t run = 0;
    RunState state = RunState::ToSend;
    /// Start orders that were given; the run may be at the worker once there was one.
    std::uint32_t sends = 0;
    bool stopping = false;
    SteadyTimeMs nextStopAt = 0;
    SteadyTimeMs nextSendAt = 0;
    /// When the worker confirmed the run; renewals sent before it may not list it yet.
    SteadyTimeMs confirmedAt = 0;
    SteadyTimeMs progressAt = 0;
    std::int64_t percent = -1;
    std::int64_t reading = 0;
    std::int64_t pacePercent = 100;
    /// Consecutive renewals that should have listed the run and did not.
    std::uint32_t missing = 0;
};

/// A worker as the leader sees it. Nothing here outlives a term.
struct WorkerView
{
    /// Workers' clock and when its reading arrived; none before the first answer.
    std::optional<std::int64_t> clockMs;
    SteadyTimeMs clockAt = 0;
    /// Latest lease that this leader asked for, on the worker's clock.
    std::int64_t leaseUntilMs = 0;
    bool renewing = false;
    SteadyTimeMs renewSentAt = 0;
    SteadyTimeMs nextRenewAt = 0;
    /// Last answered renewal of this term; 0 before the first. Until then the worker may still
    /// obey an earlier leader.
    SteadyTimeMs renewedAt = 0;
    std::uint32_t renewFailures = 0;
    /// Orders in a row that got no answer.
    std::uint32_t unansweredOrders = 0;
    std::uint64_t ackCursor = 0;
    /// Highest end number that was proposed to the journal and is not applied yet.
    std::uint64_t proposedEnd = 0;
    std::map<TaskKey, RunView> runs;
    /// Room of proposed and assigned tasks.
    TaskResources used;
    std::map<TaskKey, TaskResources> reserved;
    /// Lasting tasks among them.
    std::uint32_t lastingRuns = 0;
    /// Thousandths of a core that these hold.
    std::int64_t lastingMilli = 0;
    /// One of them is not at work yet.
    bool lastingStarts = false;
    std::uint32_t failuresInRow = 0;
    std::set<std::string> failedJobs;
    SteadyTimeMs avoidUntil = 0;
    /// Set while maintenance or a move is prepared.
    bool cordoned = false;
    /// Its end was ordered: what runs there is counted as away.
    bool leaving = false;
    SteadyTimeMs paceRestoreAt = 0;
    /// All of its leases have surely ended.
    bool lapsed = false;

    /// The least that the worker's clock can show now.
    std::int64_t leastClock(SteadyTimeMs now, double drift) const
    {
        return *clockMs
                + static_cast<std::int64_t>(static_cast<double>(now - clockAt) * (1 - drift));
    }
};

} // namespace dandelionloom
