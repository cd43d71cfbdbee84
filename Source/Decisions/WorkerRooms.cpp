#include "Decisions/WorkerRooms.h"

#include <algorithm>
#include <tuple>

namespace dandelionloom::detail {

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool mayYield(const PlacedJob &placed)
{
    return placed.job->state == JobState::Running && placed.job->checkpointable
            && placed.job->urgency != Urgency::Urgent && !placed.decided;
}

} // namespace

Resources WorkerRoom::usable(double headroom) const
{
    return {worker->capacity.processors * (1 - headroom),
            worker->capacity.memoryBytes * (1 - headroom), worker->capacity.accelerators};
}

WorkerRooms::WorkerRooms(const PlacementFacts &facts, const std::set<std::string> &quarantined,
                         const PlacementLimits &limits, SteadyTimeMs nowMs)
    : m_limits(limits)
{
    m_rooms.reserve(facts.workers.size());
    for (const WorkerFacts &worker : facts.workers) {
        m_byName.emplace(worker.id, m_rooms.size());
        WorkerRoom room;
        room.worker = &worker;
        room.takesWork = worker.inService && !quarantined.contains(worker.id);
        m_rooms.push_back(std::move(room));
    }
    for (const JobFacts &job : facts.jobs) {
        const auto found = m_byName.find(job.worker);
        if (job.state == JobState::Waiting || found == m_byName.end()) {
            continue;
        }
        WorkerRoom &room = m_rooms[found->second];
        const PlacedJob placed{&job, estimateUse(job, facts.profiles, limits.use, nowMs)};
        room.used = room.used + placed.estimate.use;
        ++room.slotsUsed;
        if (job.state != JobState::Running) {
            room.ending = room.ending + placed.estimate.use;
            ++room.slotsEnding;
        } else if (mayYield(placed)) {
            room.reclaimable = room.reclaimable + placed.estimate.use;
            ++room.slotsReclaimable;
        }
        room.jobs.push_back(placed);
    }
    for (std::size_t position = 0; position < m_rooms.size(); ++position) {
        const WorkerRoom &room = m_rooms[position];
        Pool &pool = m_pools[room.worker->pool];
        if (room.worker->inService) {
            pool.processors += room.worker->capacity.processors;
        }
        const Resources size = room.usable(limits.headroom);
        if (std::find(pool.sizes.begin(), pool.sizes.end(), size) == pool.sizes.end()) {
            pool.sizes.push_back(size);
        }
        index(position);
    }
}

double WorkerRooms::poolProcessors(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.processors;
}

std::optional<Resources> WorkerRooms::largestFor(const std::string &pool,
                                                 const Resources &smallest) const
{
    std::optional<Resources> best;
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return best;
    }
    for (const Resources &size : found->second.sizes) {
        if (fits(smallest, size) && (!best || size.processors > best->processors)) {
            best = size;
        }
    }
    return best;
}

Resources WorkerRooms::freeOf(const WorkerRoom &room) const
{
    return room.usable(m_limits.headroom) - room.used;
}

bool WorkerRooms::hasRoom(const WorkerRoom &room, const Resources &need, bool withEnding,
                          bool withReclaimable) const
{
    Resources free = freeOf(room);
    std::uint32_t slotsUsed = room.slotsUsed;
    if (withEnding) {
        free = free + room.ending;
        slotsUsed -= std::min(slotsUsed, room.slotsEnding);
    }
    if (withReclaimable) {
        free = free + room.reclaimable;
        slotsUsed -= std::min(slotsUsed, room.slotsReclaimable);
    }
    return slotsUsed < room.worker->slots && fits(need, free);
}

void WorkerRooms::index(std::size_t position)
{
    const WorkerRoom &room = m_rooms[position];
    if (!room.takesWork) {
        return;
    }
    Pool &pool = m_pools[room.worker->pool];
    const Resources free = freeOf(room);
    if (room.slotsUsed < room.worker->slots) {
        pool.byProcessors.emplace(free.processors, position);
        if (free.accelerators > 0) {
            pool.byAccelerators.emplace(free.accelerators, position);
        }
    }
    const double reclaimable =
            free.processors + room.ending.processors + room.reclaimable.processors;
    pool.byReclaimable.emplace(reclaimable, position);
    if (room.slotsEnding > 0) {
        pool.ending.insert(position);
    }
}

