#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace dandelionloom::measure {

/// The pool of one service in a deployment, and the demand on it.
struct Deployment
{
    std::string name;
    std::uint32_t endpoints = 10;
    std::uint32_t slotsPerEndpoint = 8;
    double shortRunMs = 20;
    /// Mean run time of long requests relative to short ones.
    double longFactor = 100;
    /// Slots that long requests occupy on average.
    double meanLongSlots = 12;
    /// Long requests that arrive together.
    double longBatchSize = 60;
    /// Peak demand relative to the capacity of the pool; above 1 the pool is overloaded.
    double peakLoad = 1.3;
    double peakMs = 6000;
    double periodMs = 30000;
    double deadlineMs = 3000;
    /// Round trip between two availability zones.
    double zoneRoundTripMs = 1.5;

    std::uint32_t slots() const { return endpoints * slotsPerEndpoint; }
};

Deployment chamdakam();
Deployment saddlepoint();

struct Arrival
{
    double atMs = 0;
    double runMs = 0;
    bool isLong = false;
    /// A long request of a kind without recorded run times. It is classified as long only when it
    /// overruns.
    bool isUnknownKind = false;
    int plan = 0;
    int gateway = 0;
};

struct DemandOptions
{
    double durationMs = 300000;
    bool withLongWork = true;
    /// Factor on the half of the demand that plan 1 sends; 1 splits the demand evenly.
    double secondPlanFactor = 1;
    int gateways = 1;
};

/// Generates arrivals in order of time: short requests with peaks of about five times the mean and
/// a twentieth of it between peaks, and batches of long requests at a constant mean rate.
std::vector<Arrival> makeDemand(const Deployment &deployment, const DemandOptions &options,
                                std::uint64_t seed);

} // namespace dandelionloom::measure
