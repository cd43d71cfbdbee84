#include "Soak/Deployment.h"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace dandelionloom::soak {

namespace {

constexpr std::int64_t graceMs = 6000;
/// A planned stop counts only if no other disruption was within this time.
constexpr std::int64_t calmMs = 3000;
constexpr int firstControlHost = 0;
constexpr int firstGatewayHost = 50;
/// Ports after the 16 for communication between the processes.
constexpr int controlPortOffset = 16;
constexpr int clientPortOffset = 17;
constexpr int readyPortOffset = 18;
constexpr int zones = 3;

} // namespace

Deployment::Deployment(DeploymentOptions options, Findings &findings)
    : m_options(std::move(options)), m_findings(findings)
{
    for (std::size_t index = 0; index < m_options.controls; ++index) {
        add("control", index);
    }
    for (std::size_t index = 0; index < m_options.gateways; ++index) {
        add("gateway", index);
    }
}

void Deployment::add(const std::string &role, std::size_t index)
{
    SystemProcess process;
    process.role = role;
    process.name = role + "-" + std::to_string(index);
    const int host =
            (role == "control" ? firstControlHost : firstGatewayHost) + static_cast<int>(index);
    process.ip = m_options.network.address(host);
    process.settingsPath = m_options.folder + "/" + process.name + ".toml";
    if (role == "control") {
        process.dataFolder = m_options.folder + "/" + process.name + ".data";
    }
    m_processes.push_back(std::move(process));
}

std::string Deployment::addressOf(const SystemProcess &process, int portOffset) const
{
    return process.ip + ":" + std::to_string(m_options.firstPort + portOffset);
}

void Deployment::writeSettings(const SystemProcess &process, bool bootstrap) const
{
    std::ofstream out(process.settingsPath);
    std::string seeds;
    for (std::size_t index = 0; index < std::min<std::size_t>(m_options.controls, 3); ++index) {
        seeds += (index > 0 ? ", \"" : "\"") + addressOf(m_processes[index], controlPortOffset)
                + "\"";
    }
    const bool control = process.role == "control";
    const std::size_t number = static_cast<std::size_t>(&process - m_processes.data());
    out << "ip = \"" << process.ip << "\"\nzone = \"zone-" << number % zones
        << "\"\ninternal_port_range = [" << m_options.firstPort << ", "
        << m_options.firstPort + controlPortOffset - 1 << "]\nseeds = [" << seeds
        << "]\nbootstrap = " << (bootstrap ? "true" : "false") << "\n";
    if (control) {
        out << "data_dir = \"" << process.dataFolder << "\"\n[bind_addrs]\ncontrol = \""
            << addressOf(process, controlPortOffset) << "\"\n";
    } else {
        out << "[bind_addrs]\nfront = \"" << addressOf(process, clientPortOffset)
            << "\"\nready = \"" << addressOf(process, readyPortOffset) << "\"\n";
    }
    out << "[fault_tolerance]\nmachines = " << (m_options.controls > 4 ? 2 : 1)
        << "\n[bounds]\ngrace_s = " << graceMs / 1000
        << "\nmax_hold_ms = 6000\nstop_grace_ms = 400\nstatus_s = 120\nlease_ms = 3000\n"
        << "[cloud]\naddress = \"" << m_options.listAddress << "\"\n"
        << m_options.additionalSettings;
}

void Deployment::startProcess(SystemProcess &process, bool bootstrap)
{
    if (process.wipeBeforeStart) {
        std::filesystem::remove_all(process.dataFolder);
        process.wipeBeforeStart = false;
    }
    if (!process.dataFolder.empty()) {
        std::filesystem::create_directories(process.dataFolder);
    }
    writeSettings(process, bootstrap);
    process.process = std::make_unique<scenario::ChildProcess>(
            std::vector<std::string>{m_options.binaries + "/dandelionloom", process.role},
            m_options.folder + "/" + process.name + ".log",
            std::vector<std::string>{"DANDELIONLOOM_NODE_FILE=" + process.settingsPath});
    process.endExpected = false;
    process.startAt = 0;
    process.resumeAt = 0;
    process.killAt = 0;
    process.startedAt = steadyTimeNow();
}

void Deployment::start()
{
    for (SystemProcess &process : m_processes) {
        startProcess(process, true);
    }
}

