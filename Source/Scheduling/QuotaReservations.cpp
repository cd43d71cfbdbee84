#include "Scheduling/QuotaReservations.h"

#include <algorithm>
#include <tuple>

namespace dandelionloom {

namespace {

/// Bounds the share of the time in which a lane that can't start keeps quota from its team.
constexpr std::uint32_t maxPassedDoublings = 5;

bool isFor(const std::optional<QuotaReservation> &reservation, const StepLane &lane)
{
    return reservation && reservation->service == lane.service && reservation->lane == lane.key;
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

bool hasReservation(const QuotaReservations &reservations, const StepLane &lane)
{
    const auto found = reservations.find(lane.key.team);
    return found != reservations.end() && isFor(found->second.current, lane);
}

bool isReservedFrom(const QuotaReservations &reservations, const StepLane &lane,
                    const StepRank &rank, const TaskResources &maxRunning)
{
    const auto found = reservations.find(lane.key.team);
    if (found == reservations.end() || !found->second.current
        || isFor(found->second.current, lane)) {
        return false;
    }
    const QuotaReservation &reservation = *found->second.current;
    const QuotaWait wait{reservation.lane.need, reservation.lane.count, 0};
    return !isPlacedBefore(rank, reservation.rank)
            && delaysQuotaWait(lane.key.need, wait, maxRunning);
}

std::int64_t passedMs(const QuotaReservations &reservations, const StepLane &lane, SteadyTimeMs now)
{
    if (!lane.hold) {
        return 0;
    }
    const auto found = reservations.find(lane.key.team);
    const SteadyTimeMs unusedAt = found == reservations.end() ? 0 : found->second.unusedAt;
    return now - std::max(lane.hold->since, unusedAt);
}

std::int64_t maxPassedMs(const StepLane &lane, std::int64_t firstMs)
{
    return firstMs * (std::int64_t{1} << std::min(lane.unusedReservations, maxPassedDoublings));
}

bool reserveQuota(QuotaReservations &reservations, const StepLane &lane, SteadyTimeMs now)
{
    std::optional<QuotaReservation> &current = reservations[lane.key.team].current;
    const StepRank rank = std::min(lane.steps.begin()->rank, lane.hold->first.rank);
    if (isFor(current, lane)) {
        current->rank = rank;
        return false;
    }
    if (current && current->heldSince <= lane.hold->since) {
        return false;
    }
    current = QuotaReservation{lane.service, lane.key, rank, lane.hold->since, now};
    return true;
}

void releaseQuota(QuotaReservations &reservations, const std::string &team)
{
    const auto found = reservations.find(team);
    if (found != reservations.end()) {
        found->second.current.reset();
    }
}

void giveUpQuota(QuotaReservations &reservations, const std::string &team, SteadyTimeMs now)
{
    reservations[team] = {std::nullopt, now};
}

} // namespace dandelionloom
