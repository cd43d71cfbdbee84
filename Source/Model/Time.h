#pragma once

#include <chrono>
#include <cstdint>

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

inline SteadyTimeMs steadyTimeNow()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

} // namespace dandelionloom
