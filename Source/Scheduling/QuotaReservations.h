#pragma once

#include <map>
#include <optional>
#include <string>

#include "Scheduling/TeamQuota.h"
#include "Scheduling/WaitingSteps.h"

namespace dandelionloom {

/// The quota of a team that gets free is kept for the first step of a lane.
struct QuotaReservation
{
    std::string service;
    LaneKey lane;
    /// The better one of the ranks of the lane's first step and of the step that was held first.
    StepRank rank;
    SteadyTimeMs heldSince = 0;
    SteadyTimeMs reservedAt = 0;
};

/// A team has one reservation at a time, so that two large steps don't wait for each other.
struct TeamReservation
{
    std::optional<QuotaReservation> current;
    /// End of the last reservation that placed no task; 0 for none.
    SteadyTimeMs unusedAt = 0;
};

/// Reservations by team.
using QuotaReservations = std::map<std::string, TeamReservation>;

/// True if quota is reserved for the lane.
bool hasReservation(const QuotaReservations &reservations, const StepLane &lane);

/// True if a step at this rank of the lane would take quota that is reserved for another lane.
/// Steps pass the reservation if their priority is better, or if they are long-running, or if the
/// reservation is for a best-effort or overdue step and they are neither.
bool isReservedFrom(const QuotaReservations &reservations, const StepLane &lane,
                    const StepRank &rank, const TaskResources &maxRunning);

/// Time in milliseconds for which other tasks of the team could pass the held lane: since its hold
/// began, and since the team's last reservation that placed no task.
std::int64_t passedMs(const QuotaReservations &reservations, const StepLane &lane,
                      SteadyTimeMs now);

/// Time in milliseconds for which other tasks may pass a lane, `firstMs` at first. It doubles with
/// each reservation in a row that placed no task, up to a limit.
std::int64_t maxPassedMs(const StepLane &lane, std::int64_t firstMs);

/// Reserves the quota for a lane that it holds, unless a lane that was held earlier has it. Returns
/// true if the lane had no reservation before.
bool reserveQuota(QuotaReservations &reservations, const StepLane &lane, SteadyTimeMs now);

/// Ends the reservation of a team after a placement, or when its lane does not need it any more.
void releaseQuota(QuotaReservations &reservations, const std::string &team);

/// Ends the reservation of a team that has placed no task.
void giveUpQuota(QuotaReservations &reservations, const std::string &team, SteadyTimeMs now);

} // namespace dandelionloom
