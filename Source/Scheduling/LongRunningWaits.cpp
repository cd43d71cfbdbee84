#include "Scheduling/LongRunningWaits.h"

#include <algorithm>

namespace dandelionloom {

namespace {

/// Well above the time of a usual placement, and below the 3 s after which a task counts as
/// neglected.
constexpr std::int64_t reportIntervalMs = 2000;

} // namespace

void LongRunningWaits::record(const TaskKey &task, PlacementObstacle obstacle, SteadyTimeMs now)
{
    const auto [slot, added] = m_waits.try_emplace(task, Entry{now, now, obstacle});
    slot->second.obstacle = obstacle;
}

void LongRunningWaits::keepOnly(const std::function<bool(const TaskKey &)> &waits)
{
    std::erase_if(m_waits, [&](const auto &item) { return !waits(item.first); });
}

std::vector<LongRunningWaits::Wait> LongRunningWaits::takeReports(SteadyTimeMs now)
{
    std::vector<Wait> reports;
    for (auto &[task, entry] : m_waits) {
        if (now - entry.reportedAt >= reportIntervalMs) {
            entry.reportedAt = now;
            reports.push_back({task, entry.obstacle, now - entry.since});
        }
    }
    return reports;
}

std::int64_t LongRunningWaits::waitedMs(const TaskKey &task, SteadyTimeMs now) const
{
    const auto found = m_waits.find(task);
    return found == m_waits.end() ? 0 : now - found->second.since;
}

std::vector<LongRunningWaits::Wait> LongRunningWaits::longerThan(std::int64_t milliseconds,
                                                                 SteadyTimeMs now) const
{
    std::vector<Wait> waits;
    for (const auto &[task, entry] : m_waits) {
        if (now - entry.since >= milliseconds) {
            waits.push_back({task, entry.obstacle, now - entry.since});
        }
    }
    return waits;
}

std::int64_t LongRunningWaits::longestMs(SteadyTimeMs now) const
{
    std::int64_t longest = 0;
    for (const auto &[task, entry] : m_waits) {
        longest = std::max(longest, now - entry.since);
    }
    return longest;
}

} // namespace dandelionloom
