#include "Adapters/Http/OperatorServer.h"

#include <optional>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include "Adapters/Http/OperatorResponses.h"

namespace dandelionloom {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Operators are few. Each thread may wait for the command timeout.
constexpr int mostThreads = 16;
constexpr int mostQueuedConnections = 64;

/// POCO's dispatcher threads may miss the wake-up of a stop and then wait for this time; with
/// POCO's default of 10 s a stop took 10 s now and then.
constexpr Poco::Timespan::TimeDiff threadIdleMicroseconds = 250000;

void send(HTTPServerResponse &target, const OperatorResponse &response)
{
    target.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status));
    target.setReason(HTTPServerResponse::getReasonForStatus(target.getStatus()));
    target.setContentType(response.contentType);
    target.setContentLength64(static_cast<Poco::Int64>(response.body.size()));
    for (const auto &[name, value] : response.headers) {
        target.set(name, value);
    }
    target.send() << response.body << std::flush;
}

OperatorResponse healthResponse(const std::string &path, const OperatorApi &api)
{
    if (path == "/healthz") {
        return jsonResponse(200, R"({"healthy":true})");
    }
    return api.ready() ? jsonResponse(200, R"({"ready":true})")
                       : jsonResponse(503, R"({"ready":false})");
}

/// The fault of the request line and headers, if any. The body is not read.
std::optional<OperatorResponse> headFault(const HTTPServerRequest &request,
                                          const LimitSettings &limits)
{
    if (request.getURI().size() > limits.requestLineBytes) {
        return errorResponse(414,
                             "expected a request line of at most "
                                     + std::to_string(limits.requestLineBytes) + " bytes, found "
                                     + std::to_string(request.getURI().size()));
    }
    std::size_t bytes = 0;
    for (const auto &[name, value] : request) {
        bytes += name.size() + value.size();
    }
    if (request.size() > limits.headerCount || bytes > limits.headerBytes) {
        return errorResponse(431,
                             "expected at most " + std::to_string(limits.headerCount)
                                     + " headers of " + std::to_string(limits.headerBytes)
                                     + " bytes, found " + std::to_string(request.size()) + " of "
                                     + std::to_string(bytes));
    }
    return std::nullopt;
}

/// The fault of the announced body, if any. The body is not read.
std::optional<OperatorResponse> bodyFault(const HTTPServerRequest &request,
                                          const LimitSettings &limits)
{
    const bool chunked = request.getChunkedTransferEncoding();
    if (chunked && request.hasContentLength()) {
        return errorResponse(400, "expected Content-Length or Transfer-Encoding, found both");
    }
    // POCO reads a body without a length up to the close, except for these methods. Such a request
    // would hold a thread until its sender ends or the read times out.
    const std::string &method = request.getMethod();
    const bool mayHaveBody = method != "GET" && method != "HEAD" && method != "DELETE";
    if (mayHaveBody && !chunked && !request.hasContentLength()) {
        return errorResponse(411, "expected a header Content-Length, found none");
    }
    if (request.hasContentLength() && request.getContentLength64() < 0) {
        return errorResponse(400,
                             "expected a header Content-Length of at least 0, found "
                                     + request.get("Content-Length"));
    }
    if (request.hasContentLength()
        && static_cast<std::uint64_t>(request.getContentLength64()) > limits.bodyBytes) {
        return errorResponse(413,
                             "expected a body of at most " + std::to_string(limits.bodyBytes)
                                     + " bytes, found " + request.get("Content-Length"));
    }
    return std::nullopt;
}

/// Reads the whole body; fails if it is too long or ends early.
std::optional<OperatorResponse> readBody(HTTPServerRequest &request, const LimitSettings &limits,
                                         std::string &body)
{
    std::istream &stream = request.stream();
    char buffer[8192];
    while (stream.read(buffer, sizeof(buffer)) || stream.gcount() > 0) {
        body.append(buffer, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > limits.bodyBytes) {
            return errorResponse(413,
                                 "expected a body of at most " + std::to_string(limits.bodyBytes)
                                         + " bytes, found a longer one");
        }
    }
    if (request.hasContentLength()
        && body.size() != static_cast<std::uint64_t>(request.getContentLength64())) {
        return errorResponse(400,
                             "expected a body of " + request.get("Content-Length")
                                     + " bytes, found " + std::to_string(body.size()));
    }
    return std::nullopt;
}

/// Answers without reading the body and closes the connection.
class RefusingHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit RefusingHandler(OperatorResponse answer) : m_answer(std::move(answer)) { }

    void handleRequest(HTTPServerRequest &, HTTPServerResponse &response) override
    {
        response.setKeepAlive(false);
        send(response, m_answer);
    }

private:
    OperatorResponse m_answer;
};

class ApiHandler : public Poco::Net::HTTPRequestHandler
{
public:
    ApiHandler(OperatorRequest request, const LimitSettings &limits, OperatorApi &api)
        : m_request(std::move(request)), m_limits(limits), m_api(api)
    { }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        if (const auto fault = readBody(request, m_limits, m_request.body)) {
            response.setKeepAlive(false);
            send(response, *fault);
            return;
        }
        send(response, m_api.handle(m_request));
    }

