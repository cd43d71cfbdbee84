#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Decisions/Jobs.h"
#include "Decisions/Placement.h"

namespace dandelionloom::detail {

/// A job on a worker and its expected usage.
struct PlacedJob
{
    const JobFacts *job = nullptr;
    UsageEstimate estimate;
    /// A decision about the job was already made in this round.
    bool decided = false;
};

struct WorkerAllocation
{
    const WorkerFacts *worker = nullptr;
    std::vector<PlacedJob> jobs;
    Resources used;
    std::uint32_t slotsUsed = 0;
    /// Capacity held by jobs that are being stopped or checkpointed.
    Resources ending;
    std::uint32_t slotsEnding = 0;
    /// Capacity that can be reclaimed by checkpointing jobs of lower urgency.
    Resources reclaimable;
    std::uint32_t slotsReclaimable = 0;
    bool schedulable = false;

    Resources allocatable(double headroom) const;
};

/// Allocated and free capacity of all workers, indexed by pool and size.
class WorkerCapacityIndex
{
public:
    WorkerCapacityIndex(const PlacementFacts &facts, const std::set<std::string> &quarantined,
                        const PlacementLimits &limits, SteadyTimeMs nowMs);

    std::vector<WorkerAllocation> &allocations() { return m_allocations; }
    bool hasPool(const std::string &pool) const { return m_pools.contains(pool); }
    double poolProcessors(const std::string &pool) const;
    /// The largest allocatable capacity of any worker of the pool that holds `smallest`.
    std::optional<Resources> largestWorkerFor(const std::string &pool,
                                              const Resources &smallest) const;

    /// A worker with free capacity for `need` now, by the tightest fit of those tried. Workers and
    /// racks on which the job failed come last.
    std::optional<std::size_t> findAvailable(const JobFacts &job, const Resources &need) const;
    /// A worker with enough capacity once its ending jobs have ended.
    std::optional<std::size_t> findEnding(const JobFacts &job, const Resources &need) const;
    /// A worker with enough capacity if jobs of lower urgency are checkpointed as well.
    std::optional<std::size_t> findReclaimable(const JobFacts &job, const Resources &need) const;

    /// Allocates capacity for a job that starts now or waits for jobs that are ending.
    void allocate(std::size_t position, const Resources &need);
    /// Marks a job of the worker as ending.
    void end(std::size_t position, PlacedJob &placed);

private:
    struct Pool
    {
        /// Schedulable workers, by free processors and by free accelerators.
        std::set<std::pair<double, std::size_t>> byProcessors;
        std::set<std::pair<std::uint32_t, std::size_t>> byAccelerators;
        std::set<std::pair<double, std::size_t>> byReclaimable;
        std::set<std::size_t> ending;
        /// Distinct allocatable sizes of workers.
        std::vector<Resources> sizes;
        double processors = 0;
    };

    Resources freeCapacity(const WorkerAllocation &allocation) const;
    bool hasCapacity(const WorkerAllocation &allocation, const Resources &need, bool countEnding,
                     bool countReclaimable) const;
    void index(std::size_t position);
    void unindex(std::size_t position);

    const PlacementLimits &m_limits;
    std::vector<WorkerAllocation> m_allocations;
    std::unordered_map<std::string_view, std::size_t> m_positionById;
    std::unordered_map<std::string, Pool> m_pools;
};

} // namespace dandelionloom::detail