void WorkerRooms::unindex(std::size_t position)
{
    const WorkerRoom &room = m_rooms[position];
    Pool &pool = m_pools[room.worker->pool];
    const Resources free = freeOf(room);
    pool.byProcessors.erase({free.processors, position});
    pool.byAccelerators.erase({free.accelerators, position});
    pool.byReclaimable.erase(
            {free.processors + room.ending.processors + room.reclaimable.processors, position});
    pool.ending.erase(position);
}

std::optional<std::size_t> WorkerRooms::findRoom(const JobFacts &job, const Resources &need) const
{
    const auto found = m_pools.find(job.pool);
    if (found == m_pools.end()) {
        return std::nullopt;
    }
    const Pool &pool = found->second;
    std::set<std::string_view> failedRacks;
    for (const std::string &worker : job.failedOn) {
        const auto failed = m_byName.find(worker);
        if (failed != m_byName.end()) {
            failedRacks.insert(m_rooms[failed->second].worker->rack);
        }
    }
    std::optional<std::size_t> best;
    std::tuple<bool, bool, std::uint32_t> bestRank;
    const auto consider = [&](std::size_t position, std::uint32_t order) {
        const WorkerRoom &room = m_rooms[position];
        if (!hasRoom(room, need, false, false)) {
            return false;
        }
        const std::tuple rank{contains(job.failedOn, room.worker->id),
                              failedRacks.contains(room.worker->rack), order};
        if (!best || rank < bestRank) {
            best = position;
            bestRank = rank;
        }
        return !std::get<0>(rank) && !std::get<1>(rank);
    };
    std::uint32_t order = 0;
    if (need.accelerators > 0) {
        for (auto next = pool.byAccelerators.lower_bound({need.accelerators, 0});
             next != pool.byAccelerators.end() && order < 2 * m_limits.workersTried; ++next) {
            if (consider(next->second, order++)) {
                return best;
            }
        }
        return best;
    }
    for (auto next = pool.byProcessors.lower_bound({need.processors, 0});
         next != pool.byProcessors.end() && order < m_limits.workersTried; ++next) {
        if (consider(next->second, order++)) {
            return best;
        }
    }
    for (auto next = pool.byProcessors.rbegin();
         next != pool.byProcessors.rend() && order < 2 * m_limits.workersTried; ++next) {
        if (consider(next->second, order++)) {
            return best;
        }
    }
    return best;
}

std::optional<std::size_t> WorkerRooms::findEnding(const JobFacts &job, const Resources &need) const
{
    const auto found = m_pools.find(job.pool);
    if (found == m_pools.end()) {
        return std::nullopt;
    }
    std::uint32_t tried = 0;
    for (const std::size_t position : found->second.ending) {
        if (tried++ >= 2 * m_limits.workersTried) {
            break;
        }
        if (hasRoom(m_rooms[position], need, true, false)) {
            return position;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> WorkerRooms::findReclaimable(const JobFacts &job,
                                                        const Resources &need) const
{
    const auto found = m_pools.find(job.pool);
    if (found == m_pools.end()) {
        return std::nullopt;
    }
    const auto &candidates = found->second.byReclaimable;
    std::uint32_t tried = 0;
    for (auto next = candidates.rbegin();
         next != candidates.rend() && tried < 2 * m_limits.workersTried; ++next, ++tried) {
        const WorkerRoom &room = m_rooms[next->second];
        const bool yields = std::any_of(room.jobs.begin(), room.jobs.end(), mayYield);
        if (yields && hasRoom(room, need, true, true)) {
            return next->second;
        }
    }
    return std::nullopt;
}

void WorkerRooms::take(std::size_t position, const Resources &need)
{
    unindex(position);
    WorkerRoom &room = m_rooms[position];
    room.used = room.used + need;
    ++room.slotsUsed;
    index(position);
}

void WorkerRooms::end(std::size_t position, PlacedJob &placed)
{
    unindex(position);
    WorkerRoom &room = m_rooms[position];
    if (mayYield(placed)) {
        room.reclaimable = room.reclaimable - placed.estimate.use;
        --room.slotsReclaimable;
    }
    placed.decided = true;
    room.ending = room.ending + placed.estimate.use;
    ++room.slotsEnding;
    index(position);
}

} // namespace dandelionloom::detail
