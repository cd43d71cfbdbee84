#pragma once

#include <memory>
#include <string>

#include "Adapters/Http/CallerServer.h"
#include "Adapters/Http/EndpointServer.h"
#include "Adapters/Http/HttpEndpointClient.h"
#include "Gateway/FakeLog.h"
#include "Runtime/AnnouncementIntake.h"
#include "Runtime/FairQueue.h"
#include "Runtime/Gateway.h"
#include "StandIns/standInEndpoint/EndpointHttp.h"

namespace dandelionloom::test {

inline constexpr const char *quotesCredential = "quotes-credential-0001";
/// Authenticates as a plan that the lists don't contain.
inline constexpr const char *unlistedPlanCredential = "orphan-credential-0001";
inline constexpr const char *workerCredential = "worker-credential-0001";

/// An answer as a caller reads it.
struct CallerAnswer
{
    /// 0 if the connection ended without an answer.
    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool closed = false;

    std::string header(const std::string &name) const
    {
        return headerValue(headers, name).value_or("");
    }
    std::string outcome() const { return header(headerNames::outcome); }
    std::string reason() const { return header(headerNames::reason); }
};

/// A caller's connection that sends raw bytes, so that a test can send malformed requests.
class RawCaller
{
public:
    explicit RawCaller(const std::string &address);

    void send(const std::string &bytes);
    void shutdownSend();
    /// Resets the connection.
    void reset();
    /// Reads one answer. Sets `closed` if the server closes the connection behind it.
    CallerAnswer receive(bool headOnly = false);
    /// Reads until the end of the connection.
    std::string receiveAll();

private:
    Poco::Net::StreamSocket m_socket;
    ByteReader m_reader;
};

struct CallOptions
{
    std::string method = "GET";
    std::string target = "/pricing/quote";
    std::string body;
    std::string credential = quotesCredential;
    HttpHeaders headers;
};

std::string requestBytes(const CallOptions &options);

/// Gateway of one entry instance in this process, on free ports of the loopback interface.
class GatewayStack
{
public:
    GatewayStack(ReplicatedLog &log, const std::string &name, std::uint64_t incarnation = 1,
                 const HttpLimits &callerLimits = {}, const ClaimBatcherOptions &claimOptions = {});

    CallerAnswer call(const CallOptions &options);
    /// Announces a stand-in endpoint as `instance`.
    AnnouncementResponse announce(const std::string &instance, const std::string &address,
                                  std::uint64_t incarnation = 1,
                                  EndpointState state = EndpointState::Serving,
                                  const std::string &rack = "rack-1");

    std::string callerAddress() const { return m_callers.address(); }
    std::string endpointAddress() const { return m_endpoints.address(); }

    RecordingLog decisions;
    RecordingMetrics metrics;
    EndpointTable table{EndpointTableOptions{}};

private:
    HttpEndpointClient m_client;
    FairQueue m_queue;
    InstanceRegistrar m_registrar;
    AnnouncementIntake m_intake;
    SettleQueue m_settlements;
    ClaimBatcher m_claims;
    AttemptRunner m_runner;
    KeyedRequests m_keyed;
    Gateway m_gateway;
    CallerServer m_callers;
    EndpointServer m_endpoints;
};

/// Applies the plan `quotes` for the service pricing, and an allowance for it.
void applyPlans(ReplicatedLog &log);

} // namespace dandelionloom::test
