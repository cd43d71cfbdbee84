#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Decisions/Admission.h"
#include "Decisions/RunTimes.h"
#include "Demand.h"

namespace dandelionloom::measure {

enum class QueuePolicy {
    /// Baseline: one first-come, first-served queue without admission control. Requests are dropped
    /// only at their deadline.
    Fifo,
    /// The admission control and work classes of the gateway.
    Classes
};

struct ReplayOptions
{
    QueuePolicy policy = QueuePolicy::Classes;
    AdmissionLimits limits;
    /// Allowance of each plan in slots; 0 for all slots of the pool.
    double slotsPerPlan = 0;
    /// Allowance of each plan in requests per second; 0 for no limit.
    double ratePerPlan = 0;
};

struct ReplayResult
{
    std::vector<double> shortWaitsMs;
    double longWorkDoneMs = 0;
    /// Run time within peaks of requests that met their deadline.
    double goodputInPeaksMs = 0;
    double capacityInPeaksMs = 0;
    std::uint64_t offered[2] = {0, 0};
    std::uint64_t served[2] = {0, 0};
    std::uint64_t refusedEarly = 0;
    std::uint64_t expired = 0;

    double shortWaitP99Ms() const;
};

/// Replays arrivals through one service queue with a fixed number of slots, in simulated time. With
/// QueuePolicy::Classes, the decisions are made by the code that the gateway runs.
ReplayResult replay(const Deployment &deployment, const std::vector<Arrival> &arrivals,
                    const ReplayOptions &options);

} // namespace dandelionloom::measure
