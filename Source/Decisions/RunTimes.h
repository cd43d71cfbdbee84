#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "Decisions/Routing.h"

namespace dandelionloom {

/// Streaming estimate of one quantile: each sample moves it up or down by a step that shrinks with
/// the sample count.
struct QuantileEstimate
{
    double value = 0;
    std::uint64_t count = 0;
};

/// Adds a sample. `quantile` lies between 0 and 1.
void addSample(QuantileEstimate &estimate, double quantile, double sample);

struct RunTimeLimits
{
    /// A kind of request is long work when its 75th percentile exceeds the service's median by this
    /// factor. Stragglers run many times longer than the rest, so a small factor would only split
    /// ordinary work.
    double longFactor = 8;
    /// Run times up to this many milliseconds are never long, whatever the median is: a slot held
    /// this long causes no noticeable delay.
    double minLongMs = 20;
    /// Samples before a kind can be classified as long. Unknown kinds are short.
    std::uint64_t minSamples = 8;
    /// Maximum number of kinds tracked for each service. Further kinds contribute to the service's
    /// median only.
    std::size_t maxKinds = 512;
};

/// Observed run times of one service, by kind of request. Declared run times are not used, because
/// they are far off.
struct ServiceRunTimes
{
    QuantileEstimate median;
    std::map<std::string, QuantileEstimate> upperQuartileByKind;
};

void observeRunTime(ServiceRunTimes &times, const std::string &kind, double runMs,
                    const RunTimeLimits &limits);

WorkClass classify(const ServiceRunTimes &times, const std::string &kind,
                   const RunTimeLimits &limits);

/// True if a request that started as short has run so long that it counts as long from now on.
bool hasOverrun(const ServiceRunTimes &times, double elapsedMs, const RunTimeLimits &limits);

/// The kind of a request: method and the first two path segments, without numbers, so that
/// "/booking/slot/17" and "/booking/slot/18" are one kind.
std::string requestKind(const std::string &method, const std::string &path);

} // namespace dandelionloom
