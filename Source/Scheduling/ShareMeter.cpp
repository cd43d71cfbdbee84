#include "Scheduling/ShareMeter.h"

#include <algorithm>

namespace dandelionloom {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;

/// Jobs that a team may submit within a window. At least one, so that a small weight never refuses
/// a team that has submitted nothing.
std::size_t jobsPerWindow(std::int64_t weight, std::int64_t windowMs)
{
    const double jobs = static_cast<double>(weight) * static_cast<double>(windowMs)
            / static_cast<double>(millisecondsPerSecond);
    return static_cast<std::size_t>(std::max(1.0, jobs));
}

} // namespace

void ShareMeter::record(const std::string &team, SteadyTimeMs now)
{
    std::deque<SteadyTimeMs> &times = m_times[team];
    while (!times.empty() && times.front() <= now - m_options.windowMs) {
        times.pop_front();
    }
    times.push_back(now);
}

bool ShareMeter::isWithinShare(const std::string &team, std::int64_t weight, SteadyTimeMs now) const
{
    return msUntilWithinShare(team, weight, now) == 0;
}

std::int64_t ShareMeter::msUntilWithinShare(const std::string &team, std::int64_t weight,
                                            SteadyTimeMs now) const
{
    const auto found = m_times.find(team);
    if (weight <= 0 || found == m_times.end()) {
        return 0;
    }
    const std::deque<SteadyTimeMs> &times = found->second;
    const auto first = std::upper_bound(times.begin(), times.end(), now - m_options.windowMs);
    const auto count = static_cast<std::size_t>(times.end() - first);
    const std::size_t limit = jobsPerWindow(weight, m_options.windowMs);
    if (count < limit) {
        return 0;
    }
    const SteadyTimeMs leaving = *(first + static_cast<std::ptrdiff_t>(count - limit));
    return leaving + m_options.windowMs - now;
}

} // namespace dandelionloom
