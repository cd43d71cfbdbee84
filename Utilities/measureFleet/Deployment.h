#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Decisions/Capacity.h"
#include "Model/Fleet.h"
#include "Model/Lists.h"

namespace dandelionloom::measure {

using Random = std::mt19937_64;

/// Uniform in [0, 1).
double uniform(Random &random);

/// One of the two deployments of the design page, section 1.3.
struct Deployment
{
    std::string name;
    std::uint32_t zones = 3;
    std::uint32_t fleetInstances = 64;
    DeploymentWeights weights;
    /// Time of a reboot until the endpoint serves again.
    std::int64_t rebootMs = 120000;
};

/// Throws std::invalid_argument for an unknown name.
Deployment deploymentOf(const std::string &name);

inline constexpr std::uint32_t workersPerRack = 4;
inline constexpr std::int64_t provingMs = 10000;

std::vector<std::string> serviceNames();

/// Two plans a service, with minimum and budget drawn around what 10 workers allow.
Lists drawLists(Random &random);

/// Demand in windows of one second: each queue in turn asks for five times its mean for some
/// seconds and for a twentieth in between, the means drift by a third over four hours, and a few
/// stragglers hold slots for many minutes.
std::map<std::string, std::vector<DemandWindow>> drawDemand(Random &random, std::int64_t lengthMs);

/// A fleet with the planned pools and buffer, each pool spread over racks and zones.
Fleet buildFleet(const CapacityPlan &plan, const Deployment &deployment);

/// One line of the table `measure, baseline, ours, ratio`.
void printRow(const std::string &measure, const std::string &baselineName, double baseline,
              double ours);

void measureBuffer(const Deployment &deployment, std::uint64_t seed);
void measureRollOut(const Deployment &deployment, std::uint64_t seed);
void measureMoves(const Deployment &deployment, std::uint64_t seed);
void measurePlacement(const Deployment &deployment, std::uint64_t seed);
void measurePlanningTime(const Deployment &deployment, std::uint64_t seed);

} // namespace dandelionloom::measure
