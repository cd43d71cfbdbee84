#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace dandelionloom {

using Milliseconds = std::chrono::milliseconds;

/// Milliseconds since the Unix epoch. For timestamps in durable state, never for measuring
/// intervals.
using WallTimeMs = std::int64_t;

/// Milliseconds on the monotonic clock of one process. For leases and timeouts.
using SteadyTimeMs = std::int64_t;

inline WallTimeMs wallTimeNow()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// Reads CLOCK_BOOTTIME, so that leases also expire while the machine is suspended.
/// CLOCK_MONOTONIC, which std::chrono::steady_clock uses, does not advance during suspend.
inline SteadyTimeMs steadyTimeNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t nanosecondsPerMillisecond = 1000000;
    return now.tv_sec * millisecondsPerSecond + now.tv_nsec / nanosecondsPerMillisecond;
}

} // namespace dandelionloom
