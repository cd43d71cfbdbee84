#include "Scheduling/DemandTracker.h"

#include <algorithm>

#include "Scheduling/StepFacts.h"

namespace dandelionloom {

namespace {

/// Length of the critical path from each step on, as by criticalPathMs(), in one pass. Steps depend
/// on earlier ones only.
std::vector<std::int64_t> remainingPathsMs(const JobSpec &spec,
                                           const std::vector<std::int64_t> &stepMs)
{
    std::vector<std::int64_t> paths = stepMs;
    std::vector<std::int64_t> after(stepMs.size());
    std::int64_t longest = 0;
    for (std::size_t step = paths.size(); step-- > 0;) {
        paths[step] += after[step];
        longest = std::max(longest, paths[step]);
        for (const std::uint32_t needed : spec.steps[step].dependsOn) {
            if (needed < step) {
                after[needed] = std::max(after[needed], paths[step]);
            }
        }
    }
    if (!paths.empty()) {
        // The path from the first step on is the one of the whole job.
        paths.front() = longest;
    }
    return paths;
}

} // namespace

DemandTracker::DemandTracker(const SchedulerState &state, const RunDurations &durations,
                             DemandOptions options)
    : m_state(state), m_durations(durations), m_options(options)
{ }

void DemandTracker::beginTerm(SteadyTimeMs now)
{
    m_termStartedAt = now;
    m_arrivals.clear();
    m_turns = {};
    m_quotaTakenUntil.clear();
    for (const auto &[id, worker] : m_state.workers()) {
        onWorkerJoined(worker);
    }
}

void DemandTracker::rebuildTurns(SteadyTimeMs now, WallTimeMs wallNow)
{
    std::vector<const JobRecord *> jobs;
    for (const auto &[id, job] : m_state.jobs()) {
        if (job.acceptedAtMs <= wallNow && expectedCoreMs(job) > 0) {
            jobs.push_back(&job);
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const JobRecord *left, const JobRecord *right) {
        return left->acceptedAtMs < right->acceptedAtMs;
    });
    m_turns = {};
    m_quotaTakenUntil.clear();
    for (const JobRecord *job : jobs) {
        const SteadyTimeMs acceptedAt = now - (wallNow - job->acceptedAtMs);
        if (!isHeldBack(*job, acceptedAt)) {
            recordArrival(m_turns, serviceOf(m_state, *job), expectedCoreMs(*job), acceptedAt);
        }
    }
}

void DemandTracker::onJobAccepted(const JobRecord &job, SteadyTimeMs now)
{
    const double coreMs = expectedCoreMs(job);
    if (coreMs > 0 && !isHeldBack(job, now)) {
        const std::string service = serviceOf(m_state, job);
        m_arrivals[service].push_back({now, coreMs});
        recordArrival(m_turns, service, coreMs, now);
    }
}

void DemandTracker::onWorkerJoined(const WorkerRecord &worker)
{
    m_workerCapacity[worker.service] = worker.capacity;
}

std::int64_t DemandTracker::dominantMilli(const std::string &service,
                                          const TaskResources &need) const
{
    const auto known = m_workerCapacity.find(service);
    if (known == m_workerCapacity.end() || known->second.memoryMb <= 0) {
        return need.processorMilli;
    }
    return std::max(need.processorMilli,
                    need.memoryMb * known->second.processorMilli / known->second.memoryMb);
}

std::uint32_t DemandTracker::workersFor(const std::string &service,
                                        const std::vector<WaitingTasks> &waiting) const
{
    const auto known = m_workerCapacity.find(service);
    if (known == m_workerCapacity.end()) {
        return 0;
    }
    const TaskResources &capacity = known->second;
    std::int64_t milli = 0;
    std::uint32_t workers = 0;
    for (const WaitingTasks &tasks : waiting) {
        if (!fits(tasks.need, capacity)) {
            continue;
        }
        milli += tasks.count * dominantMilli(service, tasks.need);
        const std::uint32_t perWorker = tasks.maxPerWorker == 0 ? tasks.count : tasks.maxPerWorker;
        workers = std::max({workers, (tasks.count + perWorker - 1) / perWorker, 1U});
    }
    const std::int64_t instanceMilli = std::max<std::int64_t>(capacity.processorMilli, 1);
    return std::max(workers,
                    static_cast<std::uint32_t>((milli + instanceMilli - 1) / instanceMilli));
}

double DemandTracker::expectedCoreMs(const JobRecord &job) const
{
    if (job.spec.repeatCount > 0) {
        return 0;
    }
    const std::vector<std::int64_t> stepMs = m_durations.expectedStepMs(job.spec);
    const std::string service = serviceOf(m_state, job);
    double coreMs = 0;
    for (std::size_t step = 0; step < stepMs.size(); ++step) {
        const StepSpec &spec = job.spec.steps[step];
        if (!spec.longRunning && !spec.bestEffort) {
            coreMs += static_cast<double>(spec.count)
                    * static_cast<double>(dominantMilli(service, spec.need))
                    * static_cast<double>(stepMs[step]) / milliPerCore;
        }
    }
    return coreMs;
}

bool DemandTracker::isHeldBack(const JobRecord &job, SteadyTimeMs acceptedAt)
{
    if (job.spec.beyondShare) {
        return true;
    }
    if (job.spec.team.empty()) {
        return false;
    }
    const std::map<std::string, TaskResources> &quotas = m_state.quotas();
    const auto quota = quotas.find(job.spec.team);
    if (quota == quotas.end()) {
        return false;
    }
    // Time for which the job takes the whole quota, by the resource that takes longest.
    const std::vector<std::int64_t> stepMs = m_durations.expectedStepMs(job.spec);
    double processorMs = 0;
    double memoryMs = 0;
    double acceleratorMs = 0;
    const auto timeOf = [](std::int64_t need, std::int64_t limit, double taskMs) {
        return limit == 0 ? 0 : taskMs * static_cast<double>(need) / static_cast<double>(limit);
    };
    for (std::size_t step = 0; step < stepMs.size(); ++step) {
        const StepSpec &spec = job.spec.steps[step];
        if (spec.longRunning || spec.bestEffort) {
            continue;
        }
        const double taskMs = static_cast<double>(spec.count) * static_cast<double>(stepMs[step]);
        processorMs += timeOf(spec.need.processorMilli, quota->second.processorMilli, taskMs);
        memoryMs += timeOf(spec.need.memoryMb, quota->second.memoryMb, taskMs);
        acceleratorMs += timeOf(spec.need.accelerators, quota->second.accelerators, taskMs);
    }
    double &takenUntil = m_quotaTakenUntil[job.spec.team];
    const auto at = static_cast<double>(acceptedAt);
    const bool heldBack = takenUntil > at + static_cast<double>(m_options.arrivalWindowMs);
    takenUntil = std::max(takenUntil, at) + std::max({processorMs, memoryMs, acceleratorMs});
    return heldBack;
}

void DemandTracker::addArrivingDemand(std::map<std::string, ServiceDemand> &demands,
                                      SteadyTimeMs now)
{
    for (auto &[service, arrivals] : m_arrivals) {
        while (!arrivals.empty() && now - arrivals.front().at > m_options.arrivalWindowMs) {
            arrivals.pop_front();
        }
        if (arrivals.size() >= m_options.minArrivalsForRate) {
            double coreMs = 0;
            for (const Arrival &arrival : arrivals) {
                coreMs += arrival.coreMs;
            }
            demands[service].arrivingMilli = static_cast<std::int64_t>(
                    coreMs * milliPerCore / static_cast<double>(m_options.arrivalWindowMs));
        }
    }
}

void DemandTracker::addForeseenDemand(std::map<std::string, ServiceDemand> &demands,
                                      SteadyTimeMs now) const
{
    std::vector<std::string> services;
    for (const ServiceConfig &service : m_state.configuration().services) {
        if (!service.standby) {
            services.push_back(service.name);
        }
    }
    for (const TurnForecast &forecast : nextTurn(m_turns, services)) {
        demands[forecast.service].foreseenMilli = isDue(forecast, now) ? forecast.milli : 0;
    }
    // On a service that has no turns, the order never becomes known.
    const bool learning =
            !isOrderKnown(m_turns) && now - m_termStartedAt < m_options.turnLearningMs;
    for (const std::string &service : services) {
        demands[service].turnUnknown = learning && !hadTurn(m_turns, service);
    }
}

void DemandTracker::addJobDemand(const JobRecord &job, ServiceDemand &demand, WallTimeMs wallNow,
                                 std::map<std::string, CountedUse> &counted) const
{
    if (job.spec.beyondShare) {
        return;
    }
    const auto team =
            job.spec.team.empty() || counted.empty() ? counted.end() : counted.find(job.spec.team);
    const std::string service = serviceOf(m_state, job);
    const std::vector<std::int64_t> stepMs = m_durations.expectedStepMs(job.spec);
    const std::vector<std::int64_t> pathsMs = remainingPathsMs(job.spec, stepMs);
    StepAttributes attributes;
    attributes.jobPathMs = pathsMs.empty() ? 0 : pathsMs.front();
    attributes.stretch = job.queue.stretch;
    attributes.targetLatencyMs = job.queue.targetLatencyMs;
    for (const StepSpec &step : job.spec.steps) {
        const std::uint32_t perWorker = maxTasksPerWorker(step);
        if (step.longRunning && perWorker > 0) {
            demand.longRunningSpread =
                    std::max(demand.longRunningSpread, (step.count + perWorker - 1) / perWorker);
        }
    }
    for (std::uint32_t number = 0; number < job.occurrences.size(); ++number) {
        const OccurrenceRecord &occurrence = job.occurrences[number];
        attributes.dueAtMs = job.spec.repeatCount > 0
                ? job.spec.startAtMs + number * job.spec.intervalMs
                : job.acceptedAtMs;
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const StepSpec &spec = job.spec.steps[step];
            if (spec.longRunning || spec.bestEffort
                || occurrence.steps[step].doneCount == occurrence.steps[step].tasks.size()) {
                continue;
            }
            // Capacity that comes for a job after its objective serves it too late.
            attributes.remainingPathMs = pathsMs[step];
            if (rankStep(attributes, wallNow).group != StepGroup::OnTime) {
                break;
            }
            auto left = static_cast<std::int64_t>(occurrence.steps[step].tasks.size()
                                                  - occurrence.steps[step].doneCount);
            if (team != counted.end() && isReady(spec, occurrence)) {
                const auto &tasks = occurrence.steps[step].tasks;
                const auto assigned =
                        std::count_if(tasks.begin(), tasks.end(), [](const TaskRecord &task) {
                            return task.phase == TaskPhase::Assigned;
                        });
                const std::uint32_t startable = tasksWithinQuota(
                        team->second.use, static_cast<std::uint32_t>(left - assigned), spec.need,
                        team->second.quota);
                team->second.use = team->second.use + startable * spec.need;
                left = assigned + startable;
            }
            const std::int64_t milli = left * dominantMilli(service, spec.need);
            demand.backlogCoreMs +=
                    static_cast<double>(milli) * static_cast<double>(stepMs[step]) / milliPerCore;
            if (isReady(spec, occurrence)) {
                demand.runnableMilli += milli;
            }
        }
    }
}

std::map<std::string, ServiceDemand> DemandTracker::demands(const std::set<JobId> &activeJobs,
                                                            SteadyTimeMs now, WallTimeMs wallNow)
{
    std::map<std::string, ServiceDemand> demands;
    addArrivingDemand(demands, now);
    addForeseenDemand(demands, now);
    std::map<std::string, CountedUse> counted;
    for (const auto &[team, quota] : m_state.quotas()) {
        counted[team] = {quota, m_state.useOf(team)};
    }
    for (const JobId &id : activeJobs) {
        const JobRecord *job = m_state.job(id);
        if (job != nullptr && job->phase == JobPhase::Active) {
            addJobDemand(*job, demands[serviceOf(m_state, *job)], wallNow, counted);
        }
    }
    return demands;
}

} // namespace dandelionloom
