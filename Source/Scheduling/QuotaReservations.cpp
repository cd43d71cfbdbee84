#include "Scheduling/QuotaReservations.h"

#include <tuple>

namespace dandelionloom {

namespace {

bool isFor(const QuotaReservation &reservation, const StepLane &lane)
{
    return reservation.service == lane.service && reservation.lane == lane.key;
}

/// Late steps and those beyond the share count like those on time, whose stream may never end.
StepGroup groupOf(const StepRank &rank)
{
    const bool isUseful = rank.group == StepGroup::Late || rank.group == StepGroup::BeyondShare;
    return isUseful ? StepGroup::OnTime : rank.group;
}

/// Urgency is left out: new steps with less work than the held one would always come first.
bool isPlacedBefore(const StepRank &rank, const StepRank &held)
{
    const StepGroup group = groupOf(rank);
    const StepGroup heldGroup = groupOf(held);
    return std::tie(group, rank.priority) < std::tie(heldGroup, held.priority);
}

} // namespace

bool isReservedFrom(const QuotaReservations &reservations, const StepLane &lane,
                    const StepRank &rank, const TaskResources &maxRunning)
{
    const auto found = reservations.find(lane.key.team);
    if (found == reservations.end() || isFor(found->second, lane)) {
        return false;
    }
    const QuotaReservation &reservation = found->second;
    const QuotaWait wait{reservation.lane.need, reservation.lane.count, 0};
    return !isPlacedBefore(rank, reservation.hold.rank)
            && delaysQuotaWait(lane.key.need, wait, maxRunning);
}

bool reserveQuota(QuotaReservations &reservations, const StepLane &lane)
{
    const auto [slot, added] = reservations.try_emplace(lane.key.team);
    QuotaReservation &reservation = slot->second;
    const bool isKept = !added && isFor(reservation, lane);
    if (!added && !isKept && reservation.hold.since <= lane.hold->since) {
        return false;
    }
    reservation = {lane.service, lane.key, *lane.hold, false};
    return !isKept;
}

void releaseQuota(QuotaReservations &reservations, const StepLane &lane)
{
    const auto found = reservations.find(lane.key.team);
    if (found != reservations.end() && isFor(found->second, lane)) {
        reservations.erase(found);
    }
}

} // namespace dandelionloom
