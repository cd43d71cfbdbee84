#include "Decisions/WorkerHealth.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <unordered_map>

namespace dandelionloom {

namespace {

struct Starts
{
    std::set<std::string_view> failed;
    bool anySucceeded = false;
};

using StartsByName = std::unordered_map<std::string_view, Starts>;

bool counts(const StartRecord &start, const WorkerFacts &worker, const WorkerHealthLimits &limits,
            SteadyTimeMs nowMs)
{
    if (nowMs - start.atMs > limits.windowMs) {
        return false;
    }
    return !worker.quarantinedAtMs || start.atMs > *worker.quarantinedAtMs;
}

std::set<std::string> judgeJobs(const StartsByName &byJob, const StartsByName &byWorker,
                                const WorkerHealthLimits &limits)
{
    std::set<std::string> failing;
    for (const auto &[job, starts] : byJob) {
        if (starts.anySucceeded) {
            continue;
        }
        const auto sound = std::count_if(
                starts.failed.begin(), starts.failed.end(),
                [&](std::string_view worker) { return byWorker.at(worker).anySucceeded; });
        if (sound >= static_cast<std::ptrdiff_t>(limits.failedWorkers)) {
            failing.insert(std::string(job));
        }
    }
    return failing;
}

} // namespace

HealthVerdicts judgeStarts(const std::vector<StartRecord> &starts,
                           const std::vector<WorkerFacts> &workers,
                           const WorkerHealthLimits &limits, SteadyTimeMs nowMs)
{
    std::unordered_map<std::string_view, const WorkerFacts *> known;
    for (const WorkerFacts &worker : workers) {
        known.emplace(worker.id, &worker);
    }
    StartsByName byJob;
    StartsByName byWorker;
    for (const StartRecord &start : starts) {
        const auto worker = known.find(start.worker);
        if (worker == known.end() || !counts(start, *worker->second, limits, nowMs)) {
            continue;
        }
        Starts &ofJob = byJob[start.job];
        Starts &ofWorker = byWorker[start.worker];
        if (start.succeeded) {
            ofJob.anySucceeded = true;
            ofWorker.anySucceeded = true;
        } else {
            ofJob.failed.insert(start.worker);
            ofWorker.failed.insert(start.job);
        }
    }

    HealthVerdicts verdicts;
    verdicts.failingJobs = judgeJobs(byJob, byWorker, limits);
    std::map<std::string_view, std::uint32_t> poolSizes;
    std::map<std::string_view, std::uint32_t> inQuarantine;
    std::vector<std::pair<std::uint32_t, const WorkerFacts *>> suspects;
    for (const WorkerFacts &worker : workers) {
        ++poolSizes[worker.pool];
        if (worker.quarantinedAtMs && nowMs - *worker.quarantinedAtMs < limits.quarantineMs) {
            ++inQuarantine[worker.pool];
            verdicts.quarantined.insert(worker.id);
            continue;
        }
        const auto found = byWorker.find(worker.id);
        std::uint32_t failedJobs = 0;
        if (found != byWorker.end() && !found->second.anySucceeded) {
            for (const std::string_view job : found->second.failed) {
                failedJobs += verdicts.failingJobs.contains(std::string(job)) ? 0 : 1;
            }
        }
        if (failedJobs >= limits.failedJobs) {
            suspects.emplace_back(failedJobs, &worker);
        } else if (worker.quarantinedAtMs) {
            verdicts.workers.push_back({worker.id, WorkerReason::QuarantineEnded, failedJobs});
        }
    }
    std::stable_sort(suspects.begin(), suspects.end(),
                     [](const auto &left, const auto &right) { return left.first > right.first; });
    for (const auto &[failedJobs, worker] : suspects) {
        const double share = poolSizes[worker->pool] * limits.quarantineShare;
        const std::uint32_t room = std::max(1U, static_cast<std::uint32_t>(share));
        if (inQuarantine[worker->pool] >= room) {
            verdicts.workers.push_back({worker->id, WorkerReason::QuarantineFull, failedJobs});
            continue;
        }
        ++inQuarantine[worker->pool];
        verdicts.quarantined.insert(worker->id);
        verdicts.workers.push_back({worker->id, WorkerReason::FailsEverything, failedJobs});
    }
    return verdicts;
}

} // namespace dandelionloom
