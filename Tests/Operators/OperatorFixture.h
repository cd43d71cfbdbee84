#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Adapters/Http/OperatorServer.h"
#include "Support/FakeReplicatedLog.h"

namespace dandelionloom::test {

/// Records decisions and events for assertions.
class RecordingDecisionLog : public DecisionLog
{
public:
    void write(const Decision &decision) override
    {
        const std::lock_guard lock(m_mutex);
        decisions.push_back(decision);
    }

    void event(LogSeverity, const std::string &component, const std::string &message) override
    {
        const std::lock_guard lock(m_mutex);
        events.push_back(component + ": " + message);
    }

    std::vector<Decision> decisions;
    std::vector<std::string> events;

private:
    std::mutex m_mutex;
};

/// An operator server on a free loopback port, with a fake replicated log.
struct OperatorFixture
{
    FakeReplicatedLog log;
    RecordingDecisionLog decisionLog;
    std::vector<EndpointRecord> endpoints;
    std::unique_ptr<OperatorServer> server;

    explicit OperatorFixture(const LimitSettings &limits = {})
    {
        OperatorServerOptions options;
        options.address = "127.0.0.1:0";
        options.instanceName = "entry-a1";
        options.credentials = takeValue(OperatorCredentials::parse(
                "# operators\nalice alice-secret\nbob bob-secret\n", "operators"));
        options.limits = limits;
        options.defaultDrainLimit = Milliseconds(90000);
        server = std::make_unique<OperatorServer>(
                std::move(options),
                OperatorServices{log, decisionLog, [this] { return endpoints; },
                                 [](const std::string &wave) {
                                     return std::vector<WaveExplanation>{
                                             {"i1", "draining", "first target of " + wave}};
                                 },
                                 [] { return std::string("loom_up 1\n"); }});
        const auto started = server->start();
        if (!isOk(started)) {
            throw std::runtime_error(errorOf(started).message);
        }
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server->port()); }
};

/// Sends bytes on a new connection and reads until the server closes it or a response with its
/// body has arrived.
std::string roundTrip(std::uint16_t port, const std::string &bytes);

/// Sends one request with the credential of the operator alice; `headers` are header lines without
/// line ends.
std::string sendRequest(const OperatorFixture &fixture, const std::string &method,
                        const std::string &path, const std::vector<std::string> &headers = {},
                        const std::string &body = "");

/// Status code of a response.
int statusOf(const std::string &response);
/// Body of a response.
std::string bodyOf(const std::string &response);
/// Value of a header; empty if it is absent.
std::string headerOf(const std::string &response, const std::string &name);

/// Text of a plans file with one plan.
std::string plansText(const std::string &id, int minHealthy = 1);

} // namespace dandelionloom::test
