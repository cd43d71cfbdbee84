#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "Clients/ClientCrowd.h"
#include "Clients/RunningSystem.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// A crowd sends twice the memory of a process, or opens half as many connections again as it may
/// have descriptors.
constexpr std::size_t crowdConnections = 48;
constexpr std::size_t crowdBytesPerConnection = 4 * 1024 * 1024;
constexpr std::size_t manyConnections = 600;
constexpr std::size_t manyConnectionsBytes = 16 * 1024;

std::string requestWithoutHost(const std::string &method, const std::string &path)
{
    return method + " " + path + " HTTP/1.0\r\n\r\n";
}

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
        checkWithCrowd(system,
                       crowdAt(system.metricsAddress(RunningSystem::gateway),
                               {requestWithoutHeaders("GET", "/metrics")}),
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
