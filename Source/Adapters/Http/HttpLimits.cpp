#include "Adapters/Http/HttpLimits.h"

#include <cstdint>
#include <vector>

namespace dandelionloom {

namespace {

struct Range
{
    const char *name;
    std::int64_t value;
    std::int64_t lowest;
    std::int64_t highest;
};

constexpr std::int64_t longestTimeMs = 3600 * 1000;

} // namespace

Result<Done, LimitFault> checkLimits(const HttpLimits &limits)
{
    const auto number = [](std::size_t value) { return static_cast<std::int64_t>(value); };
    const std::vector<Range> ranges{
            {"max_request_line_bytes", number(limits.maxRequestLineBytes), 64, 1 << 20},
            {"max_header_bytes", number(limits.maxHeaderBytes), 256, 1 << 20},
            {"max_header_count", number(limits.maxHeaderCount), 4, 1000},
            {"max_body_bytes", number(limits.maxBodyBytes), 0, 64 << 20},
            {"head_time_ms", limits.headTime.count(), 1, longestTimeMs},
            {"body_time_ms", limits.bodyTime.count(), 1, longestTimeMs},
            {"answer_time_ms", limits.answerTime.count(), 1, longestTimeMs},
            {"keep_alive_time_ms", limits.keepAliveTime.count(), 1, longestTimeMs},
            {"max_connections", number(limits.maxConnections), 1, 4096},
            {"max_requests_per_connection", number(limits.maxRequestsPerConnection), 1, 1 << 30},
            {"stop_time_ms", limits.stopTime.count(), 0, longestTimeMs},
    };
    for (const Range &range : ranges) {
        if (range.value < range.lowest || range.value > range.highest) {
            return LimitFault{std::string(range.name) + ": expected " + std::to_string(range.lowest)
                              + " to " + std::to_string(range.highest) + ", found "
                              + std::to_string(range.value)};
        }
    }
    return Done{};
}

} // namespace dandelionloom
