#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace dandelionloom::measure {

/// The load of one service's pool in one deployment.
struct Deployment
{
    std::string name;
    std::uint32_t endpoints = 10;
    std::uint32_t slotsPerEndpoint = 8;
    double shortRunMs = 20;
    /// Stragglers run this many times longer than the rest.
    double longFactor = 100;
    /// Slots that long work needs on average.
    double longSlots = 12;
    /// Long requests that come at once.
    double longBatch = 60;
    /// Demand of a peak relative to what the pool can do. Above 1: the pool cannot hold it.
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
    /// Long work whose kind is not known to be long before it overruns.
    bool isUnknownKind = false;
    int plan = 0;
    int gateway = 0;
};

struct DemandOptions
{
    double durationMs = 300000;
    bool withLong = true;
    /// Plan 1 sends this many times what its half of the peak is; 1 for an even split.
    double secondPlanFactor = 1;
    int gateways = 1;
};

/// Arrivals in order of time: short work with peaks of about five times the mean and a twentieth
/// of it between, and long work at an even rate.
std::vector<Arrival> makeDemand(const Deployment &deployment, const DemandOptions &options,
                                std::uint64_t seed);

} // namespace dandelionloom::measure
