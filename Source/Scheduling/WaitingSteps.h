#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "Scheduling/StepRanking.h"

namespace dandelionloom {

struct StepKey
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    bool operator<(const StepKey &other) const
    {
        if (job != other.job) {
            return job < other.job;
        }
        return std::tie(occurrence, step) < std::tie(other.occurrence, other.step);
    }
};

/// Position of a step in the placement order.
struct StepPosition
{
    StepRank rank;
    StepKey key;
    bool operator<(const StepPosition &other) const
    {
        return std::tie(rank, key) < std::tie(other.rank, other.key);
    }
};

/// A step with tasks that wait for a worker.
struct WaitingStep
{
    StepKey key;
    StepAttributes attributes;
    /// Indices of the waiting tasks.
    std::vector<std::uint32_t> indices;
};

/// The steps that wait for capacity, in placement order. The cost of a change depends on the steps
/// of one job only: a backlog of some thousand steps is searched a hundred times a second.
class WaitingSteps
{
public:
    using Order = std::set<StepPosition>;

    /// Replaces the waiting steps of a job of the service. All keys must be of the job.
    void replace(const JobId &job, const std::string &service, std::vector<WaitingStep> steps,
                 WallTimeMs now);
    void remove(const JobId &job);
    void clear();
    /// Moves the steps whose rank changes with time.
    void advance(WallTimeMs now);
    /// Waiting steps by service. No service is without any.
    const std::map<std::string, Order> &byService() const { return m_byService; }
    const WaitingStep &at(const StepKey &key) const { return m_steps.at(key).step; }

private:
    struct Entry
    {
        WaitingStep step;
        std::string service;
        StepRank rank;
        /// Time of the entry in m_rankChanges; 0 for none.
        WallTimeMs changesAt = 0;
    };
    void insertInOrder(const StepKey &key, Entry &entry, WallTimeMs now);
    void removeFromOrder(const StepKey &key, const Entry &entry);

    std::map<StepKey, Entry> m_steps;
    std::map<std::string, Order> m_byService;
    /// Steps by the time at which their rank changes.
    std::set<std::pair<WallTimeMs, StepKey>> m_rankChanges;
};

} // namespace dandelionloom
