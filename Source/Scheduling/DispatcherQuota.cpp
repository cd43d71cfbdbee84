#include <algorithm>

#include "Scheduling/Dispatcher.h"

// Quotas of teams in placement: what they hold back, and what is kept for steps that were passed
// for too long.

namespace dandelionloom {

bool Dispatcher::isAllowedByQuota(const StepLane &lane, PlacementPass &pass) const
{
    const auto &[team, need, count] = lane.key;
    if (team.empty()) {
        return true;
    }
    const TaskResources &quota = m_quotas.at(team);
    std::vector<TaskResources> &held = pass.heldNeeds[team];
    if (std::any_of(held.begin(), held.end(), [&lane](const TaskResources &heldNeed) {
            return fits(heldNeed, lane.key.need);
        })) {
        return false;
    }
    const TaskResources use = useOf(team);
    if (!isWithinQuota(use, need, quota)) {
        held.push_back(need);
        return false;
    }
    return count == 1 || isGangWithinQuota(use, count, need, quota);
}

bool Dispatcher::mayTakeQuota(const StepLane &lane, const StepRank &rank, PlacementPass &pass)
{
    if (lane.key.team.empty()) {
        return true;
    }
    if (isReservedFrom(m_reservations, lane, rank, m_quotas.at(lane.key.team))
        || !isAllowedByQuota(lane, pass)) {
        return false;
    }
    if (lane.hold) {
        m_waiting.setHold(lane, std::nullopt);
        releaseQuota(m_reservations, lane);
    }
    return true;
}

void Dispatcher::holdLane(const StepLane &lane, const StepPosition &position, std::uint32_t index,
                          PlacementPass &pass)
{
    if (!lane.hold || position.rank < lane.hold->rank) {
        const SteadyTimeMs since = lane.hold ? lane.hold->since : pass.now;
        m_waiting.setHold(lane, QuotaHold{since, position.rank});
    }
    const auto taskOf = [](const StepKey &key, std::uint32_t taskIndex) {
        return taskName({key.job, key.occurrence, key.step, taskIndex});
    };
    for (const StepKey &key : m_waiting.takeUnreported(lane, position)) {
        const std::uint32_t first = key == position.key ? index : m_waiting.at(key).indices.front();
        pass.orders.dispatchDecisions.push_back({"wait", taskOf(key, first), 0, {}, "quota", -1});
    }
    const std::string &team = lane.key.team;
    const QuotaWait wait{lane.key.need, lane.key.count, pass.now - lane.hold->since};
    if (reservesQuota(wait, m_state.lastingUseOf(team), m_quotas.at(team),
                      m_options.maxQuotaPassedMs)
        && reserveQuota(m_reservations, lane)) {
        pass.orders.dispatchDecisions.push_back(
                {"reserve", taskOf(position.key, index), 0, {}, "quota", wait.heldMs});
    }
}

void Dispatcher::reviewReservations(SteadyTimeMs now)
{
    for (auto item = m_reservations.begin(); item != m_reservations.end();) {
        auto &[team, reservation] = *item;
        const LaneKey &key = reservation.lane;
        const StepLane *lane = m_waiting.lane(reservation.service, key);
        if (lane == nullptr || !lane->hold) {
            item = m_reservations.erase(item);
            continue;
        }
        const TaskResources &quota = m_quotas.at(team);
        const QuotaWait wait{key.need, key.count, now - lane->hold->since};
        if (!reservesQuota(wait, m_state.lastingUseOf(team), quota, m_options.maxQuotaPassedMs)) {
            item = m_reservations.erase(item);
            continue;
        }
        reservation.isAvailable = isGangWithinQuota(useOf(team), key.count, key.need, quota);
        ++item;
    }
}

void Dispatcher::dropUnusedReservations()
{
    std::erase_if(m_reservations, [&](const auto &item) {
        const QuotaReservation &reservation = item.second;
        if (!reservation.isAvailable) {
            return false;
        }
        // No worker was searched for the step, so that it is not the quota that it waits for.
        if (const StepLane *lane = m_waiting.lane(reservation.service, reservation.lane)) {
            m_waiting.setHold(*lane, std::nullopt);
        }
        return true;
    });
}

} // namespace dandelionloom