void Deployment::recordDisruption()
{
    const std::lock_guard lock(m_mutex);
    m_lastDisruption = steadyTimeNow();
}

void Deployment::scheduleStart(SystemProcess &process, std::int64_t delayMs)
{
    process.process.reset();
    process.resumeAt = 0;
    process.killAt = 0;
    process.startAt = steadyTimeNow() + delayMs;
}

void Deployment::update()
{
    const SteadyTimeMs now = steadyTimeNow();
    for (SystemProcess &process : m_processes) {
        if (!process.process) {
            if (now >= process.startAt) {
                recordDisruption();
                startProcess(process, false);
            }
            continue;
        }
        if (process.resumeAt != 0 && now >= process.resumeAt) {
            process.resumeAt = 0;
            recordDisruption();
            process.process->signal(SIGCONT);
        }
        if (process.killAt != 0 && now >= process.killAt) {
            process.process->signal(SIGKILL);
        }
        if (!process.process->isRunning()) {
            if (!process.endExpected) {
                m_findings.add("ENDED",
                               process.name + " ended by itself with code "
                                       + std::to_string(process.process->wait()));
            }
            scheduleStart(process, std::max<std::int64_t>(process.startAt - now, 0));
        }
    }
}

void Deployment::kill(std::size_t index, std::int64_t restartAfterMs, bool wipe)
{
    SystemProcess &process = m_processes.at(index);
    recordDisruption();
    process.wipeBeforeStart = process.wipeBeforeStart || wipe;
    if (process.process) {
        process.endExpected = true;
        scheduleStart(process, restartAfterMs);
    }
}

void Deployment::terminate(std::size_t index, std::int64_t restartAfterMs)
{
    SystemProcess &process = m_processes.at(index);
    if (!process.process || process.killAt != 0) {
        return;
    }
    const SteadyTimeMs now = steadyTimeNow();
    process.endExpected = true;
    process.killAt = now + graceMs;
    process.startAt = now + restartAfterMs;
    {
        const std::lock_guard lock(m_mutex);
        if (process.role == "gateway") {
            m_plannedStops[addressOf(process, clientPortOffset)] = now;
        }
    }
    process.process->signal(SIGTERM);
}

void Deployment::suspend(std::size_t index, std::int64_t milliseconds)
{
    SystemProcess &process = m_processes.at(index);
    if (process.process) {
        recordDisruption();
        process.process->signal(SIGSTOP);
        process.resumeAt = std::max(process.resumeAt, steadyTimeNow() + milliseconds);
    }
}

void Deployment::reload(std::size_t index)
{
    if (m_processes.at(index).process) {
        m_processes.at(index).process->signal(SIGHUP);
    }
}

void Deployment::heal()
{
    for (SystemProcess &process : m_processes) {
        process.startAt = 0;
        if (process.process && process.resumeAt != 0) {
            process.resumeAt = 0;
            process.process->signal(SIGCONT);
        }
    }
}

bool Deployment::isCalm(std::int64_t milliseconds) const
{
    const std::lock_guard lock(m_mutex);
    return steadyTimeNow() - m_lastDisruption >= milliseconds;
}

std::vector<std::string> Deployment::controlAddresses() const
{
    std::vector<std::string> addresses;
    for (std::size_t index = 0; index < m_options.controls; ++index) {
        addresses.push_back(addressOf(m_processes[index], controlPortOffset));
    }
    return addresses;
}

std::vector<std::string> Deployment::gatewayAddresses() const
{
    std::vector<std::string> addresses;
    for (std::size_t index = m_options.controls; index < m_processes.size(); ++index) {
        addresses.push_back(addressOf(m_processes[index], clientPortOffset));
    }
    return addresses;
}

std::vector<std::string> Deployment::readinessAddresses() const
{
    std::vector<std::string> addresses;
    for (std::size_t index = m_options.controls; index < m_processes.size(); ++index) {
        addresses.push_back(addressOf(m_processes[index], readyPortOffset));
    }
    return addresses;
}

SteadyTimeMs Deployment::plannedStopSince(const std::string &gatewayAddress) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_plannedStops.find(gatewayAddress);
    if (found == m_plannedStops.end() || m_lastDisruption + calmMs > found->second
        || steadyTimeNow() - found->second > graceMs) {
        return 0;
    }
    return found->second;
}

} // namespace dandelionloom::soak
