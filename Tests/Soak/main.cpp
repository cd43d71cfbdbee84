#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <thread>

#include <cxxopts.hpp>

#include "Adapters/Peers/EventLoop.h"
#include "Model/EnumNames.h"
#include "Soak/Callers.h"
#include "Soak/Deployment.h"
#include "Soak/Operators.h"
#include "Soak/WorkerFleet.h"

using namespace dandelionloom;
using namespace dandelionloom::soak;

namespace {

constexpr const char *host = "jobs.example";
constexpr const char *pathPrefix = "/main/";
constexpr const char *service = "service-a";
constexpr Milliseconds updateInterval{5};
/// Time for the first leader, the first configuration and the workers' announcements.
constexpr std::int64_t startLimitMs = 30000;
/// Time after the last fault in which all accepted jobs must have ended.
constexpr std::int64_t finishLimitMs = 26000;
constexpr std::int64_t wipeIntervalMs = 15000;

struct RunOptions
{
    std::string binaries;
    std::uint64_t seed = 1;
    std::int64_t seconds = 20;
    std::size_t workers = 12;
    std::size_t controls = 3;
    std::size_t gateways = 3;
};

/// Kinds of runs: which faults come, and how close to each other.
enum class FaultPattern { Storm, Mixed, Planned };

/// One run: a deployment under load, random faults, and then the checks of what must be whole.
class SoakRun
{
public:
    SoakRun(const RunOptions &options, const std::string &folder)
        : m_options(options), m_random(options.seed),
          m_pattern(static_cast<FaultPattern>(options.seed % 3)),
          m_network{64 + static_cast<int>(options.seed % 128),
                    static_cast<int>(::getpid()) % 32 * LoopbackNetwork::subnets},
          m_deployment(deploymentOptions(options, folder), m_findings),
          m_fleet(m_loop, fleetOptions(), m_findings),
          m_callers(m_loop, callersOptions(), m_fleet, m_findings),
          m_operators(m_loop, operatorsOptions(), m_findings)
    {
        m_callers.plannedStopSince = [this](const std::string &gateway) {
            return m_deployment.plannedStopSince(gateway);
        };
    }

    ~SoakRun() { m_loop.stop(); }

    void run()
    {
        m_loop.setErrorHandler(
                [this](const std::string &message) { m_findings.add("HARNESS", message); });
        m_loop.start();
        m_loop.runAndWait([this] { m_fleet.start(); });
        m_deployment.start();
        m_loop.runAndWait([this] { m_operators.start(); });
        if (!updateUntil(startLimitMs, [this] { return m_operators.isConfigured(); })) {
            m_findings.add("START", "the first configuration was not acknowledged");
            return;
        }
        m_loop.runAndWait([this] { m_callers.start(); });
        const SteadyTimeMs end = steadyTimeNow() + m_options.seconds * 1000;
        SteadyTimeMs nextFault = steadyTimeNow() + 2000;
        updateUntil(m_options.seconds * 1000, [&] {
            if (steadyTimeNow() >= nextFault) {
                injectFault();
                nextFault = steadyTimeNow() + pauseMs();
            }
            return steadyTimeNow() >= end;
        });
        finish();
    }

    const Findings &findings() const { return m_findings; }

    std::string summary()
    {
        std::string text;
        m_loop.runAndWait([&] {
            text = std::to_string(m_callers.acceptedCount()) + " jobs accepted, "
                    + std::to_string(m_callers.completedCount()) + " completed, "
                    + std::to_string(m_callers.cancelledJobs().size()) + " cancelled, "
                    + std::to_string(m_fleet.starts()) + " starts, "
                    + std::to_string(m_operators.acknowledgedCount()) + " changes, "
                    + std::to_string(m_operators.readCount()) + " reads, "
                    + std::to_string(m_operators.probeCount()) + " probes, "
                    + std::to_string(m_faults) + " faults";
        });
        return text;
    }

private:
    static std::uint16_t firstPort(std::uint64_t seed)
    {
        return static_cast<std::uint16_t>(21000 + seed * 37 % 8000);
    }

    DeploymentOptions deploymentOptions(const RunOptions &options, const std::string &folder) const
    {
        DeploymentOptions deployment;
        deployment.binaries = options.binaries;
        deployment.folder = folder;
        deployment.network = m_network;
        deployment.controls = options.controls;
        deployment.gateways = options.gateways;
        deployment.firstPort = firstPort(options.seed);
        deployment.listAddress = WorkerFleet::listAddress(m_network, workerPort(options.seed));
        return deployment;
    }

