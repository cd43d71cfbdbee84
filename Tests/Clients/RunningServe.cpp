#include "Clients/RunningServe.h"

#include <unistd.h>

#include <cstdint>
#include <filesystem>

#include <cppunit/TestAssert.h>

#include "Clients/ClientCrowd.h"

namespace dandelionloom::test {

namespace {

constexpr std::size_t instances = 3;
constexpr int endpointHost = 100;
constexpr std::uint16_t callerPort = 24001;
constexpr std::uint16_t operatorPort = 24002;
constexpr std::uint16_t announcementPort = 24003;
constexpr std::uint16_t peerPort = 24004;
constexpr std::uint16_t endpointPort = 24005;

const std::string plans = R"([[plan]]
id = "counter-quotes"
customer = "chamdakam"
service = "pricing"
min_healthy_instances = 1
max_unavailable_instances = 1
default_deadline_ms = 30000
)";

const std::string allowances = R"([[allowance]]
plan = "counter-quotes"
max_instances = 12
slots = 96
requests_per_second = 2000
weight = 1
)";

std::string withPort(const std::string &ip, std::uint16_t port)
{
    return ip + ":" + std::to_string(port);
}

std::string requestText(const std::string &line, const std::string &credential,
                        const std::string &headers, const std::string &body)
{
    return line + " HTTP/1.1\r\nHost: loom\r\nAuthorization: Bearer " + credential + "\r\n"
            + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string listRequest(const std::string &list, const std::string &text)
{
    return requestText("PUT /v1/" + list, RunningServe::operatorCredential,
                       "If-Match: \"0\"\r\nContent-Type: application/toml\r\n"
                       "Dandelionloom-Change-Id: first-"
                               + list + "\r\n",
                       text);
}

} // namespace

RunningServe::RunningServe(const std::string &limits)
    : m_network{201, static_cast<int>(::getpid()) % 32 * soak::LoopbackNetwork::subnets}
{
    m_folder.write("operators", std::string("operator-1 ") + operatorCredential + "\n");
    m_folder.write("endpoints", "endpoints endpoint-secret-0001\n");
    m_folder.write("peers", std::string("peers ") + peerCredential + "\n");
    m_folder.write("callers",
                   std::string("counter-quotes caller-secret-quotes\nnight-dues ")
                           + refusedCredential + "\n");
    startEndpoint();
    const std::string program =
            std::filesystem::read_symlink("/proc/self/exe").parent_path() / "dandelionloom";
    for (std::size_t index = 0; index < instances; ++index) {
        m_processes.push_back(std::make_unique<scenario::ChildProcess>(
                std::vector<std::string>{program, "serve", "--settings",
                                         writeSettings(index, limits)},
                m_folder.path() + "/log-" + std::to_string(index), std::vector<std::string>{}));
    }
    CPPUNIT_ASSERT_MESSAGE("the lists are applied",
                           eventually(processes(), [this] { return applyLists(); }));
    CPPUNIT_ASSERT_MESSAGE("the endpoint is known",
                           eventually(processes(), [this] { return announcementStatus() == 200; }));
    CPPUNIT_ASSERT_MESSAGE("a caller is answered in calm",
                           eventually(processes(), [this] { return callerStatus() == 200; }));
}

RunningServe::~RunningServe()
{
    m_loop.runAndWait([this] { m_endpoint.reset(); });
    m_loop.stop();
}

std::string RunningServe::callerAddress() const
{
    return withPort(m_network.address(0), callerPort);
}

std::string RunningServe::operatorAddress() const
{
    return withPort(m_network.address(0), operatorPort);
}

std::string RunningServe::endpointAddress() const
{
    return withPort(m_network.address(0), announcementPort);
}

std::string RunningServe::peerAddress() const
{
    return withPort(m_network.address(0), peerPort);
}

