#include "Decisions/RunTimes.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace dandelionloom {

namespace {

/// Lower bound of the relative step, so that the estimate follows changes of a service's run time.
constexpr double minRelativeStep = 0.02;
constexpr int maxSegments = 2;

double longThresholdMs(const ServiceRunTimes &times, const RunTimeLimits &limits)
{
    return std::max(limits.minLongMs, limits.longFactor * times.median.value);
}

} // namespace

void addSample(QuantileEstimate &estimate, double quantile, double sample)
{
    ++estimate.count;
    if (estimate.count == 1) {
        estimate.value = sample;
        return;
    }
    // Steps are relative to the value, because run times of services differ by orders of magnitude.
    const double step =
            std::max(minRelativeStep, 1.0 / std::sqrt(static_cast<double>(estimate.count)))
            * std::max(estimate.value, 0.1);
    estimate.value += sample > estimate.value ? step * quantile : -step * (1 - quantile);
}

void observeRunTime(ServiceRunTimes &times, const std::string &kind, double runMs,
                    const RunTimeLimits &limits)
{
    constexpr double medianQuantile = 0.5;
    constexpr double upperQuantile = 0.75;
    addSample(times.median, medianQuantile, runMs);
    const auto found = times.upperQuartileByKind.find(kind);
    if (found != times.upperQuartileByKind.end()) {
        addSample(found->second, upperQuantile, runMs);
        return;
    }
    if (times.upperQuartileByKind.size() < limits.maxKinds) {
        addSample(times.upperQuartileByKind[kind], upperQuantile, runMs);
    }
}

WorkClass classify(const ServiceRunTimes &times, const std::string &kind,
                   const RunTimeLimits &limits)
{
    const auto found = times.upperQuartileByKind.find(kind);
    if (found == times.upperQuartileByKind.end() || found->second.count < limits.minSamples) {
        return WorkClass::Short;
    }
    return found->second.value > longThresholdMs(times, limits) ? WorkClass::Long
                                                                : WorkClass::Short;
}

bool hasOverrun(const ServiceRunTimes &times, double elapsedMs, const RunTimeLimits &limits)
{
    return times.median.count >= limits.minSamples && elapsedMs > longThresholdMs(times, limits);
}

std::string requestKind(const std::string &method, const std::string &path)
{
    std::string kind = method + " ";
    int segments = 0;
    bool inNumber = false;
    for (const char character : path.substr(0, path.find('?'))) {
        if (character == '/') {
            if (++segments > maxSegments) {
                break;
            }
            inNumber = false;
        }
        if (std::isdigit(static_cast<unsigned char>(character)) == 0) {
            kind += character;
        } else if (!inNumber) {
            kind += '#';
            inNumber = true;
        }
    }
    return kind;
}

} // namespace dandelionloom
