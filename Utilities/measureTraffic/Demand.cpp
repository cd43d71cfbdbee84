#include "Demand.h"

#include <algorithm>
#include <cmath>

namespace dandelionloom::measure {

namespace {

/// A peak asks for five times the mean, the time between for a twentieth of it.
constexpr double quietToPeak = 0.05 / 5;
constexpr double unknownLongPart = 0.1;

void addPoisson(std::vector<Arrival> &arrivals, std::mt19937_64 &random, double fromMs, double toMs,
                double perMs, const Arrival &sample, double meanRunMs, int gateways)
{
    if (perMs <= 0) {
        return;
    }
    std::exponential_distribution<double> gap(perMs);
    std::exponential_distribution<double> run(1 / meanRunMs);
    std::uniform_int_distribution<int> gateway(0, gateways - 1);
    std::bernoulli_distribution unknown(unknownLongPart);
    for (double at = fromMs + gap(random); at < toMs; at += gap(random)) {
        Arrival arrival = sample;
        arrival.atMs = at;
        // Half of the run time is fixed, so that a short request is never nearly free.
        arrival.runMs = meanRunMs / 2 + run(random) / 2;
        arrival.isUnknownKind = arrival.isLong && unknown(random);
        arrival.gateway = gateway(random);
        arrivals.push_back(arrival);
    }
}

/// Long work comes in batches, like a night's settlements: many at once, then none.
void addLongBatches(std::vector<Arrival> &arrivals, std::mt19937_64 &random,
                    const Deployment &deployment, const DemandOptions &options)
{
    const double longRunMs = deployment.shortRunMs * deployment.longFactor;
    const double batchPerMs = deployment.longSlots / longRunMs / deployment.longBatch;
    std::exponential_distribution<double> gap(batchPerMs);
    constexpr double batchSpreadMs = 100;
    Arrival sample;
    sample.isLong = true;
    for (double at = gap(random); at < options.durationMs; at += gap(random)) {
        addPoisson(arrivals, random, at, at + batchSpreadMs, deployment.longBatch / batchSpreadMs,
                   sample, longRunMs, options.gateways);
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
            Arrival sample;
            sample.plan = plan;
            addPoisson(arrivals, random, start, peakEnd, factor * peakPerMs, sample,
                       deployment.shortRunMs, options.gateways);
            addPoisson(arrivals, random, peakEnd, end, factor * peakPerMs * quietToPeak, sample,
                       deployment.shortRunMs, options.gateways);
        }
    }
    if (options.withLong) {
        addLongBatches(arrivals, random, deployment, options);
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const Arrival &left, const Arrival &right) { return left.atMs < right.atMs; });
    return arrivals;
}

} // namespace dandelionloom::measure
