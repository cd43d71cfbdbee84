#include "Adapters/Http/OperatorServer.h"

#include <unistd.h>

#include <cerrno>
#include <optional>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include "Adapters/Http/ConnectionSet.h"
#include "Adapters/Http/OperatorResponses.h"
#include "Adapters/Http/SocketInput.h"

namespace dandelionloom {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Few operators send requests at the same time. Each thread may block for the command timeout.
constexpr std::size_t maxConnections = 16;
/// Threads for connections above the limit: they close another one, or wait for one to end.
constexpr std::size_t waitingThreads = 8;
constexpr int maxThreads = maxConnections + waitingThreads;
constexpr int maxQueuedConnections = 64;
/// A request may confirm a read and commit a change, each within the command timeout.
constexpr int commandsPerRequest = 2;

/// POCO's dispatcher threads may miss the wake-up of a stop and then sleep for this time. With
/// POCO's default of 10 s, a stop occasionally took 10 s.
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

/// Returns an error response if the request line or the headers exceed the limits.
std::optional<OperatorResponse> checkHead(const HTTPServerRequest &request,
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

/// Returns an error response if the body's framing or declared length is invalid. The body is not
/// read.
std::optional<OperatorResponse> checkBodyFraming(const HTTPServerRequest &request,
                                                 const LimitSettings &limits)
{
    const bool chunked = request.getChunkedTransferEncoding();
    if (chunked && request.hasContentLength()) {
        return errorResponse(400, "expected Content-Length or Transfer-Encoding, found both");
    }
    // POCO reads a body without a length until the connection is closed, except for these methods.
    // Such a request would block a thread until the client closes or the read times out.
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

/// A connection as one of those of the listener.
class TrackedConnection
{
public:
    TrackedConnection(Poco::Net::StreamSocket socket, ConnectionSet &connections)
        : m_socket(std::move(socket)), m_connections(connections)
    { }

    /// Throws if the connection was closed, so that its request is not handled.
    void enter(ConnectionPhase phase)
    {
        if (!m_connections.setPhase(m_socket, phase)) {
            throw Poco::Net::ConnectionAbortedException("closed by a limit or by the stop");
        }
    }
    /// Returns false if the request must be refused. Throws as enter() does.
    bool addBytes(std::size_t count)
    {
        const AddBytesResult result = m_connections.addBytes(m_socket, count);
        if (result == AddBytesResult::Closed) {
            throw Poco::Net::ConnectionAbortedException("closed by a limit or by the stop");
        }
        return result == AddBytesResult::Added;
    }

private:
    const Poco::Net::StreamSocket m_socket;
    ConnectionSet &m_connections;
};

/// Reads the whole body. Returns an error response if it is too long or incomplete.
std::optional<OperatorResponse> readBody(HTTPServerRequest &request, const LimitSettings &limits,
                                         TrackedConnection &connection, std::string &body)
{
    std::istream &stream = request.stream();
    char buffer[8192];
    while (stream.read(buffer, sizeof(buffer)) || stream.gcount() > 0) {
        if (!connection.addBytes(static_cast<std::size_t>(stream.gcount()))) {
            return errorResponse(503,
                                 "expected room for the body, found that requests which are "
                                 "handled take all of it");
        }
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

/// Sends a response without reading the body, then closes the connection.
class RejectingHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit RejectingHandler(OperatorResponse response) : m_response(std::move(response)) { }

    void handleRequest(HTTPServerRequest &, HTTPServerResponse &response) override
    {
        response.setKeepAlive(false);
        send(response, m_response);
    }

private:
    OperatorResponse m_response;
};

class ApiHandler : public Poco::Net::HTTPRequestHandler
{
public:
    ApiHandler(OperatorRequest request, const LimitSettings &limits, OperatorApi &api,
               const TrackedConnection &connection)
        : m_request(std::move(request)), m_limits(limits), m_api(api), m_connection(connection)
    { }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const auto error = readBody(request, m_limits, m_connection, m_request.body);
        if (error) {
            response.setKeepAlive(false);
            m_connection.enter(ConnectionPhase::Sending);
            send(response, *error);
            return;
        }
        m_connection.enter(ConnectionPhase::Handling);
        const OperatorResponse result = m_api.handle(m_request);
        m_connection.enter(ConnectionPhase::Sending);
        send(response, result);
        m_connection.enter(ConnectionPhase::Idle);
    }

private:
    OperatorRequest m_request;
    const LimitSettings &m_limits;
    OperatorApi &m_api;
    TrackedConnection m_connection;
};

/// Selects the handler of a request by its head. POCO sends 100 Continue only if the status of the
/// response is still 200 afterwards.
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    HandlerFactory(const OperatorServerOptions &options, DecisionLog &decisions, OperatorApi &api,
                   const TrackedConnection &connection)
        : m_options(options), m_decisions(decisions), m_api(api), m_connection(connection)
    { }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &request) override
    {
        m_connection.enter(ConnectionPhase::Reading);
        OperatorRequest parsed;
        std::optional<OperatorResponse> response = checkHead(request, m_options.limits);
        if (!response) {
            response = parseTarget(request, parsed);
        }
        if (!response && (parsed.path == "/healthz" || parsed.path == "/readyz")) {
            response = parsed.method == "GET" ? healthResponse(parsed.path, m_api)
                                              : methodNotAllowed("GET", parsed.method);
        }
        if (!response) {
            response = authenticate(request, parsed);
        }
        if (!response) {
            response = checkBodyFraming(request, m_options.limits);
        }
        if (response) {
            request.response().setStatus(
                    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response->status));
            m_connection.enter(ConnectionPhase::Sending);
            return new RejectingHandler(std::move(*response));
        }
        parsed.accept = request.get("Accept", "");
        parsed.contentType = request.get("Content-Type", "");
        parsed.ifMatch = request.get("If-Match", "");
        parsed.changeId = request.get("Dandelionloom-Change-Id", "");
        return new ApiHandler(std::move(parsed), m_options.limits, m_api, m_connection);
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
        OperatorResponse response =
                errorResponse(401, "expected a valid operator credential, found none");
        response.headers.emplace_back("WWW-Authenticate", "Bearer");
        return response;
    }

