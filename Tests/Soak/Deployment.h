#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Model/Time.h"
#include "Scenarios/ChildProcess.h"
#include "Soak/Findings.h"
#include "Soak/LoopbackNetwork.h"

namespace dandelionloom::soak {

struct DeploymentOptions
{
    /// Folder of the programs.
    std::string binaries;
    /// Folder for settings, data and logs.
    std::string folder;
    LoopbackNetwork network;
    std::size_t controls = 3;
    std::size_t gateways = 3;
    /// Address of the platform's list of instances.
    std::string listAddress;
    std::uint16_t firstPort = 0;
    /// Appended to the settings of each process: whole lines of further sections.
    std::string additionalSettings;
};

/// One process of the system under test. Signals may overlap: a stopped process can be told to
/// terminate, and a process that was killed starts again after a delay.
struct SystemProcess
{
    std::string name;
    std::string role;
    std::string ip;
    std::string settingsPath;
    std::string dataFolder;
    std::unique_ptr<scenario::ChildProcess> process;
    /// The process was told to end, so its end is not a finding.
    bool endExpected = false;
    bool wipeBeforeStart = false;
    SteadyTimeMs startAt = 0;
    /// End of its suspension, and of its time to terminate; 0 if there is none.
    SteadyTimeMs resumeAt = 0;
    SteadyTimeMs killAt = 0;
    SteadyTimeMs startedAt = 0;
};

/// The processes of a deployment. Used on one thread, but for plannedStopSince().
class Deployment
{
public:
    Deployment(DeploymentOptions options, Findings &findings);

    void start();
    /// Must be called every few milliseconds: resumes, kills and starts what is due, and reports
    /// processes that ended by themselves.
    void update();

    std::size_t size() const { return m_processes.size(); }
    std::size_t controlCount() const { return m_options.controls; }
    const SystemProcess &process(std::size_t index) const { return m_processes.at(index); }
    bool isRunning(std::size_t index) const { return m_processes.at(index).process != nullptr; }

    void kill(std::size_t index, std::int64_t restartAfterMs, bool wipe = false);
    /// SIGTERM; SIGKILL follows after the grace period.
    void terminate(std::size_t index, std::int64_t restartAfterMs);
    void suspend(std::size_t index, std::int64_t milliseconds);
    void reload(std::size_t index);
    /// Resumes and starts everything.
    void heal();
    /// True if no process was killed, suspended or started within the last `milliseconds`.
    bool isCalm(std::int64_t milliseconds) const;

    std::vector<std::string> controlAddresses() const;
    std::vector<std::string> gatewayAddresses() const;
    std::vector<std::string> readinessAddresses() const;
    /// Time of the SIGTERM of a gateway, if nothing but planned stops happened since 3 s before it;
    /// otherwise 0. Thread-safe.
    SteadyTimeMs plannedStopSince(const std::string &gatewayAddress) const;

private:
    void add(const std::string &role, std::size_t index);
    void writeSettings(const SystemProcess &process, bool bootstrap) const;
    void startProcess(SystemProcess &process, bool bootstrap);
    void scheduleStart(SystemProcess &process, std::int64_t delayMs);
    void recordDisruption();
    std::string addressOf(const SystemProcess &process, int portOffset) const;

    const DeploymentOptions m_options;
    Findings &m_findings;
    std::vector<SystemProcess> m_processes;
    mutable std::mutex m_mutex;
    std::map<std::string, SteadyTimeMs> m_plannedStops;
    SteadyTimeMs m_lastDisruption = 0;
};

} // namespace dandelionloom::soak