    static std::uint16_t workerPort(std::uint64_t seed)
    {
        return static_cast<std::uint16_t>(firstPort(seed) + 20);
    }

    FleetOptions fleetOptions() const
    {
        return {m_options.workers,
                m_network,
                workerPort(m_options.seed),
                service,
                m_deployment.controlAddresses(),
                m_options.seed};
    }

    CallersOptions callersOptions() const
    {
        return {m_options.workers / 2 + 2, m_deployment.gatewayAddresses(), host, pathPrefix,
                m_options.seed + 1};
    }

    OperatorsOptions operatorsOptions() const
    {
        return {m_deployment.controlAddresses(),
                m_deployment.gatewayAddresses(),
                host,
                pathPrefix,
                service,
                m_options.seed + 2};
    }

    bool updateUntil(std::int64_t limitMs, const std::function<bool()> &condition)
    {
        const SteadyTimeMs end = steadyTimeNow() + limitMs;
        for (;;) {
            m_deployment.update();
            bool holds = false;
            m_loop.runAndWait([&] { holds = condition(); });
            if (holds || steadyTimeNow() >= end) {
                return holds;
            }
            std::this_thread::sleep_for(updateInterval);
        }
    }

    std::int64_t below(std::int64_t limit)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(limit));
    }

    std::int64_t pauseMs()
    {
        switch (m_pattern) {
        case FaultPattern::Storm:
            return 50 + below(1200);
        case FaultPattern::Mixed:
            return 500 + below(3500);
        case FaultPattern::Planned:
            return 4000 + below(3000);
        }
        return 0;
    }

    /// Called on the loop's thread, while the main thread waits.
    void injectFault()
    {
        ++m_faults;
        const auto process =
                static_cast<std::size_t>(below(static_cast<std::int64_t>(m_deployment.size())));
        if (m_pattern == FaultPattern::Planned) {
            below(4) == 0 ? m_deployment.reload(process)
                          : m_deployment.terminate(process, 200 + below(1500));
            disturbWorkers(2);
            return;
        }
        switch (below(9)) {
        case 0:
            m_deployment.kill(process, below(3000));
            break;
        case 1:
            m_deployment.terminate(process, 200 + below(1500));
            break;
        case 2:
        case 3:
            m_deployment.suspend(process, 50 + below(6000));
            break;
        case 4:
            m_deployment.reload(process);
            break;
        case 5:
            wipeControl();
            break;
        case 6:
            if (below(4) == 0) {
                for (std::size_t index = 0; index < m_deployment.controlCount(); ++index) {
                    m_deployment.kill(index, below(1000));
                }
            }
            break;
        default:
            break;
        }
        disturbWorkers(6);
    }

    /// Replaces the disk of a control instance by an empty one. The deployment bears the loss of
    /// one disk at a time.
    void wipeControl()
    {
        const SteadyTimeMs now = steadyTimeNow();
        if (now < m_nextWipe || !m_deployment.isCalm(3000)) {
            return;
        }
        m_nextWipe = now + wipeIntervalMs;
        m_deployment.kill(static_cast<std::size_t>(
                                  below(static_cast<std::int64_t>(m_deployment.controlCount()))),
                          below(2000), true);
    }

    void disturbWorkers(std::int64_t kinds)
    {
        const auto worker =
                static_cast<std::size_t>(below(static_cast<std::int64_t>(m_fleet.size())));
        const auto control = static_cast<std::size_t>(
                below(static_cast<std::int64_t>(m_deployment.controlCount())));
        switch (below(kinds)) {
        case 0:
            m_fleet.leave(worker, control, 200 + below(2000));
            break;
        case 1:
            m_fleet.restart(worker);
            break;
        case 2:
            m_fleet.crash(worker);
            m_loop.startTimer(Milliseconds(below(8000)),
                              [this, worker] { m_fleet.restart(worker); });
            break;
        case 3:
            m_fleet.setCut(worker, true);
            m_loop.startTimer(Milliseconds(500 + below(9000)),
                              [this, worker] { m_fleet.setCut(worker, false); });
            break;
        case 4:
            m_fleet.setAnswerFaults({0.2 * static_cast<double>(below(3)),
                                     0.2 * static_cast<double>(below(3)),
                                     0.2 * static_cast<double>(below(3))});
            break;
        default:
            m_fleet.setAnswerFaults({});
            break;
        }
    }

    void finish()
    {
        m_deployment.heal();
        m_loop.runAndWait([this] {
            m_fleet.healAll();
            m_callers.stopSubmitting();
            m_operators.stopChanges();
        });
        const bool finished = updateUntil(finishLimitMs, [this] {
            return m_callers.unfinishedJobs().empty() && m_operators.isIdle()
                    && m_operators.lastRead() >= m_operators.newestVersion()
                    && m_fleet.runningTasksOf(m_callers.cancelledJobs()) == 0;
        });
        if (finished) {
            return;
        }
        m_loop.runAndWait([this] {
            for (const std::string &job : m_callers.unfinishedJobs()) {
                m_findings.add("LOST", "accepted job " + job + " has not ended");
            }
            if (!m_operators.isIdle()) {
                m_findings.add("CONFIG", "a valid change was not acknowledged");
            }
            if (m_operators.lastRead() < m_operators.newestVersion()) {
                m_findings.add("CONFIG",
                               "read back at the end: version "
                                       + std::to_string(m_operators.lastRead()) + ", acknowledged "
                                       + std::to_string(m_operators.newestVersion()));
            }
            if (m_fleet.runningTasksOf(m_callers.cancelledJobs()) != 0) {
                m_findings.add("UNASKED", "tasks of cancelled jobs are still running");
            }
        });
    }

    const RunOptions m_options;
    std::mt19937_64 m_random;
    const FaultPattern m_pattern;
    const LoopbackNetwork m_network;
    Findings m_findings;
    EventLoop m_loop;
    Deployment m_deployment;
    WorkerFleet m_fleet;
    Callers m_callers;
    Operators m_operators;
    std::size_t m_faults = 0;
    SteadyTimeMs m_nextWipe = 0;
};

