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

/// One of the two example deployments; see section 1.3 of the design page.
struct Deployment
{
    std::string name;
    std::uint32_t zones = 3;
    std::uint32_t fleetInstances = 64;
    DeploymentWeights weights;
    /// Time from the start of a reboot until the endpoint serves again.
    std::int64_t rebootMs = 120000;
};

/// Throws std::invalid_argument for an unknown name.
Deployment deploymentOf(const std::string &name);

inline constexpr std::uint32_t workersPerRack = 4;
inline constexpr std::int64_t provingMs = 10000;

std::vector<std::string> serviceNames();

/// Draws two plans for each service. Their minimums and disruption budgets are near the limits of a
/// pool of 10 workers.
Lists drawLists(Random &random);

/// Draws demand in windows of one second. The services take turns with peaks of several seconds at
/// five times their mean and have a twentieth of it between peaks. The means drift by a third over
/// four hours, and a few long requests hold slots for many minutes.
std::map<std::string, std::vector<DemandWindow>> drawDemand(Random &random,
                                                            std::int64_t durationMs);

/// Builds a fleet with the planned pools and buffer; each pool is spread over racks and zones.
Fleet buildFleet(const CapacityPlan &plan, const Deployment &deployment);

/// Prints a row of the table `measure, baseline, ours, ratio`; the column "ours" is the candidate.
void printRow(const std::string &measure, const std::string &baselineName, double baseline,
              double candidate);

void measureBuffer(const Deployment &deployment, std::uint64_t seed);
void measureRollOut(const Deployment &deployment, std::uint64_t seed);
void measureMoves(const Deployment &deployment, std::uint64_t seed);
void measurePlacement(const Deployment &deployment, std::uint64_t seed);
void measurePlanningTime(const Deployment &deployment, std::uint64_t seed);

} // namespace dandelionloom::measure
