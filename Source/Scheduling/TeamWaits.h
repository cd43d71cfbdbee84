#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Model/Time.h"
#include "Scheduling/WaitingSteps.h"

namespace dandelionloom {

struct TeamWaitOptions
{
    /// Time for which the steps of other teams may pass all waiting ones of a team. Within a group
    /// the least work goes first, as this makes the fewest jobs late. An interactive job can start
    /// 1 s after its submission and still meet its objective.
    std::int64_t maxPassedMs = 750;
    /// Time after its last placement for which a team counts among those that share the capacity.
    std::int64_t servedWindowMs = 5000;
    /// Interval of the reviews. Each visits all teams with waiting steps.
    std::int64_t reviewIntervalMs = 100;
};

/// What decides whether a team's first step is placed ahead of those of other teams.
struct TeamWaitFacts
{
    /// Time since the team's last placement, or since it has had waiting steps.
    std::int64_t waitedMs = 0;
    /// Core-milliseconds of unfinished work of the job of its first step.
    double coreMs = 0;
    std::int64_t weight = 0;
    /// Sum of the weights of all teams that share the capacity, with this one.
    std::int64_t totalWeight = 0;
    std::int64_t capacityMilli = 0;
};

/// True if the team has waited long enough, and if its part of the core time of its wait, by its
/// weight, covers the job. Answers a load in which a team gets no capacity although it is within
/// its share, as the smaller jobs of other teams can use all of it.
bool isStarved(const TeamWaitFacts &facts, const TeamWaitOptions &options);

/// Waits of the teams with a weight, by service. Only steps within their team's share that are of
/// use count.
class TeamWaits
{
public:
    explicit TeamWaits(TeamWaitOptions options = {}) : m_options(options) { }

    /// A job that is placed ahead of others until it waits no more.
    struct AdvancedJob
    {
        JobId job;
        /// Group of its first step when it was advanced. It stays ahead of the others of this group
        /// when it turns late, as a job that is placed in part would be of no use.
        StepGroup group = StepGroup::OnTime;
        std::int64_t waitedMs = 0;
    };
    /// Advanced jobs of a service, by team.
    using AdvancedJobs = std::map<std::string, AdvancedJob>;

    /// True if the next review of the services is due; it counts as done then. Forgets the services
    /// for which no step waits.
    bool beginReview(const WaitingSteps &waiting, SteadyTimeMs now);
    /// Records which teams have steps that wait for the service, and returns the jobs that are
    /// advanced from now on. A team has one such job at a time in a service.
    std::vector<AdvancedJob> review(const std::string &service, const ServiceSteps &steps,
                                    const WaitingSteps &waiting,
                                    const std::map<std::string, std::int64_t> &weights,
                                    std::int64_t capacityMilli, SteadyTimeMs now);
    /// Records that a step of the team got a worker.
    void placed(const std::string &service, const std::string &team, SteadyTimeMs now);
    AdvancedJobs advanced(const std::string &service) const;
    /// Ends the advance of the team's job.
    void endAdvance(const std::string &service, const std::string &team);
    void clear();

private:
    struct Team
    {
        bool isWaiting = false;
        SteadyTimeMs waitingSince = 0;
        /// Time of the last placement; 0 for none.
        SteadyTimeMs placedAt = 0;
    };
    struct Service
    {
        std::map<std::string, Team> teams;
        AdvancedJobs advanced;
    };
    void updateTeams(Service &service, const ServiceSteps &steps, SteadyTimeMs now) const;

    const TeamWaitOptions m_options;
    SteadyTimeMs m_nextReview = 0;
    std::map<std::string, Service> m_services;
};

} // namespace dandelionloom
