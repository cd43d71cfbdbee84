#include "Scheduling/ServiceLoads.h"

#include <algorithm>

#include "Scheduling/StepFacts.h"

namespace dandelionloom {

namespace {

/// Time after which an accepted job that is not recorded is taken for lost.
constexpr std::int64_t maxUnrecordedMs = 5000;

/// Number of entries that are placed before a new job of the rank. Jobs of the same rank count.
std::size_t countBefore(const std::vector<WaitingWork::Entry> &entries, const StepRank &rank)
{
    const auto next = std::upper_bound(entries.begin(), entries.end(), rank,
                                       [](const StepRank &limit, const WaitingWork::Entry &entry) {
                                           return limit < entry.rank;
                                       });
    return static_cast<std::size_t>(next - entries.begin());
}

} // namespace

void WaitingWork::add(const StepRank &rank, double coreMs, WallTimeMs onTimeUntil)
{
    entries.push_back({rank, coreMs, totalCoreMs() + coreMs, onTimeUntil});
}

void WaitingWork::insert(const StepRank &rank, double coreMs, WallTimeMs onTimeUntil)
{
    const double before = coreMsBefore(rank);
    const auto next = entries.begin() + static_cast<std::ptrdiff_t>(countBefore(entries, rank));
    const auto added = entries.insert(next, {rank, coreMs, before, onTimeUntil});
    std::for_each(added, entries.end(), [coreMs](Entry &entry) { entry.coreMsUpTo += coreMs; });
}

double WaitingWork::coreMsBefore(const StepRank &rank) const
{
    const std::size_t count = countBefore(entries, rank);
    return count == 0 ? 0 : entries[count - 1].coreMsUpTo;
}

std::optional<double> WaitingWork::onTimeWaitMs(const StepRank &rank, WallTimeMs onTimeUntil,
                                                std::int64_t capacityMilli, WallTimeMs now) const
{
    if (rank.group != StepGroup::OnTime || capacityMilli <= 0) {
        return std::nullopt;
    }
    const double msPerCoreMs = milliPerCore / static_cast<double>(capacityMilli);
    const auto untilLate = static_cast<double>(onTimeUntil - now);
    const std::size_t count = countBefore(entries, rank);
    double waitMs = 0;
    for (std::size_t index = 0; index < count && waitMs <= untilLate; ++index) {
        const Entry &ahead = entries[index];
        if (waitMs <= static_cast<double>(ahead.onTimeUntil - now)) {
            waitMs += ahead.coreMs * msPerCoreMs;
        }
    }
    return waitMs <= untilLate ? std::optional(waitMs) : std::nullopt;
}

QuotaTime operator+(const QuotaTime &left, const QuotaTime &right)
{
    return {left.processorMs + right.processorMs, left.memoryMs + right.memoryMs,
            left.acceleratorMs + right.acceleratorMs};
}

QuotaTime quotaTime(double coreMs, const TaskResources &need, const TaskResources &maxRunning)
{
    if (need.processorMilli <= 0) {
        return {};
    }
    const double taskMs = coreMs * milliPerCore / static_cast<double>(need.processorMilli);
    const auto timeOf = [taskMs](std::int64_t amount, std::int64_t limit) {
        return limit == 0 ? 0
                          : taskMs * static_cast<double>(amount)
                        / static_cast<double>(std::max(limit, amount));
    };
    return {timeOf(need.processorMilli, maxRunning.processorMilli),
            timeOf(need.memoryMb, maxRunning.memoryMb),
            timeOf(need.accelerators, maxRunning.accelerators)};
}

double coreMsWithinQuota(double coreMs, const QuotaTime &earlier, const QuotaTime &own,
                         std::int64_t horizonMs)
{
    const double beginMs = earlier.longestMs();
    const double endMs = (earlier + own).longestMs();
    const auto horizon = static_cast<double>(horizonMs);
    if (endMs <= horizon) {
        return coreMs;
    }
    return beginMs >= horizon ? 0 : coreMs * (horizon - beginMs) / (endMs - beginMs);
}

double takeWithinQuota(WaitingWork &work, const std::string &team, double coreMs,
                       const TaskResources &need, const TaskResources &maxRunning,
                       std::int64_t horizonMs)
{
    const QuotaTime own = quotaTime(coreMs, need, maxRunning);
    QuotaTime &earlier = work.quotaTimes[team];
    const double counted = coreMsWithinQuota(coreMs, earlier, own, horizonMs);
    earlier = earlier + own;
    return counted;
}

WaitingWork waitingWorkOf(const SchedulerState &state, const WaitingSteps &waiting,
                          const ServiceSteps &steps, WallTimeMs now)
{
    WaitingWork work;
    const StepKey *previous = nullptr;
    for (StepCursor cursor(steps); !cursor.isAtEnd(); cursor.next()) {
        const StepPosition &position = cursor.position();
        const StepKey &key = position.key;
        const StepGroup group = position.rank.group;
        if (group != StepGroup::OnTime && group != StepGroup::Late) {
            continue;
        }
        // The remaining work is that of the whole occurrence, whose steps follow one another.
        const bool isCounted = previous != nullptr && previous->job == key.job
                && previous->occurrence == key.occurrence;
        previous = &key;
        const JobRecord *job = state.job(key.job);
        if (isCounted || job == nullptr || job->spec.beyondShare) {
            continue;
        }
        const StepAttributes &attributes = waiting.at(key).attributes;
        double coreMs = attributes.remainingWork / milliPerCore;
        const auto quota = state.quotas().find(job->spec.team);
        if (quota != state.quotas().end()) {
            coreMs = takeWithinQuota(work, job->spec.team, coreMs, job->spec.steps[key.step].need,
                                     quota->second, usefulDeadline(attributes) - now);
        }
        work.add(position.rank, coreMs, latestOnTimeStart(attributes));
    }
    return work;
}

SubmittedJob submittedJob(const JobRecord &job, const std::vector<std::int64_t> &stepMs,
                          WallTimeMs now)
{
    StepAttributes attributes = stepAttributes(job, stepMs, 0, 0);
    attributes.remainingPathMs = attributes.jobPathMs;
    for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
        const StepSpec &spec = job.spec.steps[step];
        attributes.remainingWork += static_cast<double>(spec.count)
                * static_cast<double>(spec.need.processorMilli) * static_cast<double>(stepMs[step]);
    }
    return {job.spec.id,
            job.spec.team,
            job.spec.steps.empty() ? TaskResources{} : job.spec.steps.front().need,
            attributes.remainingWork / milliPerCore,
            attributes.jobPathMs,
            now,
            latestOnTimeStart(attributes),
            usefulDeadline(attributes),
            rankStep(attributes, now)};
}

