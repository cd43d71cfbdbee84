#include "Clients/RunningSystem.h"

#include <unistd.h>

#include <filesystem>

#include <cppunit/TestAssert.h>

#include "Clients/ClientCrowd.h"

namespace dandelionloom::test {

namespace {

constexpr std::uint16_t firstPort = 24000;
constexpr std::uint16_t workerPort = firstPort + 20;
/// The metrics port of all processes.
constexpr int metricsPort = 9464;

/// A request with all headers that clients send.
std::string requestWithBody(const std::string &method, const std::string &path,
                            const std::string &body)
{
    return method + " " + path
            + " HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"
              "X-Dandelionloom-Deadline-Ms: 15000\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string configurationRequest()
{
    return requestWithBody(
            "PUT", "/v1/config",
            R"({"version":1,"routes":[{"name":"main","host":"jobs.example","path_prefix":"/main/",)"
            R"("route_type":"unsafe","timeout_ms":3000,"target_latency_ms":600,"priority":0,)"
            R"("service":"service-a","max_attempts":3,"stretch":2.0}],)"
            R"("services":[{"name":"service-a","health_path":"/healthz","max_connections":64,)"
            R"("protocol":"h1","tls":false,"admission_control":true,"standby":false}],)"
            R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
            R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
}

} // namespace

std::string requestWithoutHeaders(const std::string &method, const std::string &path)
{
    return method + " " + path + " HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
}

std::string submission(const std::string &job)
{
    return requestWithBody(
            "POST", "/main/" + job,
            R"({"spec":"100","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":100}]})");
}

RunningSystem::RunningSystem()
    : m_network{200, static_cast<int>(::getpid()) % 32 * soak::LoopbackNetwork::subnets},
      m_deployment(deploymentOptions(), m_findings),
      m_workers(m_loop, {3, m_network, workerPort, "service-a", m_deployment.controlAddresses(), 1},
                m_findings)
{
    m_loop.start();
    m_loop.runAndWait([this] { m_workers.start(); });
    m_deployment.start();
    CPPUNIT_ASSERT_MESSAGE("the first configuration is acknowledged", eventually(processes(), [&] {
                               return statusOfRequest(controlAddress(), configurationRequest())
                                       == 200;
                           }));
    CPPUNIT_ASSERT_MESSAGE(
            "a job is accepted in calm", eventually(processes(), [&] {
                return statusOfRequest(gatewayAddress(), submission("00000000000000a1")) == 200;
            }));
}

std::string RunningSystem::metricsAddress(std::size_t process) const
{
    return m_deployment.process(process).ip + ":" + std::to_string(metricsPort);
}

std::string RunningSystem::peerAddress(std::size_t process) const
{
    const int offset = process < controls ? 0 : 1;
    return m_deployment.process(process).ip + ":" + std::to_string(firstPort + offset);
}

void RunningSystem::checkProcesses() const
{
    for (std::size_t index = 0; index < m_deployment.size(); ++index) {
        const soak::SystemProcess &process = m_deployment.process(index);
        checkProcess(process.name, *process.process, bounds);
    }
}

soak::DeploymentOptions RunningSystem::deploymentOptions() const
{
    soak::DeploymentOptions options;
    options.binaries = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    options.folder = m_folder.path();
    options.network = m_network;
    options.controls = controls;
    options.gateways = 1;
    options.firstPort = firstPort;
    options.listAddress = soak::WorkerFleet::listAddress(m_network, workerPort);
    options.additionalSettings = "[limits]\nmemory_mb = " + std::to_string(bounds.memoryMb)
            + "\nmax_open_files = " + std::to_string(bounds.descriptors) + "\n";
    return options;
}

std::vector<scenario::ChildProcess *> RunningSystem::processes() const
{
    std::vector<scenario::ChildProcess *> all;
    for (std::size_t index = 0; index < m_deployment.size(); ++index) {
        all.push_back(m_deployment.process(index).process.get());
    }
    return all;
}

} // namespace dandelionloom::test
