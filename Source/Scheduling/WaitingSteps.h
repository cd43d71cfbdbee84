#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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
    bool operator==(const StepKey &) const = default;
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

/// What decides whether a quota holds a step back: it holds all steps of a key, or none.
struct LaneKey
{
    /// Empty for steps without a quota, whose other members have their defaults.
    std::string team;
    /// Resources of one task.
    TaskResources need;
    /// Number of tasks that start together: all of a gang, otherwise 1.
    std::uint32_t count = 1;

    bool operator==(const LaneKey &) const = default;
    bool operator<(const LaneKey &other) const
    {
        return std::tie(team, need.processorMilli, need.memoryMb, need.accelerators, count)
                < std::tie(other.team, other.need.processorMilli, other.need.memoryMb,
                           other.need.accelerators, other.count);
    }
};

/// A step with tasks that wait for a worker.
struct WaitingStep
{
    StepKey key;
    StepAttributes attributes;
    /// Indices of the waiting tasks.
    std::vector<std::uint32_t> indices;
    LaneKey lane = {};
    /// Team of the job if it has a weight; otherwise empty.
    std::string team = {};
};

/// How long a quota has held a lane.
struct QuotaHold
{
    /// Time at which it began, or at which the last reservation for the lane was given up. Since
    /// then the quota has allowed no step of the lane.
    SteadyTimeMs since = 0;
    /// Step with which it began, at its rank of that time: ranks get worse while steps are held.
    /// The hold ends when the step leaves the lane.
    StepPosition first;
};

/// Steps of a service that their team's quota holds back all or none. Steps without a quota share
/// one lane.
struct StepLane
{
    using Order = std::set<StepPosition>;

    std::string service;
    LaneKey key;
    /// In placement order; not empty.
    Order steps;
    /// Steps whose jobs have not been reported as waiting for the quota. Empty without a quota.
    Order unreported;
    /// Set while the quota holds the lane, as of the last placement pass that has reached it.
    std::optional<QuotaHold> hold;
    /// Reservations of quota in a row that placed no task of the lane.
    std::uint32_t unusedReservations = 0;
};

/// Waiting steps of a service.
struct ServiceSteps
{
    std::map<LaneKey, StepLane> lanes;
    /// Steps of teams with a weight that are on time or late, by team, in placement order. No team
    /// is without any.
    std::map<std::string, StepLane::Order> ofUseByTeam;

    std::size_t size() const;
};

/// Visits the steps of a service in placement order, without those of lanes that are left out. The
/// steps must not change meanwhile.
class StepCursor
{
public:
    explicit StepCursor(const ServiceSteps &steps);

    bool isAtEnd() const { return m_heads.empty(); }
    // Must not be called at the end.
    const StepPosition &position() const { return *m_heads.front().next; }
    const StepLane &lane() const { return *m_heads.front().lane; }
    void next();
    /// Leaves out the current step and the rest of its lane. Returns the number of steps of the
    /// lane that were not visited, with the current one and those that were passed over.
    std::size_t leaveOutLane();
    /// Goes on with the first step behind the position. Stays if that is no step ahead.
    void resumeBehind(const StepPosition &position);
    /// Number of steps that were neither visited nor left out.
    std::size_t remaining() const { return m_remaining; }

private:
    struct Head
    {
        StepLane::Order::const_iterator next;
        const StepLane *lane = nullptr;
        std::size_t visited = 0;
    };
    static bool isLater(const Head &left, const Head &right) { return *right.next < *left.next; }

    /// A heap with the first step at the front.
    std::vector<Head> m_heads;
    std::size_t m_remaining = 0;
};

/// The steps that wait for capacity, in placement order. The cost of a change depends on the steps
/// of one job only: a backlog of some thousand steps is searched a hundred times a second.
class WaitingSteps
{
public:
    WaitingSteps() = default;
    WaitingSteps(const WaitingSteps &) = delete;
    WaitingSteps &operator=(const WaitingSteps &) = delete;

    /// Replaces the waiting steps of a job of the service. All keys must be of the job.
    void replace(const JobId &job, const std::string &service, std::vector<WaitingStep> steps,
                 WallTimeMs now);
    void remove(const JobId &job);
    void clear();
    /// Moves the steps whose rank changes with time.
    void advance(WallTimeMs now);
    /// Waiting steps by service. No service is without any.
    const std::map<std::string, ServiceSteps> &byService() const { return m_byService; }
    const WaitingStep &at(const StepKey &key) const { return m_steps.at(key).step; }
    bool contains(const StepKey &key) const { return m_steps.contains(key); }
    // The step must wait.
    StepPosition positionOf(const StepKey &key) const { return {m_steps.at(key).rank, key}; }
    const StepLane &laneOf(const StepKey &key) const { return *m_steps.at(key).lane; }
    /// Null if no step of the lane waits.
    const StepLane *lane(const std::string &service, const LaneKey &key) const;
    /// True if a step of the job waits.
    bool contains(const JobId &job) const;
    /// Waiting steps of the job, in placement order.
    std::vector<StepPosition> positionsOf(const JobId &job) const;
    void setHold(const StepLane &lane, std::optional<QuotaHold> hold);
    void setUnusedReservations(const StepLane &lane, std::uint32_t count);
    /// Returns a step of each job that waits in the lane from the position on and has not been
    /// reported, in placement order. The jobs count as reported until none of their steps waits in
    /// a lane with a quota.
    std::vector<StepKey> takeUnreported(const StepLane &lane, const StepPosition &from);
    /// The same for one step: true if its job has not been reported before.
    bool takeReport(const StepLane &lane, const StepPosition &position);

private:
    struct Entry
    {
        WaitingStep step;
        StepLane *lane = nullptr;
        StepRank rank;
        /// Time of the entry in m_rankChanges; 0 for none.
        WallTimeMs changesAt = 0;
    };
    StepLane &laneOf(const std::string &service, const LaneKey &key);
    /// Removes the steps of a job and returns their lanes, which may be empty now.
    std::vector<StepLane *> removeSteps(const JobId &job);
    /// Erases lanes without steps, and ends holds whose first step has left the lane.
    void settleLanes(const std::vector<StepLane *> &lanes);
    void insertInOrder(const StepKey &key, Entry &entry, WallTimeMs now);
    void removeFromOrder(const StepKey &key, const Entry &entry);

    std::map<StepKey, Entry> m_steps;
    std::map<std::string, ServiceSteps> m_byService;
    /// Jobs that were reported as waiting for their team's quota.
    std::set<JobId> m_reported;
    /// Steps by the time at which their rank changes.
    std::set<std::pair<WallTimeMs, StepKey>> m_rankChanges;
};

} // namespace dandelionloom
