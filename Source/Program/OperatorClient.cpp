#include "Program/OperatorClient.h"

#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace dandelionloom {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

/// A list of 22,000 instances at 300 B each takes 6.6 MB.
constexpr std::size_t maxResponseBytes = 64UL * 1024 * 1024;

Poco::Timespan timespan(Milliseconds time)
{
    return {time.count() * Poco::Timespan::MILLISECONDS};
}

/// Whether the status was decided by the replicated state, which knows the outcome of an earlier
/// attempt with the same change id. A refusal such as 401 says nothing about that attempt.
bool tellsEarlierOutcome(int status)
{
    return status == statusOk || status == 400 || status == 409 || status == 412;
}

} // namespace

OperatorClient::OperatorClient(OperatorClientOptions options) : m_options(std::move(options)) { }

ClientResult OperatorClient::send(const ClientRequest &request) const
{
    const bool isRead = request.method == "GET";
    bool mayHaveRun = false;
    std::string messages;
    Milliseconds wait = m_options.roundBackOff;
    const SteadyTimeMs lastStart = steadyTimeNow() + m_options.lastRoundStart.count();
    for (int round = 0; round < m_options.rounds; ++round) {
        if (round > 0) {
            if (steadyTimeNow() > lastStart) {
                break;
            }
            std::this_thread::sleep_for(wait);
            wait *= 2;
        }
        for (const std::string &server : m_options.servers) {
            Attempt attempt = sendTo(server, request);
            const bool answered = attempt.kind == AttemptKind::Answered;
            const bool isFinal = answered && attempt.result.status != statusUnavailable
                    && (!mayHaveRun || tellsEarlierOutcome(attempt.result.status));
            if (isFinal) {
                attempt.result.message = messages;
                return attempt.result;
            }
            if (!isRead
                && (attempt.kind == AttemptKind::ResponseLost || attempt.outcome == "unknown")) {
                mayHaveRun = true;
            }
            // Later rounds mostly fail for the same reason; each message is reported once.
            const std::string line = server + ": " + attempt.result.message + "\n";
            if (messages.find(line) == std::string::npos) {
                messages += line;
            }
        }
    }
    ClientResult result;
    result.kind = mayHaveRun ? ClientResult::Kind::Unknown : ClientResult::Kind::NotRun;
    result.message = messages;
    return result;
}

OperatorClient::Attempt OperatorClient::sendTo(const std::string &server,
                                               const ClientRequest &request) const
{
    Attempt attempt;
    attempt.result.server = server;
    Poco::Net::StreamSocket socket;
    try {
        socket.connect(Poco::Net::SocketAddress(server), timespan(m_options.connectTimeout));
    } catch (const Poco::Exception &exception) {
        attempt.result.message = "expected a connection, found: " + exception.displayText();
        return attempt;
    }
    // From here on the server may have received the request.
    attempt.kind = AttemptKind::ResponseLost;
    try {
        Poco::Net::HTTPClientSession session(socket);
        session.setTimeout(timespan(m_options.responseTimeout));
        Poco::Net::HTTPRequest head(request.method, request.path, "HTTP/1.1");
        head.setHost(server);
        head.set("Authorization", "Bearer " + m_options.credential);
        for (const auto &[name, value] : request.headers) {
            head.set(name, value);
        }
        if (request.method != "GET") {
            head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        }
        session.sendRequest(head) << request.body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        char buffer[8192];
        while (stream.read(buffer, sizeof(buffer)) || stream.gcount() > 0) {
            attempt.result.body.append(buffer, static_cast<std::size_t>(stream.gcount()));
            if (attempt.result.body.size() > maxResponseBytes) {
                attempt.result.message = "expected an answer of at most 64 MiB, found a longer one";
                return attempt;
            }
        }
        if (response.hasContentLength()
            && attempt.result.body.size()
                    != static_cast<std::uint64_t>(response.getContentLength64())) {
            attempt.result.message = "expected a complete answer, found the connection closed";
            return attempt;
        }
        attempt.kind = AttemptKind::Answered;
        attempt.outcome = response.get("Dandelionloom-Outcome", "");
        attempt.result.kind = ClientResult::Kind::Answered;
        attempt.result.status = response.getStatus();
        attempt.result.entityTag = response.get("ETag", "");
        attempt.result.message = "status " + std::to_string(attempt.result.status) + ": "
                + attempt.result.body.substr(0, attempt.result.body.find('\n'));
    } catch (const Poco::Exception &exception) {
        attempt.result.message = "expected an answer, found: " + exception.displayText();
    }
    return attempt;
}

} // namespace dandelionloom
