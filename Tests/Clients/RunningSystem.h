#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "Adapters/Peers/EventLoop.h"
#include "Clients/ProcessChecks.h"
#include "Soak/Deployment.h"
#include "Soak/WorkerFleet.h"
#include "Support/TemporaryFolder.h"

namespace dandelionloom::test {

std::string requestWithoutHeaders(const std::string &method, const std::string &path);
/// A request of a client that submits a job.
std::string submission(const std::string &job);

/// Three control instances, one gateway and three workers on loopback addresses.
class RunningSystem
{
public:
    /// Limits of the machine in the settings of each process.
    static constexpr ProcessBounds bounds{96, 400};
    static constexpr std::size_t controls = 3;
    static constexpr std::size_t gateway = controls;

    RunningSystem();
    ~RunningSystem() { m_loop.stop(); }
    RunningSystem(const RunningSystem &) = delete;
    RunningSystem &operator=(const RunningSystem &) = delete;

    std::string controlAddress() const { return m_deployment.controlAddresses().front(); }
    std::string gatewayAddress() const { return m_deployment.gatewayAddresses().front(); }
    std::string readinessAddress() const { return m_deployment.readinessAddresses().front(); }
    std::string metricsAddress(std::size_t process) const;
    /// Address at which a process listens to the other processes.
    std::string peerAddress(std::size_t process) const;

    /// Checks each process: it lives, and its memory and descriptors are within the settings.
    void checkProcesses() const;

private:
    soak::DeploymentOptions deploymentOptions() const;
    std::vector<scenario::ChildProcess *> processes() const;

    TemporaryFolder m_folder;
    soak::LoopbackNetwork m_network;
    soak::Findings m_findings;
    EventLoop m_loop;
    soak::Deployment m_deployment;
    soak::WorkerFleet m_workers;
};

} // namespace dandelionloom::test