ServiceLoads::ServiceLoads(const SchedulerState &state, const Dispatcher &dispatcher,
                           ServiceLoadOptions options)
    : m_state(state), m_dispatcher(dispatcher), m_options(options)
{ }

void ServiceLoads::beginTerm()
{
    m_instances.reset();
    m_accepted.clear();
    m_sumsAt = 0;
}

void ServiceLoads::listed(std::vector<ListedInstance> instances)
{
    m_instances = std::move(instances);
}

std::optional<ServiceLoad> ServiceLoads::loadOf(const std::string &service, const SubmittedJob &job,
                                                bool withinShare, SteadyTimeMs now)
{
    if (!m_instances) {
        return std::nullopt;
    }
    if (m_sumsAt == 0 || now - m_sumsAt >= m_options.maxAgeMs) {
        sumUp(now, job.submittedAt);
        m_sumsAt = now;
    }
    ServiceLoad load;
    if (const auto capacity = m_capacityMilli.find(service); capacity != m_capacityMilli.end()) {
        load.capacityMilli = capacity->second;
    }
    const auto own = m_unusedMilli.find(service);
    load.reachableMilli = m_totalUnusedMilli - (own == m_unusedMilli.end() ? 0 : own->second);
    const auto work = m_waiting.find(service);
    if (work == m_waiting.end()) {
        return load;
    }
    if (withinShare) {
        load.aheadCoreMs = work->second.coreMsBefore(job.rank);
        load.onTimeWaitMs = work->second.onTimeWaitMs(job.rank, job.onTimeUntil,
                                                      load.capacityMilli + load.reachableMilli,
                                                      job.submittedAt);
    } else {
        load.aheadCoreMs = work->second.totalCoreMs();
    }
    return load;
}

