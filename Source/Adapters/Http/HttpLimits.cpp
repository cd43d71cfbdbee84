#include "Adapters/Http/HttpLimits.h"

#include <cstdint>
#include <vector>

namespace dandelionloom {

namespace {

struct Range
{
    const char *name;
    std::int64_t value;
    std::int64_t minimum;
    std::int64_t maximum;
};

constexpr std::int64_t maxTimeMs = 3600 * 1000;

} // namespace

Result<Done, HttpLimitsError> validateHttpLimits(const HttpLimits &limits)
{
    const auto toInteger = [](std::size_t value) { return static_cast<std::int64_t>(value); };
    const std::vector<Range> ranges{
            {"max_request_line_bytes", toInteger(limits.maxRequestLineBytes), 64, 1 << 20},
            {"max_header_bytes", toInteger(limits.maxHeaderBytes), 256, 1 << 20},
            {"max_header_count", toInteger(limits.maxHeaderCount), 4, 1000},
            {"max_body_bytes", toInteger(limits.maxBodyBytes), 0, 64 << 20},
            {"head_time_ms", limits.headTimeout.count(), 1, maxTimeMs},
            {"body_time_ms", limits.bodyTimeout.count(), 1, maxTimeMs},
            {"answer_time_ms", limits.responseSendTimeout.count(), 1, maxTimeMs},
            {"keep_alive_time_ms", limits.keepAliveTimeout.count(), 1, maxTimeMs},
            {"max_connections", toInteger(limits.maxConnections), 1, 4096},
            {"max_requests_per_connection", toInteger(limits.maxRequestsPerConnection), 1, 1 << 30},
            {"stop_time_ms", limits.stopTimeout.count(), 0, maxTimeMs},
    };
    for (const Range &range : ranges) {
        if (range.value < range.minimum || range.value > range.maximum) {
            return HttpLimitsError{
                    std::string(range.name) + ": expected " + std::to_string(range.minimum) + " to "
                    + std::to_string(range.maximum) + ", found " + std::to_string(range.value)};
        }
    }
    return Done{};
}

} // namespace dandelionloom
