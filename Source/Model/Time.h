#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace dandelionloom {

using Milliseconds = std::chrono::milliseconds;

/// Milliseconds since the Unix epoch. Recorded in durable state, never used to measure intervals.
using WallTimeMs = std::int64_t;

/// Milliseconds on a monotonic clock of one process. Leases and timeouts are measured with it.
using SteadyTimeMs = std::int64_t;

inline WallTimeMs wallTimeNow()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// CLOCK_BOOTTIME: a lease must also run out while the machine is suspended, and CLOCK_MONOTONIC,
/// which std::chrono::steady_clock reads, stands still then.
inline SteadyTimeMs steadyTimeNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t nanosecondsPerMillisecond = 1000000;
    return now.tv_sec * millisecondsPerSecond + now.tv_nsec / nanosecondsPerMillisecond;
}

} // namespace dandelionloom
