#include "Scheduling/ContendedLoad.h"

#include <algorithm>
#include <set>

#include "Scheduling/ServiceLoads.h"
#include "Scheduling/ShareMeter.h"
#include "Scheduling/StepRanking.h"
#include "Scheduling/SubmissionReview.h"

namespace dandelionloom::test {

namespace {

constexpr const char *service = "pricing";
constexpr std::int64_t intervalMs = 5;
constexpr std::int64_t listIntervalMs = 500;
constexpr std::int64_t sampleIntervalMs = 100;
constexpr std::int64_t taskMs = 680;
/// Time after the last job within which those that are still of use complete.
constexpr std::int64_t drainMs = 10000;

std::string queueName(std::int64_t priority)
{
    return "priority" + std::to_string(priority);
}

QueueConfig queueOfPriority(std::int64_t priority)
{
    QueueConfig queue = queueOf(queueName(priority), service);
    queue.priority = priority;
    return queue;
}

StepAttributes objectiveOf(std::int64_t priority)
{
    const QueueConfig queue = queueOfPriority(priority);
    StepAttributes attributes;
    attributes.jobPathMs = taskMs;
    attributes.stretch = queue.stretch;
    attributes.targetLatencyMs = queue.targetLatencyMs;
    return attributes;
}

std::vector<ContendedJob> jobsOf(const std::vector<ArrivalRow> &arrivals)
{
    std::vector<ContendedJob> jobs;
    for (const ArrivalRow &row : arrivals) {
        for (int team = 0; team < row.teams; ++team) {
            for (int job = 0; job < row.jobsOfTeam; ++job) {
                ContendedJob added;
                added.row = row.team;
                added.team = row.team + std::to_string(team);
                // The teams of a row send in turn.
                added.arrivesAtMs = row.fromMs
                        + row.durationMs * (job * row.teams + team) / (row.jobsOfTeam * row.teams);
                added.priority = row.priority;
                added.tasks = row.tasks;
                jobs.push_back(std::move(added));
            }
        }
    }
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const ContendedJob &left, const ContendedJob &right) {
                         return left.arrivesAtMs < right.arrivesAtMs;
                     });
    // Numbers of equal length, so that jobs of the same rank are placed in the order of arrival.
    constexpr std::size_t firstNumber = 100000;
    for (std::size_t job = 0; job < jobs.size(); ++job) {
        jobs[job].id = "j" + std::to_string(firstNumber + job);
    }
    return jobs;
}

std::map<std::string, TeamConfig> teamsOf(const std::vector<ArrivalRow> &arrivals)
{
    std::map<std::string, TeamConfig> teams;
    for (const ArrivalRow &row : arrivals) {
        for (int team = 0; team < row.teams; ++team) {
            TeamConfig config;
            config.name = row.team + std::to_string(team);
            config.weight = row.weight;
            teams.emplace(config.name, config);
        }
    }
    return teams;
}

/// The leader's decisions on submissions, in front of a simulated fleet.
class Leader
{
public:
    Leader(const ContendedLoad &load, std::uint64_t seed)
        : m_fleet(seed), m_refuses(load.refuses), m_teams(teamsOf(load.arrivals))
    {
        m_fleet.stepMs = 10;
        m_fleet.durationOf = [](const TaskKey &) { return taskMs; };
        std::set<std::int64_t> priorities;
        for (const ArrivalRow &row : load.arrivals) {
            priorities.insert(row.priority);
        }
        std::vector<QueueConfig> queues;
        for (const std::int64_t priority : priorities) {
            queues.push_back(queueOfPriority(priority));
        }
        m_fleet.configure(queues, {service});
        std::vector<TeamConfig> teams;
        for (const auto &[name, team] : m_teams) {
            teams.push_back(team);
        }
        m_fleet.setTeams(teams);
        for (int worker = 0; worker < load.workers; ++worker) {
            m_fleet.addWorker(service);
        }
        m_fleet.start();
        m_loads.emplace(m_fleet.state, *m_fleet.dispatcher);
        run(1000);
    }

    void run(std::int64_t milliseconds)
    {
        for (std::int64_t passed = 0; passed < milliseconds; passed += intervalMs) {
            m_fleet.run(intervalMs);
            if (m_fleet.now >= m_nextList) {
                m_nextList = m_fleet.now + listIntervalMs;
                std::vector<ListedInstance> list;
                for (const auto &[id, instance] : m_fleet.instances) {
                    list.push_back(instance);
                }
                m_loads->listed(std::move(list));
            }
            if (m_fleet.now >= m_nextSample) {
                m_nextSample = m_fleet.now + sampleIntervalMs;
                sampleCoreTime();
            }
        }
    }

