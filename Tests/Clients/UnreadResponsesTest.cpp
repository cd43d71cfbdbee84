#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

#include "Adapters/Peers/EventLoop.h"
#include "Clients/ClientCrowd.h"
#include "Soak/Deployment.h"
#include "Soak/WorkerFleet.h"
#include "Support/Section.h"
#include "Support/TemporaryFolder.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// Limits of the machine in the settings of each process. A crowd sends twice the memory, or opens
/// half as many connections again as there are descriptors.
constexpr std::size_t memoryMb = 96;
constexpr std::size_t maxOpenFiles = 400;
constexpr std::size_t kilobytesPerMb = 1024;
constexpr std::size_t crowdConnections = 48;
constexpr std::size_t crowdBytesPerConnection = 4 * 1024 * 1024;
constexpr std::size_t manyConnections = 600;
constexpr std::size_t manyConnectionsBytes = 16 * 1024;

constexpr std::uint16_t firstPort = 24000;
constexpr std::uint16_t workerPort = firstPort + 20;
/// The metrics port of all processes.
constexpr int metricsPort = 9464;
constexpr Milliseconds retryInterval{20};
/// For the first leader, the configuration and the workers' announcements.
constexpr std::int64_t startLimitMs = 30000;
constexpr std::size_t firstControl = 0;
constexpr std::size_t controls = 3;
constexpr std::size_t gateway = controls;

/// A request with all headers that clients send.
std::string requestWithBody(const std::string &method, const std::string &path,
                            const std::string &body)
{
    return method + " " + path
            + " HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"
              "X-Dandelionloom-Deadline-Ms: 15000\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string requestWithoutHeaders(const std::string &method, const std::string &path)
{
    return method + " " + path + " HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
}

std::string requestWithoutHost(const std::string &method, const std::string &path)
{
    return method + " " + path + " HTTP/1.0\r\n\r\n";
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

std::string submission(const std::string &job)
{
    return requestWithBody(
            "POST", "/main/" + job,
            R"({"spec":"100","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":100}]})");
}

/// Three control instances, one gateway and three workers on loopback addresses.
class RunningSystem
{
public:
    RunningSystem()
        : m_network{200, static_cast<int>(::getpid()) % 32 * soak::LoopbackNetwork::subnets},
          m_deployment(deploymentOptions(), m_findings),
          m_workers(m_loop,
                    {3, m_network, workerPort, "service-a", m_deployment.controlAddresses(), 1},
                    m_findings)
    {
        m_loop.start();
        m_loop.runAndWait([this] { m_workers.start(); });
        m_deployment.start();
        CPPUNIT_ASSERT_MESSAGE("the first configuration is acknowledged", eventually([this] {
                                   return statusOfRequest(controlAddress(), configurationRequest())
                                           == 200;
                               }));
        CPPUNIT_ASSERT_MESSAGE(
                "a job is accepted in calm", eventually([this] {
                    return statusOfRequest(gatewayAddress(), submission("00000000000000a1")) == 200;
                }));
    }

    ~RunningSystem() { m_loop.stop(); }

    std::string controlAddress() const { return m_deployment.controlAddresses().at(firstControl); }
    std::string gatewayAddress() const { return m_deployment.gatewayAddresses().front(); }
    std::string readinessAddress() const { return m_deployment.readinessAddresses().front(); }
    std::string metricsAddress(std::size_t process) const
    {
        return m_deployment.process(process).ip + ":" + std::to_string(metricsPort);
    }

    /// Checks each process: it lives, and its memory and descriptors are within the settings.
    void checkProcesses() const
    {
        for (std::size_t index = 0; index < m_deployment.size(); ++index) {
            const soak::SystemProcess &process = m_deployment.process(index);
            CPPUNIT_ASSERT_MESSAGE(process.name + " lives", process.process->isRunning());
            const std::size_t peakKb = peakMemoryKb(process.process->id());
            CPPUNIT_ASSERT_MESSAGE(process.name + ": expected a peak of at most "
                                           + std::to_string(memoryMb * kilobytesPerMb)
                                           + " kB of memory, found " + std::to_string(peakKb),
                                   peakKb <= memoryMb * kilobytesPerMb);
            const std::size_t descriptors = openDescriptors(process.process->id());
            CPPUNIT_ASSERT_MESSAGE(process.name + ": expected at most "
                                           + std::to_string(maxOpenFiles) + " descriptors, found "
                                           + std::to_string(descriptors),
                                   descriptors <= maxOpenFiles);
        }
    }

private:
    soak::DeploymentOptions deploymentOptions() const
    {
        soak::DeploymentOptions options;
        options.binaries = std::filesystem::read_symlink("/proc/self/exe").parent_path();
        options.folder = m_folder.path();
        options.network = m_network;
        options.controls = controls;
        options.gateways = 1;
        options.firstPort = firstPort;
        options.listAddress = soak::WorkerFleet::listAddress(m_network, workerPort);
        options.additionalSettings = "[limits]\nmemory_mb = " + std::to_string(memoryMb)
                + "\nmax_open_files = " + std::to_string(maxOpenFiles) + "\n";
        return options;
    }

    static bool eventually(const std::function<bool()> &condition)
    {
        const SteadyTimeMs end = steadyTimeNow() + startLimitMs;
        while (!condition()) {
            if (steadyTimeNow() >= end) {
                return false;
            }
            std::this_thread::sleep_for(retryInterval);
        }
        return true;
    }

    static std::size_t peakMemoryKb(pid_t process)
    {
        std::ifstream status("/proc/" + std::to_string(process) + "/status");
        const std::string prefix = "VmHWM:";
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(prefix)) {
                return std::stoul(line.substr(prefix.size()));
            }
        }
        CPPUNIT_FAIL("no peak memory of process " + std::to_string(process));
        return 0;
    }

    static std::size_t openDescriptors(pid_t process)
    {
        const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process)
                                                          + "/fd");
        return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

    TemporaryFolder m_folder;
    soak::LoopbackNetwork m_network;
    soak::Findings m_findings;
    EventLoop m_loop;
    soak::Deployment m_deployment;
    soak::WorkerFleet m_workers;
};

