#include "Decisions/WorkerCapacityIndex.h"

#include <algorithm>
#include <tuple>

namespace dandelionloom::detail {

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool isPreemptible(const PlacedJob &placed)
{
    return placed.job->state == JobState::Running && placed.job->checkpointable
            && placed.job->urgency != Urgency::Urgent && !placed.decided;
}

} // namespace

Resources WorkerAllocation::allocatable(double headroom) const
{
    return {worker->capacity.processors * (1 - headroom),
            worker->capacity.memoryBytes * (1 - headroom), worker->capacity.accelerators};
}

WorkerCapacityIndex::WorkerCapacityIndex(const PlacementFacts &facts,
                                         const std::set<std::string> &quarantined,
                                         const PlacementLimits &limits, SteadyTimeMs nowMs)
    : m_limits(limits)
{
    m_allocations.reserve(facts.workers.size());
    for (const WorkerFacts &worker : facts.workers) {
        m_positionById.emplace(worker.id, m_allocations.size());
        WorkerAllocation allocation;
        allocation.worker = &worker;
        allocation.schedulable = worker.inService && !quarantined.contains(worker.id);
        m_allocations.push_back(std::move(allocation));
    }
    for (const JobFacts &job : facts.jobs) {
        const auto found = m_positionById.find(job.worker);
        if (job.state == JobState::Waiting || found == m_positionById.end()) {
            continue;
        }
        WorkerAllocation &allocation = m_allocations[found->second];
        const PlacedJob placed{&job, estimateUsage(job, facts.profiles, limits.use, nowMs)};
        allocation.used = allocation.used + placed.estimate.use;
        ++allocation.slotsUsed;
        if (job.state != JobState::Running) {
            allocation.ending = allocation.ending + placed.estimate.use;
            ++allocation.slotsEnding;
        } else if (isPreemptible(placed)) {
            allocation.reclaimable = allocation.reclaimable + placed.estimate.use;
            ++allocation.slotsReclaimable;
        }
        allocation.jobs.push_back(placed);
    }
    for (std::size_t position = 0; position < m_allocations.size(); ++position) {
        const WorkerAllocation &allocation = m_allocations[position];
        Pool &pool = m_pools[allocation.worker->pool];
        if (allocation.worker->inService) {
            pool.processors += allocation.worker->capacity.processors;
        }
        const Resources size = allocation.allocatable(limits.headroom);
        if (std::find(pool.sizes.begin(), pool.sizes.end(), size) == pool.sizes.end()) {
            pool.sizes.push_back(size);
        }
        index(position);
    }
}

double WorkerCapacityIndex::poolProcessors(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.processors;
}

