#include "Scheduling/TurnLoad.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <random>

namespace dandelionloom::test {

namespace {

constexpr std::int64_t intervalMs = 10;

/// Time after the last job within which those that are still of use complete.
constexpr std::int64_t drainMs = 15000;

void setUpFleet(FleetSimulation &fleet, const TurnLoad &load)
{
    std::vector<QueueConfig> queues;
    std::vector<std::string> services;
    for (std::size_t pool = 0; pool < load.queues.size(); ++pool) {
        const std::string name = "pool" + std::to_string(pool);
        queues.push_back(queueOf("q" + std::to_string(pool), name));
        services.push_back(name);
    }
    services.emplace_back("spare");
    fleet.configure(queues, services, "spare");
    for (std::size_t pool = 0; pool < load.queues.size(); ++pool) {
        for (int instance = 0; instance < load.instancesPerPool; ++instance) {
            fleet.addWorker(services[pool]);
        }
    }
    for (int instance = 0; instance < load.spareInstances; ++instance) {
        fleet.addWorker("spare");
    }
    fleet.start();
    fleet.run(1000);
    for (std::size_t pool = 0; pool < load.queues.size(); ++pool) {
        for (int job = 0; job < load.longRunningJobs; ++job) {
            fleet.submit("lasting-job-" + std::to_string(pool) + std::to_string(job),
                         "q" + std::to_string(pool), {longRunningStep(24, 3)});
        }
    }
    fleet.run(2000);
}

/// Run time of a task, drawn from its key.
std::int64_t durationOf(const FleetSimulation &fleet, const TaskKey &task, bool varies)
{
    const std::int64_t meanMs = fleet.state.job(task.job)->spec.steps[task.step].estimateMs;
    if (!varies) {
        return meanMs;
    }
    std::mt19937_64 random(std::hash<std::string>{}(taskName(task)));
    std::uniform_real_distribution<double> draw(0, 1);
    const double factor = draw(random) < 1.0 / 30 ? 7 : 0.4 + 0.8 * draw(random);
    return static_cast<std::int64_t>(static_cast<double>(meanMs) * factor);
}

/// Time from acceptance to completion as a multiple of the job's objective, which follows from the
/// longest task of each step.
double timeInObjectives(const FleetSimulation &fleet, const std::string &id, bool durationsVary)
{
    const auto completed = fleet.completedAt.find(id);
    if (completed == fleet.completedAt.end()) {
        return std::numeric_limits<double>::infinity();
    }
    const JobRecord &job = *fleet.state.job(id);
    std::int64_t pathMs = 0;
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        std::int64_t longest = 0;
        for (std::uint32_t index = 0; index < job.spec.steps[step].count; ++index) {
            longest = std::max(longest, durationOf(fleet, {id, 0, step, index}, durationsVary));
        }
        pathMs += longest;
    }
    const double objectiveMs = job.queue.stretch * static_cast<double>(pathMs)
            + static_cast<double>(job.queue.targetLatencyMs);
    return static_cast<double>(completed->second - fleet.acceptedAt.at(id)) / objectiveMs;
}

double pooledInstances(const FleetSimulation &fleet)
{
    return static_cast<double>(
            std::count_if(fleet.instances.begin(), fleet.instances.end(),
                          [](const auto &item) { return item.second.pool != "spare"; }));
}

std::vector<StepSpec> stepsOf(const QueueLoad &load, bool withSecondStep)
{
    StepSpec step = shortStep(load.tasks, load.taskMilli);
    step.estimateMs = load.taskMs;
    std::vector<StepSpec> steps{step};
    if (withSecondStep) {
        step.dependsOn = {0};
        steps.push_back(step);
    }
    return steps;
}

} // namespace

