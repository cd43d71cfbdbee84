#pragma once

#include <map>
#include <string>

#include "Scheduling/TeamQuota.h"
#include "Scheduling/WaitingSteps.h"

namespace dandelionloom {

/// The quota of a team that gets free is kept for the first step of a lane.
struct QuotaReservation
{
    std::string service;
    LaneKey lane;
    QuotaHold hold;
    /// The quota allowed the step when the placement pass began, and has not held it since.
    bool isAvailable = false;
};

/// Reservations by team. A team has one at a time, so that two large steps don't wait for each
/// other.
using QuotaReservations = std::map<std::string, QuotaReservation>;

/// True if a step at this rank of the lane would take quota that is reserved for another lane.
/// Steps pass the reservation if their priority is better, or if they are long-running, or if the
/// reservation is for a best-effort or overdue step and they are neither.
bool isReservedFrom(const QuotaReservations &reservations, const StepLane &lane,
                    const StepRank &rank, const TaskResources &maxRunning);

/// Reserves the quota for a lane that it holds, unless a lane that was held earlier has it. Returns
/// true if the lane had no reservation before.
bool reserveQuota(QuotaReservations &reservations, const StepLane &lane);

/// Ends the reservation of the lane, if it has one.
void releaseQuota(QuotaReservations &reservations, const StepLane &lane);

} // namespace dandelionloom