    void submit(ContendedJob &submitted)
    {
        const TeamConfig &team = m_teams.at(submitted.team);
        JobRecord job;
        job.spec.id = submitted.id;
        job.spec.queue = queueName(submitted.priority);
        job.spec.team = submitted.team;
        StepSpec step = shortStep(submitted.tasks);
        step.estimateMs = taskMs;
        job.spec.steps = {step};
        job.queue = *m_fleet.state.queue(job.spec.queue);
        job.acceptedAtMs = m_fleet.now;
        job.spec.beyondShare = liesBeyondShare(job.spec, &team, m_shares, m_fleet.now);
        const SubmissionDecision decision =
                reviewSubmission(job, &team, {m_shares, m_fleet.dispatcher->durations(), *m_loads},
                                 {}, m_fleet.now)
                        .decision;
        if (m_refuses && decision.verdict != SubmissionVerdict::Accepted) {
            submitted.verdict = decision.verdict;
            submitted.retryAfterMs = decision.retryAfterMs;
            return;
        }
        recordInShare(job.spec, &team, m_shares, m_fleet.now);
        m_fleet.submit(job.spec.id, job.spec.queue, job.spec.steps, job.spec.team,
                       job.spec.beyondShare);
    }

    SteadyTimeMs now() const { return m_fleet.now; }

    std::optional<std::int64_t> tookMs(const std::string &job) const
    {
        const auto completed = m_fleet.completedAt.find(job);
        if (completed == m_fleet.completedAt.end()) {
            return std::nullopt;
        }
        return completed->second - m_fleet.acceptedAt.at(job);
    }

    const std::map<std::string, double> &coreMsWhileAllWait() const { return m_coreMs; }

private:
    void sampleCoreTime()
    {
        std::set<std::string> waiting;
        for (const auto &[name, steps] : m_fleet.dispatcher->waitingSteps().byService()) {
            for (StepCursor cursor(steps); !cursor.isAtEnd(); cursor.next()) {
                const JobRecord *job = m_fleet.state.job(cursor.position().key.job);
                if (job != nullptr) {
                    waiting.insert(job->spec.team);
                }
            }
        }
        if (waiting.size() < m_teams.size()) {
            return;
        }
        for (const auto &[name, team] : m_teams) {
            m_coreMs[name] += static_cast<double>(m_fleet.runningOf(name).processorMilli)
                    * sampleIntervalMs / milliPerCore;
        }
    }

    FleetSimulation m_fleet;
    const bool m_refuses;
    const std::map<std::string, TeamConfig> m_teams;
    ShareMeter m_shares;
    std::optional<ServiceLoads> m_loads;
    SteadyTimeMs m_nextList = 0;
    SteadyTimeMs m_nextSample = 0;
    std::map<std::string, double> m_coreMs;
};

void add(ContendedCounts &counts, const ContendedJob &job)
{
    ++counts.jobs;
    counts.refused += job.isAccepted() ? 0 : 1;
    counts.onTime += job.wasOnTime() ? 1 : 0;
    counts.ofUse += job.wasOfUse() ? 1 : 0;
}

} // namespace

bool ContendedJob::wasOnTime() const
{
    return tookMs && *tookMs <= objectiveDeadline(objectiveOf(priority));
}

bool ContendedJob::wasOfUse() const
{
    return tookMs && *tookMs <= usefulDeadline(objectiveOf(priority));
}

ContendedCounts countsOf(const ContendedResult &result)
{
    ContendedCounts counts;
    for (const ContendedJob &job : result.jobs) {
        add(counts, job);
    }
    return counts;
}

ContendedCounts countsOfRow(const ContendedResult &result, const std::string &row)
{
    ContendedCounts counts;
    for (const ContendedJob &job : result.jobs) {
        if (job.row == row) {
            add(counts, job);
        }
    }
    return counts;
}

std::map<std::string, ContendedCounts> countsByTeam(const ContendedResult &result)
{
    std::map<std::string, ContendedCounts> counts;
    for (const ContendedJob &job : result.jobs) {
        add(counts[job.team], job);
    }
    return counts;
}

std::string describe(const ContendedCounts &counts)
{
    return std::to_string(counts.jobs) + " jobs, refused " + std::to_string(counts.refused)
            + ", on time " + std::to_string(counts.onTime) + ", of use "
            + std::to_string(counts.ofUse);
}

ContendedResult replayContendedLoad(const ContendedLoad &load, std::uint64_t seed)
{
    Leader leader(load, seed);
    ContendedResult result;
    result.jobs = jobsOf(load.arrivals);
    const SteadyTimeMs begin = leader.now();
    for (ContendedJob &job : result.jobs) {
        while (leader.now() < begin + job.arrivesAtMs) {
            leader.run(intervalMs);
        }
        leader.submit(job);
    }
    leader.run(drainMs);
    for (ContendedJob &job : result.jobs) {
        job.tookMs = leader.tookMs(job.id);
    }
    result.coreMsWhileAllWait = leader.coreMsWhileAllWait();
    return result;
}

} // namespace dandelionloom::test
