#include <algorithm>

#include "Scheduling/Dispatcher.h"
#include "Scheduling/StepFacts.h"

// Quotas of teams in placement: what they hold back, and what is kept for steps that were passed
// for too long.

namespace dandelionloom {

const TaskResources *Dispatcher::quotaOf(const std::string &team) const
{
    const auto found = m_quotas.find(team);
    return found == m_quotas.end() ? nullptr : &found->second;
}

bool Dispatcher::isAllowedByQuota(const StepLane &lane, PlacementPass &pass) const
{
    const auto &[team, need, count] = lane.key;
    const TaskResources *quota = quotaOf(team);
    if (quota == nullptr) {
        return true;
    }
    std::vector<TaskResources> &held = pass.heldNeeds[team];
    if (std::any_of(held.begin(), held.end(), [&lane](const TaskResources &heldNeed) {
            return fits(heldNeed, lane.key.need);
        })) {
        return false;
    }
    const TaskResources use = useOf(team);
    if (!isWithinQuota(use, need, *quota)) {
        held.push_back(need);
        return false;
    }
    return count == 1 || isGangWithinQuota(use, count, need, *quota);
}

bool Dispatcher::isReservedForOther(const StepLane &lane, const StepRank &rank) const
{
    const TaskResources *quota = quotaOf(lane.key.team);
    return quota != nullptr && isReservedFrom(m_reservations, lane, rank, *quota);
}

void Dispatcher::reportQuotaWait(const StepKey &key, std::uint32_t index, PlacementPass &pass)
{
    const std::string task = taskName({key.job, key.occurrence, key.step, index});
    pass.orders.dispatchDecisions.push_back({"wait", task, 0, {}, "quota", -1});
}

void Dispatcher::holdLane(const StepLane &lane, const StepPosition &position, std::uint32_t index,
                          PlacementPass &pass)
{
    if (!lane.hold) {
        m_waiting.setHold(lane, QuotaHold{pass.now, position});
    }
    recordObstacle(position.key, PlacementObstacle::Quota, pass.now);
    for (const StepKey &key : m_waiting.takeUnreported(lane, position)) {
        const bool isFirst = key == position.key;
        reportQuotaWait(key, isFirst ? index : m_waiting.at(key).indices.front(), pass);
    }
    const TaskResources *quota = quotaOf(lane.key.team);
    const StepKey &key = position.key;
    const QuotaWait wait{lane.key.need, lane.key.count, passedMs(m_reservations, lane, pass.now)};
    if (quota != nullptr
        && reservesQuota(wait, m_state.lastingUseOf(lane.key.team), *quota,
                         maxPassedMs(lane, m_options.maxQuotaPassedMs))
        && fitsSomeWorker(lane.service, m_state.job(key.job)->spec.steps[key.step])
        && reserveQuota(m_reservations, lane, pass.now)) {
        const std::string task = taskName({key.job, key.occurrence, key.step, index});
        pass.orders.dispatchDecisions.push_back(
                {"reserve", task, 0, {}, "quota", pass.now - lane.hold->since});
    }
}

bool Dispatcher::fitsSomeWorker(const std::string &service, const StepSpec &step) const
{
    const auto workers = m_workersOfService.find(service);
    return workers != m_workersOfService.end()
            && std::any_of(workers->second.begin(), workers->second.end(),
                           [&step](const Candidate &candidate) {
                               return fits(reservedNeed(step), candidate.worker->capacity)
                                       && hasRequiredLabel(*candidate.worker, step);
                           });
}

void Dispatcher::recordSearch(const StepLane &lane, bool isPlaced, SteadyTimeMs now)
{
    const bool wasReserved = hasReservation(m_reservations, lane);
    if (isPlaced) {
        m_waiting.setUnusedReservations(lane, 0);
        if (wasReserved) {
            releaseQuota(m_reservations, lane.key.team);
        }
    } else if (wasReserved) {
        // It is not the quota that the step waits for.
        m_waiting.setUnusedReservations(lane, lane.unusedReservations + 1);
        giveUpQuota(m_reservations, lane.key.team, now);
    }
}

void Dispatcher::reviewReservations(SteadyTimeMs now)
{
    std::erase_if(m_reservations,
                  [this](const auto &item) { return quotaOf(item.first) == nullptr; });
    for (auto &[team, reservation] : m_reservations) {
        if (!reservation.current) {
            continue;
        }
        const QuotaReservation &current = *reservation.current;
        const LaneKey &key = current.lane;
        const StepLane *lane = m_waiting.lane(current.service, key);
        if (lane == nullptr || !lane->hold
            || !isGangWithinQuota(m_state.lastingUseOf(team), key.count, key.need,
                                  m_quotas.at(team))) {
            releaseQuota(m_reservations, team);
        } else if (now - current.reservedAt >= m_options.maxReservedMs) {
            // The rank of the step that was held first stays.
            m_waiting.setHold(*lane, QuotaHold{now, lane->hold->first});
            m_waiting.setUnusedReservations(*lane, lane->unusedReservations + 1);
            giveUpQuota(m_reservations, team, now);
        }
    }
}

} // namespace dandelionloom
