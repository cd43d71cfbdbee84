#include "Deployment.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <numbers>
#include <stdexcept>

namespace dandelionloom::measure {

namespace {

constexpr std::int64_t windowMs = 1000;
constexpr double driftPeriodMs = 4 * 3600 * 1000.0;

} // namespace

double uniform(Random &random)
{
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

Deployment deploymentOf(const std::string &name)
{
    if (name == "chamdakam") {
        return {name, 3, 64, {4, 4, 1, 1}, 120000};
    }
    if (name == "saddlepoint") {
        // Its instances are large and take longer to reboot.
        return {name, 4, 64, {1, 1, 4, 4}, 300000};
    }
    throw std::invalid_argument("expected deployment chamdakam or saddlepoint, found '" + name
                                + "'");
}

std::vector<std::string> serviceNames()
{
    return {"clearing", "pricing", "quotes", "reports", "risk"};
}

Lists drawLists(Random &random)
{
    Lists lists;
    for (const std::string &service : serviceNames()) {
        for (const std::string suffix : {"-a", "-b"}) {
            Plan plan;
            plan.id = service + suffix;
            plan.service = service;
            plan.minHealthyInstances = 5 + static_cast<std::uint32_t>(random() % 3);
            plan.maxUnavailableInstances = 2 + static_cast<std::uint32_t>(random() % 2);
            lists.plans[plan.id] = plan;
        }
    }
    return lists;
}

std::map<std::string, std::vector<DemandWindow>> drawDemand(Random &random, std::int64_t durationMs)
{
    const auto services = serviceNames();
    const auto count = static_cast<std::size_t>(durationMs / windowMs);
    std::vector<double> means;
    std::vector<double> phases;
    std::vector<double> longRequests(services.size(), 0);
    std::map<std::string, std::vector<DemandWindow>> demand;
    for (const std::string &service : services) {
        means.push_back(40 + 20 * uniform(random));
        phases.push_back(2 * std::numbers::pi * uniform(random));
        demand[service].reserve(count);
    }
    std::size_t peakService = 0;
    std::size_t peakEnd = 0;
    for (std::size_t index = 0; index < count; ++index) {
        if (index >= peakEnd) {
            peakService = (peakService + 1) % services.size();
            peakEnd = index + 3 + random() % 7;
        }
        for (std::size_t service = 0; service < services.size(); ++service) {
            const double time = static_cast<double>(index) * windowMs;
            const double drift =
                    1 + std::sin(2 * std::numbers::pi * time / driftPeriodMs + phases[service]) / 3;
            const double factor = service == peakService ? 5 : 0.05;
            // A long request starts about every ten minutes and holds a slot for about as long.
            if (uniform(random) < 1.0 / 600) {
                longRequests[service] += 1;
            }
            if (longRequests[service] > 0 && uniform(random) < longRequests[service] / 600) {
                longRequests[service] -= 1;
            }
            const double slots = means[service] * drift * factor * (0.9 + 0.2 * uniform(random))
                    + longRequests[service];
            demand[services[service]].push_back({windowMs, slots, slots});
        }
    }
    return demand;
}

Fleet buildFleet(const CapacityPlan &plan, const Deployment &deployment)
{
    std::vector<std::string> pools;
    for (const auto &[name, pool] : plan.pools) {
        pools.insert(pools.end(), pool.instances, name);
    }
    pools.insert(pools.end(), plan.buffer, sparePool);
    const std::size_t racks = (pools.size() + workersPerRack - 1) / workersPerRack;
    Fleet fleet;
    for (std::size_t index = 0; index < pools.size(); ++index) {
        const std::size_t rack = index % racks;
        InstanceRecord record;
        record.id = "instance-" + std::to_string(100000 + index);
        record.pool = pools[index];
        record.rack = "rack-" + std::to_string(10000 + rack);
        record.availabilityZone = "zone-" + std::to_string(1 + rack % deployment.zones);
        record.epoch = 1;
        fleet.instances.emplace(record.id, std::move(record));
    }
    return fleet;
}

void printRow(const std::string &measure, const std::string &baselineName, double baseline,
              double candidate)
{
    std::cout << std::left << std::setw(44) << measure + " (" + baselineName + ")" << std::right
              << std::fixed << std::setprecision(3) << ", " << std::setw(12) << baseline << ", "
              << std::setw(12) << candidate << ", " << std::setw(8)
              << (baseline > 0 ? candidate / baseline : 0) << "\n";
}

} // namespace dandelionloom::measure
