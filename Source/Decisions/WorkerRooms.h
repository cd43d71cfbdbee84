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

/// A job on a worker, with what it is expected to use.
struct PlacedJob
{
    const JobFacts *job = nullptr;
    UseEstimate estimate;
    /// Another decision about the job was made in this round.
    bool decided = false;
};

struct WorkerRoom
{
    const WorkerFacts *worker = nullptr;
    std::vector<PlacedJob> jobs;
    Resources used;
    std::uint32_t slotsUsed = 0;
    /// Room that jobs give up which are being stopped or checkpointed.
    Resources ending;
    std::uint32_t slotsEnding = 0;
    /// Room that lower urgencies could give up by a checkpoint.
    Resources reclaimable;
    std::uint32_t slotsReclaimable = 0;
    bool takesWork = false;

    Resources usable(double headroom) const;
};

/// The room on all workers, indexed by pool and size.
class WorkerRooms
{
public:
    WorkerRooms(const PlacementFacts &facts, const std::set<std::string> &quarantined,
                const PlacementLimits &limits, SteadyTimeMs nowMs);

    std::vector<WorkerRoom> &rooms() { return m_rooms; }
    bool hasPool(const std::string &pool) const { return m_pools.contains(pool); }
    double poolProcessors(const std::string &pool) const;
    /// The largest usable room of any empty worker of the pool that holds `smallest`.
    std::optional<Resources> largestFor(const std::string &pool, const Resources &smallest) const;

    /// A worker with room for `need` now, by the tightest fit of those tried. Workers and racks on
    /// which the job failed come last.
    std::optional<std::size_t> findRoom(const JobFacts &job, const Resources &need) const;
    /// A worker that has room once jobs that are ending have ended.
    std::optional<std::size_t> findEnding(const JobFacts &job, const Resources &need) const;
    /// A worker that has room if jobs of lower urgency are checkpointed too.
    std::optional<std::size_t> findReclaimable(const JobFacts &job, const Resources &need) const;

    /// Takes room for a job that starts now or waits for room that is ending.
    void take(std::size_t position, const Resources &need);
    /// Marks a job of the worker as ending.
    void end(std::size_t position, PlacedJob &placed);

private:
    struct Pool
    {
        /// Workers that take work, by free processors and by free accelerators.
        std::set<std::pair<double, std::size_t>> byProcessors;
        std::set<std::pair<std::uint32_t, std::size_t>> byAccelerators;
        std::set<std::pair<double, std::size_t>> byReclaimable;
        std::set<std::size_t> ending;
        /// Distinct sizes of workers.
        std::vector<Resources> sizes;
        double processors = 0;
    };

    Resources freeOf(const WorkerRoom &room) const;
    bool hasRoom(const WorkerRoom &room, const Resources &need, bool withEnding,
                 bool withReclaimable) const;
    void index(std::size_t position);
    void unindex(std::size_t position);

    const PlacementLimits &m_limits;
    std::vector<WorkerRoom> m_rooms;
    std::unordered_map<std::string_view, std::size_t> m_byName;
    std::unordered_map<std::string, Pool> m_pools;
};

} // namespace dandelionloom::detail