private:
    OperatorRequest m_request;
    const LimitSettings &m_limits;
    OperatorApi &m_api;
};

/// Decides by the head of a request. POCO asks for the body (100 Continue) only if the status of
/// the response is still 200 after this.
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    HandlerFactory(const OperatorServerOptions &options, DecisionLog &decisions, OperatorApi &api)
        : m_options(options), m_decisions(decisions), m_api(api)
    { }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &request) override
    {
        OperatorRequest parsed;
        std::optional<OperatorResponse> answer = headFault(request, m_options.limits);
        if (!answer) {
            answer = parseTarget(request, parsed);
        }
        if (!answer && (parsed.path == "/healthz" || parsed.path == "/readyz")) {
            answer = parsed.method == "GET" ? healthResponse(parsed.path, m_api)
                                            : methodNotAllowed("GET", parsed.method);
        }
        if (!answer) {
            answer = authenticate(request, parsed);
        }
        if (!answer) {
            answer = bodyFault(request, m_options.limits);
        }
        if (answer) {
            request.response().setStatus(
                    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer->status));
            return new RefusingHandler(std::move(*answer));
        }
        parsed.accept = request.get("Accept", "");
        parsed.contentType = request.get("Content-Type", "");
        parsed.ifMatch = request.get("If-Match", "");
        parsed.changeId = request.get("Dandelionloom-Change-Id", "");
        return new ApiHandler(std::move(parsed), m_options.limits, m_api);
    }

private:
    static std::optional<OperatorResponse> parseTarget(const HTTPServerRequest &request,
                                                       OperatorRequest &parsed)
    {
        parsed.method = request.getMethod();
        try {
            const Poco::URI uri(request.getURI());
            parsed.path = uri.getPath();
            for (const auto &[name, value] : uri.getQueryParameters()) {
                parsed.query[name] = value;
            }
        } catch (const Poco::Exception &) {
            return errorResponse(400, "expected a valid request target, found another");
        }
        return std::nullopt;
    }

    std::optional<OperatorResponse> authenticate(const HTTPServerRequest &request,
                                                 OperatorRequest &parsed)
    {
        const auto name = m_options.credentials.operatorOf(request.get("Authorization", ""));
        if (name) {
            parsed.operatorName = *name;
            return std::nullopt;
        }
        m_decisions.event(LogSeverity::Warning, "operators",
                          "refused a request without a valid credential from "
                                  + request.clientAddress().host().toString());
        OperatorResponse answer =
                errorResponse(401, "expected a valid operator credential, found none");
        answer.headers.emplace_back("WWW-Authenticate", "Bearer");
        return answer;
    }

    const OperatorServerOptions &m_options;
    DecisionLog &m_decisions;
    OperatorApi &m_api;
};

} // namespace

class OperatorServer::Listener
{
public:
    Listener(const OperatorServerOptions &options, DecisionLog &decisions, OperatorApi &api)
        : m_socket(Poco::Net::SocketAddress(options.address)), m_threads(2, mostThreads),
          m_server(new HandlerFactory(options, decisions, api), m_threads, m_socket,
                   parameters(options.limits))
    {
        m_server.start();
    }

    ~Listener()
    {
        m_server.stopAll(false);
        m_threads.joinAll();
    }

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    std::uint16_t port() const { return m_socket.address().port(); }

private:
    static Poco::AutoPtr<Poco::Net::HTTPServerParams> parameters(const LimitSettings &limits)
    {
        Poco::AutoPtr<Poco::Net::HTTPServerParams> result(new Poco::Net::HTTPServerParams);
        const Poco::Timespan timeout(limits.readTimeout.count() * Poco::Timespan::MILLISECONDS);
        result->setMaxThreads(mostThreads);
        result->setMaxQueued(mostQueuedConnections);
        result->setTimeout(timeout);
        result->setKeepAliveTimeout(timeout);
        result->setThreadIdleTime(Poco::Timespan(threadIdleMicroseconds));
        return result;
    }

    Poco::Net::ServerSocket m_socket;
    Poco::ThreadPool m_threads;
    Poco::Net::HTTPServer m_server;
};

OperatorServer::OperatorServer(OperatorServerOptions options, OperatorServices services)
    : m_options(std::move(options)), m_decisions(services.decisions),
      m_api(std::move(services), m_options.instanceName, m_options.commandTimeout,
            m_options.defaultDrainLimit)
{ }

OperatorServer::~OperatorServer() = default;

Result<Done, ListenError> OperatorServer::start()
{
    try {
        m_listener = std::make_unique<Listener>(m_options, m_decisions, m_api);
    } catch (const Poco::Exception &exception) {
        return ListenError{"expected to listen for operators on " + m_options.address
                           + ", found: " + exception.displayText()};
    }
    return Done{};
}

void OperatorServer::stop()
{
    m_listener.reset();
}

std::uint16_t OperatorServer::port() const
{
    return m_listener ? m_listener->port() : 0;
}

} // namespace dandelionloom
