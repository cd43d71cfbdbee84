#include "Decisions/WorkerHealth.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <unordered_map>

namespace dandelionloom {

namespace {

struct StartSummary
{
    std::set<std::string_view> failed;
    bool anySucceeded = false;
};

using StartSummaries = std::unordered_map<std::string_view, StartSummary>;

bool isRelevant(const StartRecord &start, const WorkerFacts &worker,
                const WorkerHealthLimits &limits, SteadyTimeMs nowMs)
{
    if (nowMs - start.atMs > limits.windowMs) {
        return false;
    }
    return !worker.quarantinedAtMs || start.atMs > *worker.quarantinedAtMs;
}

std::set<std::string> findFailingJobs(const StartSummaries &byJob, const StartSummaries &byWorker,
                                      const WorkerHealthLimits &limits)
{
    std::set<std::string> failing;
    for (const auto &[job, starts] : byJob) {
        if (starts.anySucceeded) {
            continue;
        }
        const auto healthyWorkers = std::count_if(
                starts.failed.begin(), starts.failed.end(),
                [&](std::string_view worker) { return byWorker.at(worker).anySucceeded; });
        if (healthyWorkers >= static_cast<std::ptrdiff_t>(limits.failedWorkers)) {
            failing.insert(std::string(job));
        }
    }
    return failing;
}

} // namespace

WorkerHealthReport evaluateStarts(const std::vector<StartRecord> &starts,
                                  const std::vector<WorkerFacts> &workers,
                                  const WorkerHealthLimits &limits, SteadyTimeMs nowMs)
{
    std::unordered_map<std::string_view, const WorkerFacts *> workersById;
    for (const WorkerFacts &worker : workers) {
        workersById.emplace(worker.id, &worker);
    }
    StartSummaries byJob;
    StartSummaries byWorker;
    for (const StartRecord &start : starts) {
        const auto worker = workersById.find(start.worker);
        if (worker == workersById.end() || !isRelevant(start, *worker->second, limits, nowMs)) {
            continue;
        }
        StartSummary &jobSummary = byJob[start.job];
        StartSummary &workerSummary = byWorker[start.worker];
        if (start.succeeded) {
            jobSummary.anySucceeded = true;
            workerSummary.anySucceeded = true;
        } else {
            jobSummary.failed.insert(start.worker);
            workerSummary.failed.insert(start.job);
        }
    }

    WorkerHealthReport verdicts;
    verdicts.failingJobs = findFailingJobs(byJob, byWorker, limits);
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
        const std::uint32_t quarantineLimit = std::max(1U, static_cast<std::uint32_t>(share));
        if (inQuarantine[worker->pool] >= quarantineLimit) {
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
