#include "Scheduling/TurnLoad.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <random>
#include <sstream>

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
        const int instances = load.queues[pool].instances > 0 ? load.queues[pool].instances
                                                              : load.instancesPerPool;
        for (int instance = 0; instance < instances; ++instance) {
            fleet.addWorker(services[pool], load.instanceMilli);
        }
    }
    for (int instance = 0; instance < load.spareInstances; ++instance) {
        fleet.addWorker("spare", load.instanceMilli);
    }
    fleet.start();
    fleet.run(1000);
    StepSpec lasting = longRunningStep(24, load.longRunningMaxUnavailable);
    lasting.need = {load.longRunningMilli, load.longRunningMemoryMb, 0};
    for (std::size_t pool = 0; pool < load.queues.size(); ++pool) {
        for (int job = 0; job < load.longRunningJobs; ++job) {
            fleet.submit("lasting-job-" + std::to_string(pool) + std::to_string(job),
                         "q" + std::to_string(pool), {lasting});
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

/// Adds the time to what the instances in pools do now. `peakPool` has its peak, `nextPool` the
/// next one; others have none.
void addStanding(const FleetSimulation &fleet, const std::string &peakPool,
                 const std::string &nextPool, double seconds, StandingSeconds &standing)
{
    for (const auto &[id, instance] : fleet.instances) {
        if (instance.pool == "spare") {
            continue;
        }
        if (instance.state != InstanceState::InService) {
            standing.moving += seconds;
            continue;
        }
        const auto worker = fleet.workers.find(instance.worker);
        std::int64_t usedMilli = 0;
        bool longRunning = false;
        if (worker != fleet.workers.end()) {
            for (const auto &[task, run] : worker->second.running) {
                const StepSpec &step = fleet.state.job(task.job)->spec.steps[task.step];
                longRunning = longRunning || step.longRunning;
                usedMilli += step.longRunning ? 0 : step.need.processorMilli;
            }
        }
        if (usedMilli > 0) {
            standing.working += seconds;
            standing.used += seconds * static_cast<double>(usedMilli)
                    / static_cast<double>(instance.capacity.processorMilli);
        } else if (longRunning) {
            standing.longRunningOnly += seconds;
        } else if (instance.pool == peakPool) {
            standing.emptyInTurn += seconds;
        } else if (instance.pool == nextPool) {
            standing.emptyBeforeTurn += seconds;
        } else {
            standing.emptyElsewhere += seconds;
        }
    }
}

std::vector<StepSpec> stepsOf(const QueueLoad &load, double width, bool withSecondStep)
{
    const auto tasks = static_cast<std::uint32_t>(std::lround(load.tasks * width));
    StepSpec step = shortStep(std::max(tasks, 1U), load.taskMilli);
    step.need.memoryMb = load.taskMemoryMb;
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
    if (load.adjust) {
        load.adjust(fleet);
    }
    setUpFleet(fleet, load);
    fleet.schedulerSeconds = 0;
    fleet.moves = 0;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    const std::size_t pools = load.queues.size();
    TurnLoadResult result;
    result.jobsOfQueue.resize(pools);
    result.onTimeOfQueue.resize(pools);
    constexpr int noSecond = -1;
    struct SubmittedJob
    {
        std::string id;
        std::size_t pool = 0;
        /// Second of its queue's peak, or noSecond.
        int second = noSecond;
    };
    std::vector<SubmittedJob> jobs;
    std::vector<double> jobsDue(pools);
    const auto poolOfTurn = [&](std::size_t turn) {
        return load.order.empty() ? turn % pools : load.order[turn % load.order.size()];
    };
    const auto countStanding = [&](const std::string &peakPool, const std::string &nextPool) {
        result.poolSeconds += pooledInstances(fleet) * intervalMs / 1000;
        addStanding(fleet, peakPool, nextPool, static_cast<double>(intervalMs) / 1000,
                    result.standing);
    };
    for (std::int64_t idle = 0; idle < load.idleMs; idle += intervalMs) {
        fleet.run(intervalMs);
        countStanding({}, {});
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
        const auto turn = static_cast<std::size_t>((fleet.now - begin) / load.turnMs);
        const std::size_t peakPool = inPeak ? poolOfTurn(turn) : pools;
        const int second = static_cast<int>((fleet.now - begin) % load.turnMs / 1000);
        for (std::size_t pool = 0; pool < pools; ++pool) {
            const QueueLoad &queue = load.queues[pool];
            jobsDue[pool] += queue.peakPerSecond * (pool == peakPool ? 1 : load.offPeakShare)
                    * intervalMs / 1000 * 2 * draw(random);
            for (; jobsDue[pool] >= 1; jobsDue[pool] -= 1) {
                // Job ids have the length of those chosen by clients, as the key of each task holds
                // a copy.
                jobs.push_back({"000000000" + std::to_string(1000000 + result.jobs++), pool,
                                pool == peakPool ? second : noSecond});
                const bool withSecondStep = draw(random) < queue.secondStepShare;
                const double width =
                        load.widthSpread > 0 ? 1 + load.widthSpread * (2 * draw(random) - 1) : 1;
                fleet.submit(jobs.back().id, "q" + std::to_string(pool),
                             stepsOf(queue, width, withSecondStep));
            }
        }
        fleet.run(intervalMs);
        countStanding(inPeak ? "pool" + std::to_string(peakPool) : "",
                      "pool" + std::to_string(poolOfTurn(turn + 1)));
    }
    result.schedulerCores =
            fleet.schedulerSeconds / (static_cast<double>(fleet.now - begin) / 1000);
    result.moves = fleet.moves;
    fleet.run(drainMs);
    result.placementDigest = fleet.placementDigest;
    const auto seconds = static_cast<std::size_t>((load.peakMs + 999) / 1000);
    result.jobsOfSecond.resize(seconds);
    result.onTimeOfSecond.resize(seconds);
    for (const auto &[id, pool, second] : jobs) {
        const double time = timeInObjectives(fleet, id, load.durationsVary);
        ++result.jobsOfQueue[pool];
        result.onTimeOfQueue[pool] += time <= 1 ? 1 : 0;
        result.onTime += time <= 1 ? 1 : 0;
        result.late += time > 1 && time <= 3 ? 1 : 0;
        if (second != noSecond) {
            ++result.jobsOfSecond[static_cast<std::size_t>(second)];
            result.onTimeOfSecond[static_cast<std::size_t>(second)] += time <= 1 ? 1 : 0;
        }
    }
    for (std::size_t pool = 0; pool < pools; ++pool) {
        result.worth += static_cast<double>(result.onTimeOfQueue[pool])
                / std::max(result.jobsOfQueue[pool], 1) / static_cast<double>(pools);
    }
    result.worth -= result.poolSeconds * load.instanceSecondPrice + result.moves * load.movePrice;
    return result;
}

std::string describe(const TurnLoadResult &result)
{
    const StandingSeconds &standing = result.standing;
    std::ostringstream text;
    text << "worth " << result.worth << ", in time " << result.onTime << " of " << result.jobs
         << ", pool seconds " << result.poolSeconds << ", moves " << result.moves
         << "\n    pool seconds: working " << standing.working << " (used " << standing.used
         << "), long-running only " << standing.longRunningOnly << ", empty in turn "
         << standing.emptyInTurn << ", before turn " << standing.emptyBeforeTurn << ", elsewhere "
         << standing.emptyElsewhere << ", moving " << standing.moving
         << "\n    late by second of the peak:";
    for (std::size_t second = 0; second < result.jobsOfSecond.size(); ++second) {
        text << " " << result.jobsOfSecond[second] - result.onTimeOfSecond[second] << "/"
             << result.jobsOfSecond[second];
    }
    return text.str();
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

TurnLoad unevenLoad()
{
    TurnLoad load;
    load.queues = {{114, 0.6, 8, 800, 3100, 2200, 62},
                   {29, 1, 8, 1300, 6700, 6000, 70},
                   {142, 0.6, 8, 800, 3100, 2200, 77},
                   {36, 1, 8, 1300, 6700, 6000, 85}};
    load.instanceMilli = 32000;
    load.spareInstances = 56;
    load.longRunningJobs = 2;
    load.longRunningMilli = 4600;
    load.longRunningMemoryMb = 4200;
    load.longRunningMaxUnavailable = 1;
    load.turnMs = 4000;
    load.peakMs = 4000;
    load.turns = 8;
    load.offPeakShare = 0.01;
    load.widthSpread = 0.6;
    load.instanceSecondPrice = 1.5e-5;
    load.movePrice = 2.5e-5;
    return load;
}

TurnLoad unevenMemoryLoad()
{
    TurnLoad load = unevenLoad();
    load.queues = {{143, 0.6, 8, 540, 3100, 2200, 62},
                   {18, 1, 8, 1800, 6700, 3500, 70},
                   {178, 0.6, 8, 540, 3100, 2200, 77},
                   {22, 1, 8, 1800, 6700, 3500, 85}};
    load.longRunningMemoryMb = 7500;
    return load;
}

} // namespace dandelionloom::test