void raiseDescriptorLimit()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

std::set<std::string> readKnownFailures(const std::string &path)
{
    std::set<std::string> names;
    std::ifstream file(path);
    const std::string prefix = "test: ";
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(prefix)) {
            names.insert(line.substr(prefix.size()));
        }
    }
    return names;
}

enum class RunResult { Passed, KnownRed, Failed };
constexpr EnumNames<RunResult, 3> runResultNames{{"passed", "known red", "failed"}};

RunResult runSeed(const RunOptions &options, const std::set<std::string> &knownFailures)
{
    std::string folder = std::filesystem::temp_directory_path() / "dandelionloom-soak-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder for the run");
    }
    SoakRun run(options, folder);
    run.run();
    const bool passed = run.findings().count() == 0;
    const std::string name = "soak seed " + std::to_string(options.seed);
    const RunResult result = passed        ? RunResult::Passed
            : knownFailures.contains(name) ? RunResult::KnownRed
                                           : RunResult::Failed;
    std::cout << name << ": " << runResultNames.name(result) << " (" << run.summary() << ")"
              << std::endl;
    for (const std::string &line : run.findings().lines()) {
        std::cout << "  " << line << std::endl;
    }
    if (passed) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << "  logs: " << folder << std::endl;
    }
    return result;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    cxxopts::Options options("dandelionloomSoak",
                             "Runs control instances and gateways under load and random faults");
    options.add_options()("binaries", "folder of the programs",
                          cxxopts::value<std::string>()->default_value("build"))(
            "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "count", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "seconds", "duration of the faults",
            cxxopts::value<std::int64_t>()->default_value("20"))(
            "workers", "number of workers", cxxopts::value<std::size_t>()->default_value("12"))(
            "controls", "number of control instances",
            cxxopts::value<std::size_t>()->default_value("3"))(
            "gateways", "number of gateways", cxxopts::value<std::size_t>()->default_value("3"))(
            "known-red", "list of tests that may fail",
            cxxopts::value<std::string>()->default_value("KNOWN-RED.txt"));
    const auto parsed = options.parse(argumentCount, arguments);
    std::signal(SIGPIPE, SIG_IGN);
    raiseDescriptorLimit();
    RunOptions run;
    run.binaries = std::filesystem::absolute(parsed["binaries"].as<std::string>());
    run.seconds = parsed["seconds"].as<std::int64_t>();
    run.workers = parsed["workers"].as<std::size_t>();
    run.controls = parsed["controls"].as<std::size_t>();
    run.gateways = parsed["gateways"].as<std::size_t>();
    const std::uint64_t first = parsed["seed"].as<std::uint64_t>();
    const std::uint64_t count = parsed["count"].as<std::uint64_t>();
    const auto knownFailures = readKnownFailures(parsed["known-red"].as<std::string>());
    std::map<RunResult, std::uint64_t> results;
    for (run.seed = first; run.seed < first + count; ++run.seed) {
        ++results[runSeed(run, knownFailures)];
    }
    std::cout << results[RunResult::Passed] << " passed, " << results[RunResult::Failed]
              << " failed" << std::endl;
    return results[RunResult::Failed] == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
