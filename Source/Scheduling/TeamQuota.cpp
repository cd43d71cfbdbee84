#include "Scheduling/TeamQuota.h"

#include <algorithm>

namespace dandelionloom {

namespace {

bool isWithin(std::int64_t amount, std::int64_t limit)
{
    return limit == 0 || amount <= limit;
}

bool isWithin(const TaskResources &amount, const TaskResources &limit)
{
    return isWithin(amount.processorMilli, limit.processorMilli)
            && isWithin(amount.memoryMb, limit.memoryMb)
            && isWithin(amount.accelerators, limit.accelerators);
}

/// Number of tasks that one kind of resource allows.
std::int64_t tasksWithin(std::int64_t running, std::int64_t count, std::int64_t need,
                         std::int64_t limit)
{
    if (limit == 0 || count * need <= limit - running) {
        return count;
    }
    return need <= 0 ? 0 : std::max<std::int64_t>(0, (limit - running) / need);
}

} // namespace

TaskResources operator*(std::int64_t count, const TaskResources &need)
{
    return {count * need.processorMilli, count * need.memoryMb, count * need.accelerators};
}

bool isWithinQuota(const TaskResources &running, const TaskResources &need,
                   const TaskResources &maxRunning)
{
    return isGangWithinQuota(running, 1, need, maxRunning);
}

bool isGangWithinQuota(const TaskResources &running, std::uint32_t count, const TaskResources &need,
                       const TaskResources &maxRunning)
{
    const bool alone = running == TaskResources{};
    const std::int64_t counted = count - (alone && count > 0 ? 1 : 0);
    return isWithin(running + counted * need, maxRunning);
}

std::uint32_t tasksWithinQuota(const TaskResources &running, std::uint32_t count,
                               const TaskResources &need, const TaskResources &maxRunning)
{
    const std::int64_t tasks = std::min(
            {tasksWithin(running.processorMilli, count, need.processorMilli,
                         maxRunning.processorMilli),
             tasksWithin(running.memoryMb, count, need.memoryMb, maxRunning.memoryMb),
             tasksWithin(running.accelerators, count, need.accelerators, maxRunning.accelerators)});
    if (tasks == 0 && count > 0 && isWithinQuota(running, need, maxRunning)) {
        return 1;
    }
    return static_cast<std::uint32_t>(tasks);
}

bool reservesQuota(const QuotaWait &wait, const TaskResources &lasting,
                   const TaskResources &maxRunning, std::int64_t maxPassedMs)
{
    return maxPassedMs > 0 && wait.heldMs > maxPassedMs
            && isGangWithinQuota(lasting, wait.count, wait.need, maxRunning);
}

bool delaysQuotaWait(const TaskResources &need, const QuotaWait &wait,
                     const TaskResources &maxRunning)
{
    if (!isWithin(wait.count * wait.need, maxRunning)) {
        // Starts only beside nothing else.
        return need != TaskResources{};
    }
    const auto competes = [](std::int64_t amount, std::int64_t waiting, std::int64_t limit) {
        return limit != 0 && amount > 0 && waiting > 0;
    };
    return competes(need.processorMilli, wait.need.processorMilli, maxRunning.processorMilli)
            || competes(need.memoryMb, wait.need.memoryMb, maxRunning.memoryMb)
            || competes(need.accelerators, wait.need.accelerators, maxRunning.accelerators);
}

std::map<std::string, TaskResources> quotasOf(const FleetConfiguration &configuration)
{
    std::map<std::string, TaskResources> quotas;
    for (const TeamConfig &team : configuration.teams) {
        if (team.maxRunning != TaskResources{}) {
            quotas.emplace(team.name, team.maxRunning);
        }
    }
    return quotas;
}

std::map<std::string, std::int64_t> weightsOf(const FleetConfiguration &configuration)
{
    std::map<std::string, std::int64_t> weights;
    for (const TeamConfig &team : configuration.teams) {
        if (team.weight > 0) {
            weights.emplace(team.name, team.weight);
        }
    }
    return weights;
}

void TeamUse::add(const std::string &team, const TaskResources &need)
{
    if (!team.empty()) {
        TaskResources &use = m_use[team];
        use = use + need;
    }
}

void TeamUse::remove(const std::string &team, const TaskResources &need)
{
    const auto found = m_use.find(team);
    if (found == m_use.end()) {
        return;
    }
    found->second = found->second - need;
    if (found->second == TaskResources{}) {
        m_use.erase(found);
    }
}

const TaskResources &TeamUse::of(const std::string &team) const
{
    static const TaskResources none;
    const auto found = m_use.find(team);
    return found == m_use.end() ? none : found->second;
}

} // namespace dandelionloom