TurnLoadResult replayTurnLoad(const TurnLoad &load, std::uint64_t seed)
{
    FleetSimulation fleet(seed);
    fleet.balancerEnabled = true;
    if (!load.foresight) {
        fleet.balancerOptions.demand.foreseenHeadroom = 0;
        fleet.dispatchOptions.demand.turnLearningMs = 0;
    }
    fleet.stepMs = intervalMs;
    fleet.planMs = load.planMs;
    fleet.durationOf = [&fleet, &load](const TaskKey &task) {
        return durationOf(fleet, task, load.durationsVary);
    };
    setUpFleet(fleet, load);
    fleet.schedulerSeconds = 0;
    fleet.moves = 0;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    const std::size_t pools = load.queues.size();
    TurnLoadResult result;
    result.jobsOfQueue.resize(pools);
    result.onTimeOfQueue.resize(pools);
    std::vector<std::pair<std::string, std::size_t>> jobs;
    std::vector<double> jobsDue(pools);
    for (std::int64_t idle = 0; idle < load.idleMs; idle += intervalMs) {
        fleet.run(intervalMs);
        result.poolSeconds += pooledInstances(fleet) * intervalMs / 1000;
    }
    std::vector<std::string> wave;
    for (const auto &[id, instance] : fleet.instances) {
        if (static_cast<int>(wave.size()) < load.waveInstances) {
            wave.push_back(id);
        }
    }
    if (!wave.empty()) {
        fleet.startWave(wave, load.waveAtOnce);
    }
    const SteadyTimeMs begin = fleet.now;
    const SteadyTimeMs end = begin + load.turns * load.turnMs;
    while (fleet.now < end) {
        const bool inPeak = (fleet.now - begin) % load.turnMs < load.peakMs;
        const std::size_t peakPool = inPeak
                ? static_cast<std::size_t>((fleet.now - begin) / load.turnMs) % pools
                : pools;
        for (std::size_t pool = 0; pool < pools; ++pool) {
            const QueueLoad &queue = load.queues[pool];
            jobsDue[pool] += queue.peakPerSecond * (pool == peakPool ? 1 : load.offPeakShare)
                    * intervalMs / 1000 * 2 * draw(random);
            for (; jobsDue[pool] >= 1; jobsDue[pool] -= 1) {
                // Job ids have the length of those chosen by clients, as the key of each task holds
                // a copy.
                jobs.emplace_back("000000000" + std::to_string(1000000 + result.jobs++), pool);
                fleet.submit(jobs.back().first, "q" + std::to_string(pool),
                             stepsOf(queue, draw(random) < queue.secondStepShare));
            }
        }
        fleet.run(intervalMs);
        result.poolSeconds += pooledInstances(fleet) * intervalMs / 1000;
    }
    result.schedulerCores =
            fleet.schedulerSeconds / (static_cast<double>(fleet.now - begin) / 1000);
    result.moves = fleet.moves;
    fleet.run(drainMs);
    result.placementDigest = fleet.placementDigest;
    for (const auto &[id, pool] : jobs) {
        const double time = timeInObjectives(fleet, id, load.durationsVary);
        ++result.jobsOfQueue[pool];
        result.onTimeOfQueue[pool] += time <= 1 ? 1 : 0;
        result.onTime += time <= 1 ? 1 : 0;
        result.late += time > 1 && time <= 3 ? 1 : 0;
    }
    for (std::size_t pool = 0; pool < pools; ++pool) {
        result.worth += static_cast<double>(result.onTimeOfQueue[pool])
                / std::max(result.jobsOfQueue[pool], 1) / static_cast<double>(pools);
    }
    result.worth -= result.poolSeconds * load.instanceSecondPrice + result.moves * load.movePrice;
    return result;
}

TurnLoad grownLoad()
{
    TurnLoad load;
    const QueueLoad shortJobs{100, 0.6, 8, 680, 1500};
    const QueueLoad longJobs{20, 1, 8, 1400, 3300};
    load.queues = {shortJobs, longJobs, shortJobs, longJobs};
    load.instanceSecondPrice = 1.0e-5;
    load.movePrice = 1.1e-5;
    load.instancesPerPool = 74;
    load.spareInstances = 56;
    load.longRunningJobs = 4;
    return load;
}

TurnLoad smallLoad()
{
    TurnLoad load;
    const QueueLoad shortJobs{34, 0.6, 6, 680, 880};
    const QueueLoad longJobs{5, 1, 8, 1400, 1900};
    load.queues = {shortJobs, longJobs, shortJobs, longJobs};
    load.instanceSecondPrice = 8.0e-5;
    load.movePrice = 9.0e-5;
    load.instancesPerPool = 10;
    load.spareInstances = 8;
    load.longRunningJobs = 1;
    return load;
}

TurnLoad largeTwinLoad()
{
    TurnLoad load;
    const QueueLoad shortJobs{42, 0.6, 8, 540, 2200};
    const QueueLoad longJobs{8.5, 1, 8, 1100, 4800};
    load.queues = {shortJobs, longJobs, shortJobs, longJobs};
    load.instanceSecondPrice = 4.4e-5;
    load.movePrice = 4.9e-5;
    load.instancesPerPool = 29;
    load.spareInstances = 22;
    load.longRunningJobs = 2;
    return load;
}

} // namespace dandelionloom::test
