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

/// A wait without long work below this is taken as this, the resolution of the product's clock.
constexpr double leastWaitMs = 1;

void printRow(const Deployment &deployment, std::uint64_t seed, const std::string &measure,
              double baseline, double ours, const std::string &goal)
{
    std::cout << std::left << std::setw(12) << deployment.name << std::setw(5) << seed
              << std::setw(44) << measure << std::right << std::fixed << std::setprecision(2)
              << std::setw(12) << baseline << std::setw(12) << ours << std::setw(9)
              << (baseline != 0 ? ours / baseline : 0) << "  " << goal << "\n";
}

/// Wait of short work with and without long work, and what long work loses.
void measureHeadOfLine(const Deployment &original, double peakLoad, std::uint64_t seed)
{
    Deployment deployment = original;
    deployment.peakLoad = peakLoad;
    const std::string suffix = peakLoad < 1 ? ", peak 0.7" : ", peak 1.3";
    DemandOptions withLong;
    DemandOptions withoutLong;
    withoutLong.withLong = false;
    const auto mixed = makeDemand(deployment, withLong, seed);
    const auto alone = makeDemand(deployment, withoutLong, seed);
    ReplayOptions fifo;
    fifo.policy = QueuePolicy::Fifo;
    ReplayOptions classes;
    classes.limits.queueLength = 100000;
    const ReplayResult fifoMixed = replay(deployment, mixed, fifo);
    const ReplayResult fifoAlone = replay(deployment, alone, fifo);
    const ReplayResult oursMixed = replay(deployment, mixed, classes);
    const ReplayResult oursAlone = replay(deployment, alone, classes);
    printRow(deployment, seed, "short wait p99 ms, with long" + suffix, fifoMixed.shortWaitP99Ms(),
             oursMixed.shortWaitP99Ms(), "");
    printRow(deployment, seed, "short wait p99, with / without" + suffix,
             fifoMixed.shortWaitP99Ms() / std::max(leastWaitMs, fifoAlone.shortWaitP99Ms()),
             oursMixed.shortWaitP99Ms() / std::max(leastWaitMs, oursAlone.shortWaitP99Ms()),
             "ours <= 1.5");
    printRow(deployment, seed, "long work done in time, slot s" + suffix,
             fifoMixed.longWorkDoneMs / 1000, oursMixed.longWorkDoneMs / 1000, "ratio >= 0.95");
    if (peakLoad < 1) {
        return;
    }
    printRow(deployment, seed, "goodput in peaks, % of capacity",
             100 * fifoMixed.goodputInPeaksMs / fifoMixed.capacityInPeaksMs,
             100 * oursMixed.goodputInPeaksMs / oursMixed.capacityInPeaksMs, "ours >= 95");
}

/// One plan floods its queue; the other stays within its allowance.
void measureIsolation(const Deployment &deployment, std::uint64_t seed)
{
    Deployment lighter = deployment;
    lighter.peakLoad = 0.8;
    DemandOptions options;
    options.withLong = false;
    options.secondPlanFactor = 5;
    const auto arrivals = makeDemand(lighter, options, seed);
    ReplayOptions fifo;
    fifo.policy = QueuePolicy::Fifo;
    ReplayOptions classes;
    // Each plan may use 0.7 of the pool: together more than it has. Plan 0 asks for 0.4.
    classes.ratePerPlan = 0.7 * lighter.slots() / lighter.shortRunMs * 1000;
    const ReplayResult baseline = replay(lighter, arrivals, fifo);
    const ReplayResult ours = replay(lighter, arrivals, classes);
    const auto servedPercent = [](const ReplayResult &result) {
        return 100.0 * static_cast<double>(result.served[0])
                / static_cast<double>(result.offered[0]);
    };
    printRow(deployment, seed, "plan within allowance served, %", servedPercent(baseline),
             servedPercent(ours), "ours >= 99");
    printRow(deployment, seed, "goodput in peaks with a flood, %",
             100 * baseline.goodputInPeaksMs / baseline.capacityInPeaksMs,
             100 * ours.goodputInPeaksMs / ours.capacityInPeaksMs, "ours >= 95");
}

void measureSharing(const Deployment &deployment, std::uint64_t seed)
{
    DemandOptions options;
    options.withLong = false;
    options.gateways = gatewayCount;
    options.durationMs = 120000;
    Deployment busy = deployment;
    for (const double load : {0.7, 1.3}) {
        busy.peakLoad = load;
        const auto arrivals = makeDemand(busy, options, seed);
        struct Row
        {
            SharingPolicy policy;
            const char *name;
        };
        const SharingResult alone =
                replaySharing(busy, arrivals, SharingPolicy::Alone, gatewayCount, seed);
        for (const Row &row :
             {Row{SharingPolicy::Shares, "shares"},
              Row{SharingPolicy::SharesWithProbe, "shares+probe"},
              Row{SharingPolicy::Adaptive, "adaptive"}, Row{SharingPolicy::Owner, "owner"}}) {
            const SharingResult other =
                    replaySharing(busy, arrivals, row.policy, gatewayCount, seed);
            const std::string suffix =
                    std::string(", ") + row.name + ", peak " + (load < 1 ? "0.7" : "1.3");
            printRow(deployment, seed, "refused per 100" + suffix, alone.refusedPer100,
                     other.refusedPer100, "");
            printRow(deployment, seed, "idle while waiting %" + suffix,
                     alone.idleWhileWaitingPercent, other.idleWhileWaitingPercent, "");
            printRow(deployment, seed, "extra ms on the wire" + suffix, alone.extraMs,
                     other.extraMs, "");
            printRow(deployment, seed, "wait p99 ms" + suffix, alone.waitP99Ms, other.waitP99Ms,
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
    const std::string wanted = parsed["deployment"].as<std::string>();
    std::cout << std::left << std::setw(12) << "deployment" << std::setw(5) << "seed"
              << std::setw(44) << "measure" << std::right << std::setw(12) << "baseline"
              << std::setw(12) << "ours" << std::setw(9) << "ratio"
              << "  goal\n";
    for (const Deployment &deployment : {chamdakam(), saddlepoint()}) {
        if (wanted != "both" && wanted != deployment.name) {
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
