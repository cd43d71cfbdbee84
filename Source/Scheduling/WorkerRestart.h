#pragma once

#include <cstdint>
#include <optional>

#include "Model/Time.h"
#include "Scheduling/AnnouncementOrder.h"
#include "Scheduling/JobTypes.h"

namespace dandelionloom {

/// A recorded worker that has started again under its id, or is said to have. The next incarnation
/// is recorded once it refuses the orders for the recorded one and runs nothing of it.
struct WorkerRestart
{
    /// The next incarnation.
    std::int64_t startTimeMs = 0;
    std::string address;
    /// Its current announcement; unset if only an answer has shown it.
    std::optional<WorkerRecord> announced;
    AnnouncementOrder order;
    /// The incarnation has answered. Until then the recorded one may go on.
    bool confirmed = false;
    /// The record of the next incarnation, or of the end of the recorded one, was proposed.
    bool recordProposed = false;
    bool checkInFlight = false;
    /// Consecutive checks without an answer.
    std::uint32_t failedChecks = 0;
    /// Generation of the check in flight, see fencingToken().
    std::uint64_t checkGeneration = 0;
    SteadyTimeMs nextCheckAt = 0;
    SteadyTimeMs nextStopAt = 0;
};

} // namespace dandelionloom
