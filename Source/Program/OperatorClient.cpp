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

/// 22,000 instances at 300 B are 6.6 MB.
constexpr std::size_t longestAnswerBytes = 64UL * 1024 * 1024;

Poco::Timespan timespan(Milliseconds time)
{
    return {time.count() * Poco::Timespan::MILLISECONDS};
}

/// Whether the answer comes from the agreed state, which tells the outcome of an earlier attempt
/// with the same change id. A refusal such as 401 tells nothing about the earlier attempt.
bool settlesEarlierAttempt(int status)
{
    return status == statusOk || status == 400 || status == 409 || status == 412;
}

} // namespace

OperatorClient::OperatorClient(OperatorClientOptions options) : m_options(std::move(options)) { }

ClientAnswer OperatorClient::send(const ClientRequest &request) const
{
    const bool isRead = request.method == "GET";
    bool mayHaveRun = false;
    std::string messages;
    Milliseconds wait = m_options.roundWait;
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
            const bool definite = answered && attempt.answer.status != statusUnavailable
                    && (!mayHaveRun || settlesEarlierAttempt(attempt.answer.status));
            if (definite) {
                attempt.answer.message = messages;
                return attempt.answer;
            }
            if (!isRead && (attempt.kind == AttemptKind::Lost || attempt.outcome == "unknown")) {
                mayHaveRun = true;
            }
            // Later rounds mostly fail as the first one did; each fault is told once.
            const std::string line = server + ": " + attempt.answer.message + "\n";
            if (messages.find(line) == std::string::npos) {
                messages += line;
            }
        }
    }
    ClientAnswer answer;
    answer.kind = mayHaveRun ? ClientAnswer::Kind::Unknown : ClientAnswer::Kind::NotRun;
    answer.message = messages;
    return answer;
}

OperatorClient::Attempt OperatorClient::sendTo(const std::string &server,
                                               const ClientRequest &request) const
{
    Attempt attempt;
    attempt.answer.server = server;
    Poco::Net::StreamSocket socket;
    try {
        socket.connect(Poco::Net::SocketAddress(server), timespan(m_options.connectTimeout));
    } catch (const Poco::Exception &exception) {
        attempt.answer.message = "expected a connection, found: " + exception.displayText();
        return attempt;
    }
    // From here on the server may have received the request.
    attempt.kind = AttemptKind::Lost;
    try {
        Poco::Net::HTTPClientSession session(socket);
        session.setTimeout(timespan(m_options.answerTimeout));
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
            attempt.answer.body.append(buffer, static_cast<std::size_t>(stream.gcount()));
            if (attempt.answer.body.size() > longestAnswerBytes) {
                attempt.answer.message = "expected an answer of at most 64 MiB, found a longer one";
                return attempt;
            }
        }
        if (response.hasContentLength()
            && attempt.answer.body.size()
                    != static_cast<std::uint64_t>(response.getContentLength64())) {
            attempt.answer.message = "expected a whole answer, found the connection closed";
            return attempt;
        }
        attempt.kind = AttemptKind::Answered;
        attempt.outcome = response.get("Dandelionloom-Outcome", "");
        attempt.answer.kind = ClientAnswer::Kind::Answered;
        attempt.answer.status = response.getStatus();
        attempt.answer.entityTag = response.get("ETag", "");
        attempt.answer.message = "status " + std::to_string(attempt.answer.status) + ": "
                + attempt.answer.body.substr(0, attempt.answer.body.find('\n'));
    } catch (const Poco::Exception &exception) {
        attempt.answer.message = "expected an answer, found: " + exception.displayText();
    }
    return attempt;
}

} // namespace dandelionloom
