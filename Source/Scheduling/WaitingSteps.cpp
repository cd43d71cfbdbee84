#include "Scheduling/WaitingSteps.h"

#include <algorithm>

namespace dandelionloom {

std::size_t ServiceSteps::size() const
{
    std::size_t size = 0;
    for (const auto &[key, lane] : lanes) {
        size += lane.steps.size();
    }
    return size;
}

StepCursor::StepCursor(const ServiceSteps &steps) : m_remaining(steps.size())
{
    m_heads.reserve(steps.lanes.size());
    for (const auto &[key, lane] : steps.lanes) {
        m_heads.push_back({lane.steps.begin(), &lane, 0});
    }
    std::make_heap(m_heads.begin(), m_heads.end(), isLater);
}

void StepCursor::next()
{
    std::pop_heap(m_heads.begin(), m_heads.end(), isLater);
    Head &head = m_heads.back();
    ++head.next;
    ++head.visited;
    --m_remaining;
    if (head.next == head.lane->steps.end()) {
        m_heads.pop_back();
    } else {
        std::push_heap(m_heads.begin(), m_heads.end(), isLater);
    }
}

std::size_t StepCursor::leaveOutLane()
{
    std::pop_heap(m_heads.begin(), m_heads.end(), isLater);
    const std::size_t unvisited = m_heads.back().lane->steps.size() - m_heads.back().visited;
    m_heads.pop_back();
    m_remaining -= unvisited;
    return unvisited;
}

void StepCursor::resumeBehind(const StepPosition &position)
{
    std::vector<Head> resumed;
    for (Head head : m_heads) {
        if (!(position < *head.next)) {
            head.next = head.lane->steps.upper_bound(position);
        }
        if (head.next != head.lane->steps.end()) {
            resumed.push_back(head);
        }
    }
    if (!resumed.empty()) {
        m_heads = std::move(resumed);
        std::make_heap(m_heads.begin(), m_heads.end(), isLater);
    }
}

void WaitingSteps::replace(const JobId &job, const std::string &service,
                           std::vector<WaitingStep> steps, WallTimeMs now)
{
    const std::vector<StepLane *> left = removeSteps(job);
    const bool hasQuota = std::any_of(steps.begin(), steps.end(), [](const WaitingStep &step) {
        return !step.lane.team.empty();
    });
    if (!hasQuota) {
        m_reported.erase(job);
    }
    for (WaitingStep &step : steps) {
        const StepKey key = step.key;
        StepLane &lane = laneOf(service, step.lane);
        Entry &entry = m_steps[key];
        entry = {std::move(step), &lane, {}, 0};
        insertInOrder(key, entry, now);
    }
    // Settled last: a lane that gets its step back keeps its hold.
    settleLanes(left);
}

void WaitingSteps::remove(const JobId &job)
{
    m_reported.erase(job);
    settleLanes(removeSteps(job));
}

void WaitingSteps::clear()
{
    m_steps.clear();
    m_byService.clear();
    m_reported.clear();
    m_rankChanges.clear();
}

void WaitingSteps::advance(WallTimeMs now)
{
    while (!m_rankChanges.empty() && m_rankChanges.begin()->first <= now) {
        const StepKey key = m_rankChanges.begin()->second;
        Entry &entry = m_steps.at(key);
        removeFromOrder(key, entry);
        insertInOrder(key, entry, now);
    }
}

const StepLane *WaitingSteps::lane(const std::string &service, const LaneKey &key) const
{
    const auto steps = m_byService.find(service);
    if (steps == m_byService.end()) {
        return nullptr;
    }
    const auto found = steps->second.lanes.find(key);
    return found == steps->second.lanes.end() ? nullptr : &found->second;
}

bool WaitingSteps::contains(const JobId &job) const
{
    const auto first = m_steps.lower_bound({job, 0, 0});
    return first != m_steps.end() && first->first.job == job;
}

std::vector<StepPosition> WaitingSteps::positionsOf(const JobId &job) const
{
    std::vector<StepPosition> positions;
    for (auto found = m_steps.lower_bound({job, 0, 0});
         found != m_steps.end() && found->first.job == job; ++found) {
        positions.push_back({found->second.rank, found->first});
    }
    std::sort(positions.begin(), positions.end());
    return positions;
}

void WaitingSteps::setHold(const StepLane &lane, std::optional<QuotaHold> hold)
{
    laneOf(lane.service, lane.key).hold = hold;
}

void WaitingSteps::setUnusedReservations(const StepLane &lane, std::uint32_t count)
{
    if (lane.unusedReservations != count) {
        laneOf(lane.service, lane.key).unusedReservations = count;
    }
}

std::vector<StepKey> WaitingSteps::takeUnreported(const StepLane &lane, const StepPosition &from)
{
    std::vector<StepKey> taken;
    if (lane.unreported.empty()) {
        return taken;
    }
    StepLane::Order &unreported = laneOf(lane.service, lane.key).unreported;
    const auto first = unreported.lower_bound(from);
    for (auto position = first; position != unreported.end(); ++position) {
        if (m_reported.insert(position->key.job).second) {
            taken.push_back(position->key);
        }
    }
    unreported.erase(first, unreported.end());
    return taken;
}

bool WaitingSteps::takeReport(const StepLane &lane, const StepPosition &position)
{
    return !lane.unreported.empty() && laneOf(lane.service, lane.key).unreported.erase(position) > 0
            && m_reported.insert(position.key.job).second;
}

StepLane &WaitingSteps::laneOf(const std::string &service, const LaneKey &key)
{
    const auto [lane, added] = m_byService[service].lanes.try_emplace(key);
    if (added) {
        lane->second.service = service;
        lane->second.key = key;
    }
    return lane->second;
}

std::vector<StepLane *> WaitingSteps::removeSteps(const JobId &job)
{
    std::vector<StepLane *> lanes;
    for (auto found = m_steps.lower_bound({job, 0, 0});
         found != m_steps.end() && found->first.job == job;) {
        removeFromOrder(found->first, found->second);
        if (std::find(lanes.begin(), lanes.end(), found->second.lane) == lanes.end()) {
            lanes.push_back(found->second.lane);
        }
        found = m_steps.erase(found);
    }
    return lanes;
}

void WaitingSteps::settleLanes(const std::vector<StepLane *> &lanes)
{
    for (StepLane *lane : lanes) {
        if (!lane->steps.empty()) {
            const auto first = lane->hold ? m_steps.find(lane->hold->first.key) : m_steps.end();
            if (first == m_steps.end() || first->second.lane != lane) {
                lane->hold.reset();
            }
            continue;
        }
        const auto service = m_byService.find(lane->service);
        service->second.lanes.erase(service->second.lanes.find(lane->key));
        if (service->second.lanes.empty()) {
            m_byService.erase(service);
        }
    }
}

void WaitingSteps::insertInOrder(const StepKey &key, Entry &entry, WallTimeMs now)
{
    entry.rank = rankStep(entry.step.attributes, now);
    entry.changesAt = nextRankChange(entry.step.attributes, now).value_or(0);
    entry.lane->steps.insert({entry.rank, key});
    if (!entry.lane->key.team.empty() && !m_reported.contains(key.job)) {
        entry.lane->unreported.insert({entry.rank, key});
    }
    if (entry.changesAt != 0) {
        m_rankChanges.insert({entry.changesAt, key});
    }
    if (isOfUse(entry.rank.group) && !entry.step.team.empty()) {
        m_byService[entry.lane->service].ofUseByTeam[entry.step.team].insert({entry.rank, key});
    }
}

void WaitingSteps::removeFromOrder(const StepKey &key, const Entry &entry)
{
    entry.lane->steps.erase({entry.rank, key});
    entry.lane->unreported.erase({entry.rank, key});
    m_rankChanges.erase({entry.changesAt, key});
    if (isOfUse(entry.rank.group) && !entry.step.team.empty()) {
        auto &byTeam = m_byService[entry.lane->service].ofUseByTeam;
        const auto team = byTeam.find(entry.step.team);
        team->second.erase({entry.rank, key});
        if (team->second.empty()) {
            byTeam.erase(team);
        }
    }
}

} // namespace dandelionloom
