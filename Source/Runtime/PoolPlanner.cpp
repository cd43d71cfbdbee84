#include "Runtime/PoolPlanner.h"

#include <algorithm>
#include <utility>

#include "Decisions/WaveSurge.h"

namespace dandelionloom {

PoolPlanner::PoolPlanner(PoolPlannerOptions options) : m_options(std::move(options)) { }

void PoolPlanner::observeDemand(const std::map<std::string, double> &slots, SteadyTimeMs nowMs)
{
    if (m_sampleCount == 0) {
        m_windowStart = nowMs;
    }
    ++m_sampleCount;
    for (const auto &[service, used] : slots) {
        DemandWindow &window = m_openWindows[service];
        window.meanSlots += used;
        window.peakSlots = std::max(window.peakSlots, used);
    }
    if (nowMs - m_windowStart >= m_options.windowMs) {
        closeWindow(nowMs - m_windowStart);
    }
}

void PoolPlanner::closeWindow(std::int64_t lengthMs)
{
    for (const auto &[service, window] : m_openWindows) {
        // A new service gets idle windows for the past, so that the windows of all services cover
        // the same times.
        std::deque<DemandWindow> &windows = m_windows[service];
        while (windows.size() < m_closedWindowCount) {
            windows.push_front({lengthMs, 0, 0});
        }
    }
    for (auto &[service, windows] : m_windows) {
        DemandWindow window = m_openWindows[service];
        window.lengthMs = lengthMs;
        window.meanSlots /= m_sampleCount;
        windows.push_back(window);
        if (windows.size() > m_options.windowsKept) {
            windows.pop_front();
        }
    }
    m_closedWindowCount = std::min(m_closedWindowCount + 1, m_options.windowsKept);
    m_openWindows.clear();
    m_sampleCount = 0;
}

MovePlan PoolPlanner::plan(const Fleet &fleet, const Lists &lists, const WavePlan &waves,
                           const WaveObservations &observations, WallTimeMs nowMs)
{
    CapacityFacts facts = capacityFacts(fleet, m_options.capacity.toleratedFailureDomain);
    for (const auto &[service, windows] : m_windows) {
        facts.demand[service].assign(windows.begin(), windows.end());
    }
    m_capacity = addWaveSurge(planCapacity(facts, lists, m_options.weights, m_options.capacity),
                              fleet, waves.ledger, facts.largestDomain);
    MovePlan moves =
            planMoves(fleet, m_capacity, waves.ledger, excludedFromMoves(waves, observations),
                      m_history, moveLimits(m_options.weights, m_options.capacity), nowMs);
    m_history = moves.history;
    return moves;
}

} // namespace dandelionloom
