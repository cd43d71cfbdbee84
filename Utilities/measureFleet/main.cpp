#include <cstdint>
#include <exception>
#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include "Deployment.h"

using namespace dandelionloom;

int main(int argumentCount, char **arguments)
{
    cxxopts::Options options("measureFleet",
                             "Measures the fleet decisions against simple baselines.");
    options.add_options()("deployment", "chamdakam or saddlepoint",
                          cxxopts::value<std::string>()->default_value("chamdakam"))(
            "seed", "seed of every random choice",
            cxxopts::value<std::uint64_t>()->default_value("1"))("help", "show the options");
    try {
        const auto parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        const auto deployment = measure::deploymentOf(parsed["deployment"].as<std::string>());
        const auto seed = parsed["seed"].as<std::uint64_t>();
        std::cout << "# deployment " << deployment.name << ", seed " << seed << "\n"
                  << "measure (baseline), baseline, ours, ratio\n";
        measure::measureBuffer(deployment, seed);
        measure::measureRollOut(deployment, seed);
        measure::measureMoves(deployment, seed);
        measure::measurePlacement(deployment, seed);
        measure::measurePlanningTime(deployment, seed);
        return 0;
    } catch (const std::exception &exception) {
        std::cerr << "measureFleet: " << exception.what() << "\n";
        return 1;
    }
}
