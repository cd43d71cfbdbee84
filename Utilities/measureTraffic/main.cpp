#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "Demand.h"
#include "QueueReplay.h"
#include "SlotSharing.h"

namespace {

using namespace dandelionloom;
using namespace dandelionloom::measure;

constexpr int gatewayCount = 6;

/// Resolution of the gateway's clock. Shorter waits without long work count as this, so that the
/// ratio to them stays meaningful.
constexpr double minWaitMs = 1;

void printRow(const Deployment &deployment, std::uint64_t seed, const std::string &measure,
              double baseline, double candidate, const std::string &goal)
{
    std::cout << std::left << std::setw(12) << deployment.name << std::setw(5) << seed
              << std::setw(44) << measure << std::right << std::fixed << std::setprecision(2)
              << std::setw(12) << baseline << std::setw(12) << candidate << std::setw(9)
              << (baseline != 0 ? candidate / baseline : 0) << "  " << goal << "\n";
}

/// Measures the wait of short requests with and without long requests, and the long work that still
/// meets its deadline.
void measureHeadOfLine(const Deployment &baseDeployment, double peakLoad, std::uint64_t seed)
{
    Deployment deployment = baseDeployment;
    deployment.peakLoad = peakLoad;
    const std::string suffix = peakLoad < 1 ? ", peak 0.7" : ", peak 1.3";
    DemandOptions mixedOptions;
    DemandOptions shortOnlyOptions;
    shortOnlyOptions.withLongWork = false;
    const auto mixedArrivals = makeDemand(deployment, mixedOptions, seed);
    const auto shortOnlyArrivals = makeDemand(deployment, shortOnlyOptions, seed);
    ReplayOptions fifo;
    fifo.policy = QueuePolicy::Fifo;
    ReplayOptions classes;
    classes.limits.queueLength = 100000;
    const ReplayResult fifoMixed = replay(deployment, mixedArrivals, fifo);
    const ReplayResult fifoShortOnly = replay(deployment, shortOnlyArrivals, fifo);
    const ReplayResult classesMixed = replay(deployment, mixedArrivals, classes);
    const ReplayResult classesShortOnly = replay(deployment, shortOnlyArrivals, classes);
    printRow(deployment, seed, "short wait p99 ms, with long" + suffix, fifoMixed.shortWaitP99Ms(),
             classesMixed.shortWaitP99Ms(), "");
    printRow(deployment, seed, "short wait p99, with / without" + suffix,
             fifoMixed.shortWaitP99Ms() / std::max(minWaitMs, fifoShortOnly.shortWaitP99Ms()),
             classesMixed.shortWaitP99Ms() / std::max(minWaitMs, classesShortOnly.shortWaitP99Ms()),
             "ours <= 1.5");
    printRow(deployment, seed, "long work done in time, slot s" + suffix,
             fifoMixed.longWorkDoneMs / 1000, classesMixed.longWorkDoneMs / 1000, "ratio >= 0.95");
    if (peakLoad < 1) {
        return;
    }
    printRow(deployment, seed, "goodput in peaks, % of capacity",
             100 * fifoMixed.goodputInPeaksMs / fifoMixed.capacityInPeaksMs,
             100 * classesMixed.goodputInPeaksMs / classesMixed.capacityInPeaksMs, "ours >= 95");
}

/// Measures how many requests of plan 0, which stays within its allowance, are served while plan 1
/// exceeds its own.
void measureIsolation(const Deployment &deployment, std::uint64_t seed)
{
    Deployment belowCapacity = deployment;
    belowCapacity.peakLoad = 0.8;
    DemandOptions options;
    options.withLongWork = false;
    options.secondPlanFactor = 5;
    const auto arrivals = makeDemand(belowCapacity, options, seed);
    ReplayOptions fifo;
    fifo.policy = QueuePolicy::Fifo;
    ReplayOptions classes;
    // Each plan may use 0.7 of the pool, so that the allowances overcommit it. Plan 0 asks for 0.4.
    classes.ratePerPlan = 0.7 * belowCapacity.slots() / belowCapacity.shortRunMs * 1000;
    const ReplayResult baseline = replay(belowCapacity, arrivals, fifo);
    const ReplayResult candidate = replay(belowCapacity, arrivals, classes);
    const auto servedPercent = [](const ReplayResult &result) {
        return 100.0 * static_cast<double>(result.served[0])
                / static_cast<double>(result.offered[0]);
    };
    printRow(deployment, seed, "plan within allowance served, %", servedPercent(baseline),
             servedPercent(candidate), "ours >= 99");
    printRow(deployment, seed, "goodput in peaks with a flood, %",
             100 * baseline.goodputInPeaksMs / baseline.capacityInPeaksMs,
             100 * candidate.goodputInPeaksMs / candidate.capacityInPeaksMs, "ours >= 95");
}

/// Compares the sharing policies with LocalLeastLoaded.
void measureSharing(const Deployment &deployment, std::uint64_t seed)
{
    DemandOptions options;
    options.withLongWork = false;
    options.gateways = gatewayCount;
    options.durationMs = 120000;
    Deployment loaded = deployment;
    for (const double load : {0.7, 1.3}) {
        loaded.peakLoad = load;
        const auto arrivals = makeDemand(loaded, options, seed);
        struct Row
        {
            SharingPolicy policy;
            const char *name;
        };
        const SharingResult baseline = replaySharing(
                loaded, arrivals, SharingPolicy::LocalLeastLoaded, gatewayCount, seed);
        for (const Row &row :
             {Row{SharingPolicy::Shares, "shares"},
              Row{SharingPolicy::SharesWithProbe, "shares+probe"},
              Row{SharingPolicy::Adaptive, "adaptive"}, Row{SharingPolicy::Owner, "owner"}}) {
            const SharingResult result =
                    replaySharing(loaded, arrivals, row.policy, gatewayCount, seed);
            const std::string suffix =
                    std::string(", ") + row.name + ", peak " + (load < 1 ? "0.7" : "1.3");
            printRow(deployment, seed, "refused per 100" + suffix, baseline.refusedPer100,
                     result.refusedPer100, "");
            printRow(deployment, seed, "idle while waiting %" + suffix,
                     baseline.idleWhileWaitingPercent, result.idleWhileWaitingPercent, "");
            printRow(deployment, seed, "extra ms on the wire" + suffix, baseline.extraMs,
                     result.extraMs, "");
            printRow(deployment, seed, "wait p99 ms" + suffix, baseline.waitP99Ms, result.waitP99Ms,
                     "");
        }
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    cxxopts::Options options("measureTraffic",
                             "Measures the routing and admission decisions against baselines");
    options.add_options()("deployment", "chamdakam, saddlepoint or both",
                          cxxopts::value<std::string>()->default_value("both"))(
            "seed", "seed of the demand; repeatable",
            cxxopts::value<std::vector<std::uint64_t>>()->default_value("1,2,3"))(
            "part", "head-of-line, isolation, sharing or all",
            cxxopts::value<std::string>()->default_value("all"))("help", "prints this");
    const auto parsed = options.parse(argumentCount, arguments);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const std::string part = parsed["part"].as<std::string>();
    const std::string deploymentName = parsed["deployment"].as<std::string>();
    std::cout << std::left << std::setw(12) << "deployment" << std::setw(5) << "seed"
              << std::setw(44) << "measure" << std::right << std::setw(12) << "baseline"
              << std::setw(12) << "ours" << std::setw(9) << "ratio"
              << "  goal\n";
    for (const Deployment &deployment : {chamdakam(), saddlepoint()}) {
        if (deploymentName != "both" && deploymentName != deployment.name) {
            continue;
        }
        for (const std::uint64_t seed : parsed["seed"].as<std::vector<std::uint64_t>>()) {
            if (part == "all" || part == "head-of-line") {
                measureHeadOfLine(deployment, 0.7, seed);
                measureHeadOfLine(deployment, 1.3, seed);
            }
            if (part == "all" || part == "isolation") {
                measureIsolation(deployment, seed);
            }
            if (part == "all" || part == "sharing") {
                measureSharing(deployment, seed);
            }
        }
    }
    return 0;
}
