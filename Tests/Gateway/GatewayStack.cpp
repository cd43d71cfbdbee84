#include "Gateway/GatewayStack.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace dandelionloom::test {

namespace {

/// Far above any expected duration, so that only a missing answer reaches it.
constexpr int receiveTimeoutSeconds = 20;

Credentials credentialsOf(const std::string &text)
{
    return takeValue(Credentials::fromText(text, "test"));
}

FairQueueOptions queueOptions()
{
    FairQueueOptions options;
    options.availabilityZone = "zone-a";
    options.seed = 7;
    return options;
}

} // namespace

RawCaller::RawCaller(const std::string &address)
    : m_socket(Poco::Net::SocketAddress(address)),
      m_reader([this](char *buffer, int size) { return m_socket.receiveBytes(buffer, size); })
{
    m_socket.setReceiveTimeout(Poco::Timespan(receiveTimeoutSeconds, 0));
    m_socket.setNoDelay(true);
}

void RawCaller::send(const std::string &bytes)
{
    m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
}

void RawCaller::shutdownSend()
{
    m_socket.shutdownSend();
}

void RawCaller::reset()
{
    m_socket.setLinger(true, 0);
    m_socket.close();
}

CallerAnswer RawCaller::receive(bool headOnly)
{
    CallerAnswer answer;
    std::string line;
    if (m_reader.readLine(line, 8192) != ReadStatus::Ok) {
        answer.closed = true;
        return answer;
    }
    answer.status = std::stoi(line.substr(9, 3));
    while (m_reader.readLine(line, 8192) == ReadStatus::Ok && !line.empty()) {
        const auto colon = line.find(": ");
        answer.headers.emplace_back(line.substr(0, colon), line.substr(colon + 2));
    }
    const std::string length = answer.header("Content-Length");
    if (!headOnly && !length.empty()) {
        m_reader.readExactly(answer.body, std::stoul(length));
    }
    answer.closed = answer.header("Connection") == "close";
    return answer;
}

std::string RawCaller::receiveAll()
{
    std::string bytes;
    while (m_reader.readExactly(bytes, 1) == ReadStatus::Ok) { }
    return bytes;
}

std::string requestBytes(const CallOptions &options)
{
    std::string bytes = options.method + " " + options.target + " HTTP/1.1\r\nHost: gateway\r\n";
    if (!options.credential.empty()) {
        bytes += "Authorization: Bearer " + options.credential + "\r\n";
    }
    for (const auto &[name, value] : options.headers) {
        bytes += name + ": " + value + "\r\n";
    }
    if (!options.body.empty()) {
        bytes += "Content-Length: " + std::to_string(options.body.size()) + "\r\n";
    }
    return bytes + "\r\n" + options.body;
}

GatewayStack::GatewayStack(ReplicatedLog &log, const std::string &name, std::uint64_t incarnation,
                           const HttpLimits &callerLimits, const ClaimBatcherOptions &claimOptions)
    : m_client(EndpointClientOptions{}), m_queue(queueOptions(), table, log.state()),
      m_registrar(InstanceRegistrarOptions{}, log, decisions),
      m_intake(name, table, log.state(), m_queue, m_client, m_registrar),
      m_settlements(SettleQueueOptions{}, log, decisions, metrics),
      m_claims(claimOptions, log, m_settlements),
      m_runner(AttemptRunnerOptions{}, m_queue, m_client, decisions, metrics),
      m_keyed(GatewayIdentity{name, incarnation}, {}, m_claims, m_settlements, m_runner, decisions),
      m_gateway(GatewayOptions{{name, incarnation}}, log, m_runner, m_keyed, decisions, metrics),
      m_callers("127.0.0.1:0", callerLimits,
                credentialsOf("quotes " + std::string(quotesCredential) + "\norphan "
                              + unlistedPlanCredential + "\n"),
                m_gateway),
      m_endpoints("127.0.0.1:0", endpointServerLimits(),
                  credentialsOf("workers " + std::string(workerCredential) + "\n"), m_intake)
{
    m_callers.start();
    m_endpoints.start();
}

CallerAnswer GatewayStack::call(const CallOptions &options)
{
    RawCaller caller(callerAddress());
    caller.send(requestBytes(options));
    return caller.receive(options.method == "HEAD");
}

AnnouncementResponse GatewayStack::announce(const std::string &instance, const std::string &address,
                                            std::uint64_t incarnation, EndpointState state,
                                            const std::string &rack)
{
    return m_intake.announce({instance, address, "pricing", 8, rack, "zone-a", incarnation, state});
}

void applyPlans(ReplicatedLog &log)
{
    Plan plan;
    plan.id = "quotes";
    plan.customer = "customer";
    plan.service = "pricing";
    plan.defaultDeadlineMs = 5000;
    ApplyList change;
    change.change = {"c1", "operator-1"};
    change.plans = {plan};
    log.propose(change, Milliseconds(1000));
    // Above the load of all tests, so that none is refused by its allowance.
    Allowance allowance;
    allowance.plan = "quotes";
    allowance.slots = 1000;
    allowance.requestsPerSecond = 100000;
    ApplyList allowances;
    allowances.change = {"c2", "operator-1"};
    allowances.kind = ListKind::Allowances;
    allowances.allowances = {allowance};
    log.propose(allowances, Milliseconds(1000));
}

} // namespace dandelionloom::test
