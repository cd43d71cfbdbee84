#include "Demand.h"

#include <algorithm>
#include <cmath>

namespace dandelionloom::measure {

namespace {

/// Off-peak demand relative to peak demand: peaks have five times the mean, the time between them a
/// twentieth of it.
constexpr double offPeakFactor = 0.05 / 5;
constexpr double unknownKindProbability = 0.1;

void addPoissonArrivals(std::vector<Arrival> &arrivals, std::mt19937_64 &random, double fromMs,
                        double toMs, double ratePerMs, const Arrival &prototype, double meanRunMs,
                        int gateways)
{
    if (ratePerMs <= 0) {
        return;
    }
    std::exponential_distribution<double> interArrivalMs(ratePerMs);
    std::exponential_distribution<double> runTimeMs(1 / meanRunMs);
    std::uniform_int_distribution<int> gateway(0, gateways - 1);
    std::bernoulli_distribution unknownKind(unknownKindProbability);
    for (double at = fromMs + interArrivalMs(random); at < toMs; at += interArrivalMs(random)) {
        Arrival arrival = prototype;
        arrival.atMs = at;
        // Half of the run time is constant, so that no run time is close to zero.
        arrival.runMs = meanRunMs / 2 + runTimeMs(random) / 2;
        arrival.isUnknownKind = arrival.isLong && unknownKind(random);
        arrival.gateway = gateway(random);
        arrivals.push_back(arrival);
    }
}

/// Long requests arrive in batches with idle time between them, as nightly settlements do.
void addLongBatches(std::vector<Arrival> &arrivals, std::mt19937_64 &random,
                    const Deployment &deployment, const DemandOptions &options)
{
    const double longRunMs = deployment.shortRunMs * deployment.longFactor;
    const double batchesPerMs = deployment.meanLongSlots / longRunMs / deployment.longBatchSize;
    std::exponential_distribution<double> interArrivalMs(batchesPerMs);
    constexpr double batchSpreadMs = 100;
    Arrival prototype;
    prototype.isLong = true;
    for (double at = interArrivalMs(random); at < options.durationMs;
         at += interArrivalMs(random)) {
        addPoissonArrivals(arrivals, random, at, at + batchSpreadMs,
                           deployment.longBatchSize / batchSpreadMs, prototype, longRunMs,
                           options.gateways);
    }
}

} // namespace

Deployment chamdakam()
{
    Deployment deployment;
    deployment.name = "chamdakam";
    return deployment;
}

Deployment saddlepoint()
{
    Deployment deployment;
    deployment.name = "saddlepoint";
    deployment.shortRunMs = 40;
    deployment.longFactor = 60;
    deployment.peakMs = 8000;
    deployment.periodMs = 40000;
    deployment.deadlineMs = 5000;
    return deployment;
}

std::vector<Arrival> makeDemand(const Deployment &deployment, const DemandOptions &options,
                                std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<Arrival> arrivals;
    const double peakPerMs = deployment.peakLoad * deployment.slots() / deployment.shortRunMs;
    for (double start = 0; start < options.durationMs; start += deployment.periodMs) {
        const double peakEnd = start + deployment.peakMs;
        const double end = start + deployment.periodMs;
        for (int plan = 0; plan < 2; ++plan) {
            const double factor = plan == 0 ? 0.5 : 0.5 * options.secondPlanFactor;
            Arrival prototype;
            prototype.plan = plan;
            addPoissonArrivals(arrivals, random, start, peakEnd, factor * peakPerMs, prototype,
                               deployment.shortRunMs, options.gateways);
            addPoissonArrivals(arrivals, random, peakEnd, end, factor * peakPerMs * offPeakFactor,
                               prototype, deployment.shortRunMs, options.gateways);
        }
    }
    if (options.withLongWork) {
        addLongBatches(arrivals, random, deployment, options);
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const Arrival &left, const Arrival &right) { return left.atMs < right.atMs; });
    return arrivals;
}

} // namespace dandelionloom::measure
