#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Decisions/Admission.h"
#include "Decisions/RunTimes.h"
#include "Demand.h"

namespace dandelionloom::measure {

enum class QueuePolicy {
    /// Baseline: one first-come first-served queue, requests leave it only at their deadline.
    Fifo,
    /// The admission and work class decisions of the product.
    Classes
};

struct ReplayOptions
{
    QueuePolicy policy = QueuePolicy::Classes;
    AdmissionLimits limits;
    /// Allowance of each plan in slots; 0 for as many as the pool has.
    double slotsPerPlan = 0;
    /// Allowance of each plan in requests a second; 0 for no bound.
    double ratePerPlan = 0;
};

struct ReplayResult
{
    std::vector<double> shortWaitsMs;
    double longWorkDoneMs = 0;
    /// Run time of requests that ended by their deadline, inside peaks.
    double goodputInPeaksMs = 0;
    double capacityInPeaksMs = 0;
    std::uint64_t offered[2] = {0, 0};
    std::uint64_t served[2] = {0, 0};
    std::uint64_t refusedEarly = 0;
    std::uint64_t expired = 0;

    double shortWaitP99Ms() const;
};

/// Feeds arrivals through one service queue with a fixed number of slots. Time is passed in; the
/// decisions are the product's own.
ReplayResult replay(const Deployment &deployment, const std::vector<Arrival> &arrivals,
                    const ReplayOptions &options);

} // namespace dandelionloom::measure