    const OperatorServerOptions &m_options;
    DecisionLog &m_decisions;
    OperatorApi &m_api;
    TrackedConnection m_connection;
};

/// What the connections of a listener share.
struct ListenerContext
{
    const OperatorServerOptions &options;
    DecisionLog &decisions;
    OperatorApi &api;
    ConnectionSet &connections;
    Poco::AutoPtr<Poco::Net::HTTPServerParams> parameters;
};

/// A descriptor of its own for a connection. POCO's session closes its descriptor by itself, so
/// that another thread that shuts the connection down could meet a new connection with the same
/// number.
class DuplicateSocket : public Poco::Net::StreamSocket
{
public:
    explicit DuplicateSocket(const Poco::Net::StreamSocket &socket)
        : StreamSocket(new Poco::Net::StreamSocketImpl(duplicate(socket)))
    { }

private:
    static int duplicate(const Poco::Net::StreamSocket &socket)
    {
        const int descriptor = ::dup(socket.impl()->sockfd());
        if (descriptor < 0) {
            throw Poco::Net::NetException("cannot duplicate a descriptor", errno);
        }
        return descriptor;
    }
};

class OperatorConnection : public Poco::Net::HTTPServerConnection
{
public:
    OperatorConnection(const Poco::Net::StreamSocket &socket, const ListenerContext &context)
        : OperatorConnection(socket, DuplicateSocket(socket), context)
    { }

    void run() override
    {
        try {
            if (!m_connections.add(m_duplicate, m_wait)) {
                refuse();
                return;
            }
            HTTPServerConnection::run();
        } catch (const std::exception &) {
            // The connection was lost, or closed by a limit, so that no response can be sent.
        }
        m_connections.remove(m_duplicate);
    }

private:
    /// Sends 503 before a request is read.
    void refuse()
    {
        const OperatorResponse response =
                errorResponse(503,
                              "expected room for another connection, found that the server handles "
                              "requests of "
                                      + std::to_string(maxConnections) + " others, or stops");
        Poco::Net::HTTPResponse head(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
        head.setKeepAlive(false);
        head.setContentType(response.contentType);
        head.setContentLength64(static_cast<Poco::Int64>(response.body.size()));
        for (const auto &[name, value] : response.headers) {
            head.set(name, value);
        }
        std::ostringstream bytes;
        head.write(bytes);
        bytes << response.body;
        const std::string text = bytes.str();
        socket().sendBytes(text.data(), static_cast<int>(text.size()), MSG_NOSIGNAL);
        socket().shutdownSend();
        discardInput(socket());
    }

    OperatorConnection(const Poco::Net::StreamSocket &socket,
                       const Poco::Net::StreamSocket &duplicate, const ListenerContext &context)
        : HTTPServerConnection(socket, context.parameters,
                               new HandlerFactory(context.options, context.decisions, context.api,
                                                  {duplicate, context.connections})),
          m_duplicate(duplicate), m_connections(context.connections),
          m_wait(commandsPerRequest * context.options.commandTimeout)
    { }

    const Poco::Net::StreamSocket m_duplicate;
    ConnectionSet &m_connections;
    const Milliseconds m_wait;
};

class OperatorConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit OperatorConnectionFactory(const ListenerContext &context) : m_context(context) { }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new OperatorConnection(socket, m_context);
    }

private:
    const ListenerContext m_context;
};

} // namespace

class OperatorServer::Listener
{
public:
    Listener(const OperatorServerOptions &options, DecisionLog &decisions, OperatorApi &api)
        : m_stopTimeout(commandsPerRequest * options.commandTimeout),
          m_connections({maxConnections, options.maxBufferedBytes}),
          m_socket(Poco::Net::SocketAddress(options.address)), m_threads(2, maxThreads),
          m_parameters(makeParameters(options.limits)),
          m_server(new OperatorConnectionFactory(
                           {options, decisions, api, m_connections, m_parameters}),
                   m_threads, m_socket, m_parameters)
    {
        m_server.start();
    }

    ~Listener()
    {
        m_server.stop();
        m_connections.stop(m_stopTimeout);
        m_threads.joinAll();
    }

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    std::uint16_t port() const { return m_socket.address().port(); }

private:
    static Poco::AutoPtr<Poco::Net::HTTPServerParams> makeParameters(const LimitSettings &limits)
    {
        Poco::AutoPtr<Poco::Net::HTTPServerParams> parameters(new Poco::Net::HTTPServerParams);
        const Poco::Timespan timeout(limits.readTimeout.count() * Poco::Timespan::MILLISECONDS);
        parameters->setMaxThreads(maxThreads);
        parameters->setMaxQueued(maxQueuedConnections);
        parameters->setTimeout(timeout);
        parameters->setKeepAliveTimeout(timeout);
        parameters->setThreadIdleTime(Poco::Timespan(threadIdleMicroseconds));
        return parameters;
    }

    const Milliseconds m_stopTimeout;
    ConnectionSet m_connections;
    Poco::Net::ServerSocket m_socket;
    Poco::ThreadPool m_threads;
    const Poco::AutoPtr<Poco::Net::HTTPServerParams> m_parameters;
    Poco::Net::TCPServer m_server;
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