void ServiceLoads::accepted(const std::string &service, const SubmittedJob &job, SteadyTimeMs now)
{
    const bool isOfUse = job.rank.group == StepGroup::OnTime || job.rank.group == StepGroup::Late;
    if (!isOfUse) {
        return;
    }
    const auto [added, isAdded] = m_accepted.try_emplace(job.id, AcceptedJob{service, job, now});
    if (isAdded) {
        insert(added->second);
    }
}

void ServiceLoads::addAcceptedJobs(SteadyTimeMs now)
{
    std::erase_if(m_accepted, [&](const auto &item) {
        const bool isMissing = m_state.job(item.first) == nullptr
                ? now - item.second.acceptedAt < maxUnrecordedMs
                : m_dispatcher.isNew(item.first);
        return !isMissing;
    });
    for (const auto &[id, accepted] : m_accepted) {
        insert(accepted);
    }
}

void ServiceLoads::insert(const AcceptedJob &accepted)
{
    const SubmittedJob &job = accepted.job;
    WaitingWork &work = m_waiting[accepted.service];
    const auto quota = m_state.quotas().find(job.team);
    const double coreMs = quota == m_state.quotas().end()
            ? job.coreMs
            : takeWithinQuota(work, job.team, job.coreMs, job.need, quota->second,
                              job.usefulUntil - job.submittedAt);
    work.insert(job.rank, coreMs, job.onTimeUntil);
}

void ServiceLoads::sumUp(SteadyTimeMs now, WallTimeMs wallNow)
{
    m_waiting.clear();
    for (const auto &[service, steps] : m_dispatcher.waitingSteps().byService()) {
        m_waiting[service] = waitingWorkOf(m_state, m_dispatcher.waitingSteps(), steps, wallNow);
    }
    addAcceptedJobs(now);
    sumUpWorkers();
    sumUpInstances();
}

void ServiceLoads::sumUpWorkers()
{
    m_capacityMilli.clear();
    for (const auto &[id, worker] : m_state.workers()) {
        // In a new term a worker that has not answered yet counts like one that has.
        const WorkerView *view = m_dispatcher.view(id);
        const bool isLeaving = worker.draining
                || (view != nullptr && (view->cordoned || view->leaving || view->deregistered));
        if (isLeaving) {
            continue;
        }
        const std::int64_t longRunning =
                view == nullptr ? 0 : m_dispatcher.longRunningMilli(worker, *view);
        m_capacityMilli[worker.service] +=
                std::max<std::int64_t>(0, worker.capacity.processorMilli - longRunning);
    }
}

void ServiceLoads::sumUpInstances()
{
    m_unusedMilli.clear();
    m_totalUnusedMilli = 0;
    for (const ListedInstance &instance : *m_instances) {
        const WorkerRecord *worker = m_state.worker(instance.worker);
        const WorkerView *view = m_dispatcher.view(instance.worker);
        const bool isPinned = view != nullptr && view->longRunningCount > 0;
        if (instance.state == InstanceState::Down || isPinned) {
            continue;
        }
        const std::int64_t used = view == nullptr ? 0 : view->used.processorMilli;
        const std::int64_t unused =
                std::max<std::int64_t>(0, instance.capacity.processorMilli - used);
        m_unusedMilli[worker == nullptr ? std::string() : worker->service] += unused;
        m_totalUnusedMilli += unused;
    }
}

} // namespace dandelionloom
