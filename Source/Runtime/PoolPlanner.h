#pragma once

#include <deque>
#include <map>
#include <string>

#include "Decisions/Capacity.h"
#include "Decisions/Moves.h"
#include "Decisions/Waves.h"
#include "Model/Time.h"

namespace dandelionloom {

struct PoolPlannerOptions
{
    DeploymentWeights weights;
    CapacityLimits capacity;
    /// Length of one demand window, and the number of windows that are kept: one hour in minutes.
    std::int64_t windowMs = 60000;
    std::size_t windowsKept = 60;
};

/// Sizes the pools and plans moves between them from the demand that the controller observes. Not
/// thread-safe. A new leader starts without demand windows and move history, which only delays
/// moves.
class PoolPlanner
{
public:
    explicit PoolPlanner(PoolPlannerOptions options);

    /// Adds one sample of the demand: slots in use or waited for, by service.
    void observeDemand(const std::map<std::string, double> &slots, SteadyTimeMs nowMs);

    /// Computes the capacity plan, which capacity() returns, and the moves of this pass. `waves` is
    /// the wave plan of the same pass.
    MovePlan plan(const Fleet &fleet, const Lists &lists, const WavePlan &waves,
                  const WaveObservations &observations, WallTimeMs nowMs);

    const CapacityPlan &capacity() const { return m_capacity; }

private:
    void closeWindow(std::int64_t lengthMs);

    const PoolPlannerOptions m_options;
    std::map<std::string, std::deque<DemandWindow>> m_windows;
    /// Sum (in meanSlots) and peak of the samples of the current window, by service.
    std::map<std::string, DemandWindow> m_openWindows;
    std::uint32_t m_sampleCount = 0;
    std::size_t m_closedWindowCount = 0;
    SteadyTimeMs m_windowStart = 0;
    MoveHistory m_history;
    CapacityPlan m_capacity;
};

} // namespace dandelionloom