/// Lets a crowd send its requests; then, with the crowd still connected, checks the processes and
/// that `ordinary` and a submission are answered with success.
void checkWithCrowd(RunningSystem &system, ClientCrowdOptions options, const std::string &ordinary)
{
    const std::string address = options.address;
    ClientCrowd crowd(options);
    crowd.send();
    section("processes are within the limits of their machines", [&] { system.checkProcesses(); });
    section("an ordinary request at the same address is answered",
            [&] { CPPUNIT_ASSERT_EQUAL(200, statusOfRequest(address, ordinary)); });
    section("a job is accepted", [&] {
        CPPUNIT_ASSERT_EQUAL(
                200, statusOfRequest(system.gatewayAddress(), submission("00000000000000a2")));
    });
    section("processes are still within the limits", [&] { system.checkProcesses(); });
}

ClientCrowdOptions crowdAt(const std::string &address, std::vector<std::string> requests)
{
    return {address, crowdConnections, crowdBytesPerConnection, std::move(requests)};
}

} // namespace

/// Clients that send requests ahead and read no responses, against the processes of the system.
class UnreadResponsesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnreadResponsesTest);
    CPPUNIT_TEST(gatewayWithoutUsualHeaders);
    CPPUNIT_TEST(gatewayReadiness);
    CPPUNIT_TEST(gatewayUnknownPaths);
    CPPUNIT_TEST(controlWithoutUsualHeaders);
    CPPUNIT_TEST(controlReadiness);
    CPPUNIT_TEST(controlUnknownPaths);
    CPPUNIT_TEST(gatewayMetrics);
    CPPUNIT_TEST(moreConnectionsThanDescriptors);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a gateway that runs out of memory by requests it has read ahead.
    void gatewayWithoutUsualHeaders()
    {
        RunningSystem system;
        checkWithCrowd(system,
                       crowdAt(system.gatewayAddress(),
                               {requestWithoutHeaders("GET", "/main/"),
                                requestWithoutHost("GET", "/main/")}),
                       submission("00000000000000a3"));
    }

    /// Guards against a readiness listener that holds unread responses without a limit.
    void gatewayReadiness()
    {
        RunningSystem system;
        checkWithCrowd(
                system,
                crowdAt(system.readinessAddress(), {requestWithoutHeaders("GET", "/v1/readyz")}),
                requestWithoutHeaders("GET", "/v1/readyz"));
    }

    /// Guards against unread refusals that a gateway holds without a limit.
    void gatewayUnknownPaths()
    {
        RunningSystem system;
        checkWithCrowd(system,
                       crowdAt(system.gatewayAddress(),
                               {requestWithoutHeaders("GET", "/no-route/0123456789abcdef")}),
                       submission("00000000000000a3"));
    }

    /// Guards against a control instance that runs out of memory by requests it has read ahead.
    void controlWithoutUsualHeaders()
    {
        RunningSystem system;
        checkWithCrowd(system,
                       crowdAt(system.controlAddress(),
                               {requestWithoutHeaders("GET", "/v1/config"),
                                requestWithoutHost("GET", "/v1/config")}),
                       requestWithoutHeaders("GET", "/v1/config"));
    }

    /// Guards against the same at a path that only gateways serve.
    void controlReadiness()
    {
        RunningSystem system;
        checkWithCrowd(
                system,
                crowdAt(system.controlAddress(), {requestWithoutHeaders("GET", "/v1/readyz")}),
                requestWithoutHeaders("GET", "/v1/config"));
    }

    /// Guards against unread refusals that a control instance holds without a limit.
    void controlUnknownPaths()
    {
        RunningSystem system;
        checkWithCrowd(system,
                       crowdAt(system.controlAddress(),
                               {requestWithoutHeaders("GET", "/no-route/0123456789abcdef")}),
                       requestWithoutHeaders("GET", "/v1/config"));
    }

    /// Guards against unread pages of metrics, the largest responses of a gateway.
    void gatewayMetrics()
    {
        RunningSystem system;
        checkWithCrowd(
                system,
                crowdAt(system.metricsAddress(gateway), {requestWithoutHeaders("GET", "/metrics")}),
                requestWithoutHeaders("GET", "/metrics"));
    }

    /// Guards against clients that take all descriptors of a gateway.
    void moreConnectionsThanDescriptors()
    {
        RunningSystem system;
        checkWithCrowd(system,
                       {system.readinessAddress(),
                        manyConnections,
                        manyConnectionsBytes,
                        {requestWithoutHeaders("GET", "/v1/readyz")}},
                       requestWithoutHeaders("GET", "/v1/readyz"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreadResponsesTest);