std::optional<Resources> WorkerCapacityIndex::largestWorkerFor(const std::string &pool,
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

Resources WorkerCapacityIndex::freeCapacity(const WorkerAllocation &allocation) const
{
    return allocation.allocatable(m_limits.headroom) - allocation.used;
}

bool WorkerCapacityIndex::hasCapacity(const WorkerAllocation &allocation, const Resources &need,
                                      bool countEnding, bool countReclaimable) const
{
    Resources free = freeCapacity(allocation);
    std::uint32_t slotsUsed = allocation.slotsUsed;
    if (countEnding) {
        free = free + allocation.ending;
        slotsUsed -= std::min(slotsUsed, allocation.slotsEnding);
    }
    if (countReclaimable) {
        free = free + allocation.reclaimable;
        slotsUsed -= std::min(slotsUsed, allocation.slotsReclaimable);
    }
    return slotsUsed < allocation.worker->slots && fits(need, free);
}

void WorkerCapacityIndex::index(std::size_t position)
{
    const WorkerAllocation &allocation = m_allocations[position];
    if (!allocation.schedulable) {
        return;
    }
    Pool &pool = m_pools[allocation.worker->pool];
    const Resources free = freeCapacity(allocation);
    if (allocation.slotsUsed < allocation.worker->slots) {
        pool.byProcessors.emplace(free.processors, position);
        if (free.accelerators > 0) {
            pool.byAccelerators.emplace(free.accelerators, position);
        }
    }
    const double reclaimable =
            free.processors + allocation.ending.processors + allocation.reclaimable.processors;
    pool.byReclaimable.emplace(reclaimable, position);
    if (allocation.slotsEnding > 0) {
        pool.ending.insert(position);
    }
}

void WorkerCapacityIndex::unindex(std::size_t position)
{
    const WorkerAllocation &allocation = m_allocations[position];
    Pool &pool = m_pools[allocation.worker->pool];
    const Resources free = freeCapacity(allocation);
    pool.byProcessors.erase({free.processors, position});
    pool.byAccelerators.erase({free.accelerators, position});
    pool.byReclaimable.erase(
            {free.processors + allocation.ending.processors + allocation.reclaimable.processors,
             position});
    pool.ending.erase(position);
}

std::optional<std::size_t> WorkerCapacityIndex::findAvailable(const JobFacts &job,
                                                              const Resources &need) const
{
    const auto found = m_pools.find(job.pool);
    if (found == m_pools.end()) {
        return std::nullopt;
    }
    const Pool &pool = found->second;
    std::set<std::string_view> failedRacks;
    for (const std::string &worker : job.failedOn) {
        const auto failed = m_positionById.find(worker);
        if (failed != m_positionById.end()) {
            failedRacks.insert(m_allocations[failed->second].worker->rack);
        }
    }
    std::optional<std::size_t> best;
    std::tuple<bool, bool, std::uint32_t> bestRank;
    const auto consider = [&](std::size_t position, std::uint32_t order) {
        const WorkerAllocation &allocation = m_allocations[position];
        if (!hasCapacity(allocation, need, false, false)) {
            return false;
        }
        const std::tuple rank{contains(job.failedOn, allocation.worker->id),
                              failedRacks.contains(allocation.worker->rack), order};
        if (!best || rank < bestRank) {
            best = position;
            bestRank = rank;
        }
        return !std::get<0>(rank) && !std::get<1>(rank);
    };
    std::uint32_t order = 0;
    if (need.accelerators > 0) {
        for (auto next = pool.byAccelerators.lower_bound({need.accelerators, 0});
             next != pool.byAccelerators.end() && order < 2 * m_limits.maxCandidates; ++next) {
            if (consider(next->second, order++)) {
                return best;
            }
        }
        return best;
    }
    for (auto next = pool.byProcessors.lower_bound({need.processors, 0});
         next != pool.byProcessors.end() && order < m_limits.maxCandidates; ++next) {
        if (consider(next->second, order++)) {
            return best;
        }
    }
    for (auto next = pool.byProcessors.rbegin();
         next != pool.byProcessors.rend() && order < 2 * m_limits.maxCandidates; ++next) {
        if (consider(next->second, order++)) {
            return best;
        }
    }
    return best;
}

std::optional<std::size_t> WorkerCapacityIndex::findEnding(const JobFacts &job,
                                                           const Resources &need) const
{
    const auto found = m_pools.find(job.pool);
    if (found == m_pools.end()) {
        return std::nullopt;
    }
    std::uint32_t tried = 0;
    for (const std::size_t position : found->second.ending) {
        if (tried++ >= 2 * m_limits.maxCandidates) {
            break;
        }
        if (hasCapacity(m_allocations[position], need, true, false)) {
            return position;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> WorkerCapacityIndex::findReclaimable(const JobFacts &job,
                                                                const Resources &need) const
{
    const auto found = m_pools.find(job.pool);
    if (found == m_pools.end()) {
        return std::nullopt;
    }
    const auto &candidates = found->second.byReclaimable;
    std::uint32_t tried = 0;
    for (auto next = candidates.rbegin();
         next != candidates.rend() && tried < 2 * m_limits.maxCandidates; ++next, ++tried) {
        const WorkerAllocation &allocation = m_allocations[next->second];
        const bool anyPreemptible =
                std::any_of(allocation.jobs.begin(), allocation.jobs.end(), isPreemptible);
        if (anyPreemptible && hasCapacity(allocation, need, true, true)) {
            return next->second;
        }
    }
    return std::nullopt;
}

void WorkerCapacityIndex::allocate(std::size_t position, const Resources &need)
{
    unindex(position);
    WorkerAllocation &allocation = m_allocations[position];
    allocation.used = allocation.used + need;
    ++allocation.slotsUsed;
    index(position);
}

void WorkerCapacityIndex::end(std::size_t position, PlacedJob &placed)
{
    unindex(position);
    WorkerAllocation &allocation = m_allocations[position];
    if (isPreemptible(placed)) {
        allocation.reclaimable = allocation.reclaimable - placed.estimate.use;
        --allocation.slotsReclaimable;
    }
    placed.decided = true;
    allocation.ending = allocation.ending + placed.estimate.use;
    ++allocation.slotsEnding;
    index(position);
}

} // namespace dandelionloom::detail