int RunningServe::callerStatus() const
{
    return statusOfRequest(callerAddress(),
                           requestText("GET /pricing/bundle", "caller-secret-quotes", {}, {}));
}

int RunningServe::operatorStatus() const
{
    return statusOfRequest(operatorAddress(),
                           requestText("GET /v1/status", operatorCredential, {}, {}));
}

int RunningServe::announcementStatus() const
{
    const std::string body = R"({"instance":"pricing-1","address":")"
            + withPort(m_network.address(endpointHost), endpointPort)
            + R"(","service":"pricing","rack":"rack-1","availability_zone":"zone-0",)"
              R"("incarnation":1,"slots":8,"state":"serving"})";
    return statusOfRequest(endpointAddress(),
                           requestText("POST /v1/endpoints/announce", "endpoint-secret-0001",
                                       "Content-Type: application/json\r\n", body));
}

void RunningServe::checkProcesses(const ProcessBounds &bounds) const
{
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        checkProcess("entry-" + std::to_string(index), *m_processes[index], bounds);
    }
}

std::string RunningServe::writeSettings(std::size_t index, const std::string &limits) const
{
    const auto nameOf = [](std::size_t number) { return "entry-" + std::to_string(number); };
    const auto zoneOf = [](std::size_t number) { return "zone-" + std::to_string(number); };
    const auto addressOf = [this](std::size_t number, std::uint16_t port) {
        return "\"" + withPort(m_network.address(static_cast<int>(number)), port) + "\"\n";
    };
    std::string text = std::string("[cluster]\nid = \"") + clusterId + "\"\ngroup = \"" + group
            + "\"\n[instance]\nname = \"" + nameOf(index) + "\"\navailability_zone = \""
            + zoneOf(index) + "\"\nrack = \"rack-" + std::to_string(index) + "\"\ndata_folder = \""
            + m_folder.path() + "/data-" + std::to_string(index) + "\"\n[listen]\ncallers = "
            + addressOf(index, callerPort) + "operators = " + addressOf(index, operatorPort)
            + "endpoints = " + addressOf(index, announcementPort)
            + "peers = " + addressOf(index, peerPort);
    for (std::size_t number = 0; number < instances; ++number) {
        text += "[[peer]]\nname = \"" + nameOf(number) + "\"\navailability_zone = \""
                + zoneOf(number) + "\"\naddress = " + addressOf(number, peerPort)
                + "operators = " + addressOf(number, operatorPort) + "voter = true\n";
    }
    text += "[credentials]\n";
    for (const char *kind : {"callers", "operators", "endpoints", "peers"}) {
        text += std::string(kind) + "_file = \"" + m_folder.path() + "/" + kind + "\"\n";
    }
    // The endpoint announces itself only once.
    text += "[timing]\nendpoint_lease_ms = 600000\n[limits]\n" + limits;
    return m_folder.write("settings-" + std::to_string(index) + ".toml", text);
}

void RunningServe::startEndpoint()
{
    m_endpoint = std::make_unique<EventedHttpServer>(
            m_loop, HttpLimits{},
            [](const HttpRequest &request, const EventedHttpServer::Respond &respond) {
                const std::string attempt =
                        headerValue(request.headers, headerNames::attemptId).value_or("");
                respond({200, {{headerNames::attemptId, attempt}}, "done"});
            });
    CPPUNIT_ASSERT(
            isOk(m_endpoint->listen(withPort(m_network.address(endpointHost), endpointPort))));
    m_loop.start();
}

bool RunningServe::applyLists() const
{
    return statusOfRequest(operatorAddress(), listRequest("plans", plans)) == 200
            && statusOfRequest(operatorAddress(), listRequest("allowances", allowances)) == 200;
}

std::vector<scenario::ChildProcess *> RunningServe::processes() const
{
    std::vector<scenario::ChildProcess *> all;
    for (const auto &process : m_processes) {
        all.push_back(process.get());
    }
    return all;
}

} // namespace dandelionloom::test
