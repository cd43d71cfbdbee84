#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include "EndpointRuns.h"

namespace dandelionloom::standIn {

/// HTTP server of a stand-in endpoint. The header `Stand-In-Mode` of a request selects how it is
/// answered; without the header it is the mode that setMode() or `/admin/mode?mode=NAME` set last:
/// ok, late (responds 60 s late or `Stand-In-Late-Ms`), twice, wrong-id, no-id, swapped (the
/// response to the request before), half, half-chunk, no-length, two-lengths, refuse (does not
/// start the run), fail (status 500), fail-after-run (runs, then closes the connection).
class EndpointHttp
{
public:
    using AdminHandler = std::function<std::string(const std::string &path, int downMs)>;

    /// `adminHandler` handles all admin paths, after this class has applied `/admin/mode`; it may
    /// be empty.
    explicit EndpointHttp(EndpointSettings settings, AdminHandler adminHandler = {})
        : m_settings(std::move(settings)), m_adminHandler(std::move(adminHandler)),
          m_endpointRuns(m_settings.slots, m_settings.keyLog), m_threads(2, maxConnections)
    {
        start();
    }

    ~EndpointHttp() { stop(); }

    void start()
    {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(m_settings.address), true, false);
        socket.listen(maxConnections);
        m_settings.address = socket.address().toString();
        auto *parameters = new Poco::Net::HTTPServerParams;
        parameters->setMaxThreads(maxConnections);
        parameters->setMaxQueued(maxConnections);
        parameters->setKeepAliveTimeout(Poco::Timespan(15, 0));
        m_server = std::make_unique<Poco::Net::HTTPServer>(new Factory(*this), m_threads, socket,
                                                           parameters);
        m_server->start();
    }

    /// Stops listening and closes every connection.
    void stop()
    {
        if (!m_server) {
            return;
        }
        m_endpointRuns.setAborted(true);
        m_endpointRuns.release();
        m_server->stopAll(true);
        m_threads.joinAll();
        m_server.reset();
        m_endpointRuns.setAborted(false);
    }

    const std::string &address() const { return m_settings.address; }
    EndpointRuns &endpointRuns() { return m_endpointRuns; }

    void setMode(const std::string &mode)
    {
        const std::lock_guard lock(m_mutex);
        m_mode = mode;
    }

private:
    static constexpr int maxConnections = 256;
    static constexpr const char *attemptHeader = "Dandelionloom-Attempt-Id";

    class Handler : public Poco::Net::HTTPRequestHandler
    {
    public:
        explicit Handler(EndpointHttp &endpoint) : m_endpoint(endpoint) { }

        void handleRequest(Poco::Net::HTTPServerRequest &request,
                           Poco::Net::HTTPServerResponse &response) override
        {
            try {
                m_endpoint.serve(request, response);
            } catch (const Poco::Exception &) {
                response.setKeepAlive(false);
            }
        }

    private:
        EndpointHttp &m_endpoint;
    };

    class Factory : public Poco::Net::HTTPRequestHandlerFactory
    {
    public:
        explicit Factory(EndpointHttp &endpoint) : m_endpoint(endpoint) { }

        Poco::Net::HTTPRequestHandler *
        createRequestHandler(const Poco::Net::HTTPServerRequest &) override
        {
            return new Handler(m_endpoint);
        }

    private:
        EndpointHttp &m_endpoint;
    };

    void serve(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        const Poco::URI uri(request.getURI());
        if (uri.getPath() == "/runs" || uri.getPath().starts_with("/admin/")) {
            const std::string text = handleAdminRequest(uri);
            response.setContentType("application/json");
            response.sendBuffer(text.data(), text.size());
            return;
        }
        const std::string mode = request.get("Stand-In-Mode", currentMode());
        response.set(attemptHeader, request.get(attemptHeader, ""));
        if (mode == "refuse") {
            m_endpointRuns.recordRefusal();
            refuse(response);
            return;
        }
        if (!m_endpointRuns.begin()) {
            refuse(response);
            return;
        }
        m_endpointRuns.recordRun(request.get("Dandelionloom-Request-Id", ""),
                                 request.get("Idempotency-Key", ""));
        const int lateMs = mode == "late" ? std::stoi(request.get("Stand-In-Late-Ms", "60000")) : 0;
        m_endpointRuns.simulateRun(std::chrono::milliseconds(m_settings.runMs + lateMs));
        try {
            sendResponse(mode, request, response,
                         m_settings.instance + ":" + request.getURI() + ":" + body);
        } catch (...) {
            m_endpointRuns.end();
            throw;
        }
        m_endpointRuns.end();
    }

    static void refuse(Poco::Net::HTTPServerResponse &response)
    {
        const std::string text = "not started\n";
        response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        response.set("Dandelionloom-Refused", "not-started");
        response.sendBuffer(text.data(), text.size());
    }

    void sendResponse(const std::string &mode, Poco::Net::HTTPServerRequest &request,
                      Poco::Net::HTTPServerResponse &response, std::string text)
    {
        const std::string attempt = request.get(attemptHeader, "");
        const std::string length = "Content-Length: " + std::to_string(text.size()) + "\r\n";
        const auto headWithId = [](const std::string &id) {
            return "HTTP/1.1 200 OK\r\n" + std::string(attemptHeader) + ": " + id + "\r\n";
        };
        const std::string complete = headWithId(attempt) + length + "\r\n" + text;
        if (mode == "twice") {
            sendRaw(request, response, complete + complete);
        } else if (mode == "wrong-id") {
            sendRaw(request, response, headWithId("other.1") + length + "\r\n" + text);
        } else if (mode == "no-id") {
            sendRaw(request, response, "HTTP/1.1 200 OK\r\n" + length + "\r\n" + text);
        } else if (mode == "swapped") {
            sendRaw(request, response, lastResponse());
        } else if (mode == "half") {
            sendRaw(request, response, complete.substr(0, complete.size() - text.size() / 2));
        } else if (mode == "half-chunk") {
            sendRaw(request, response,
                    headWithId(attempt) + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
        } else if (mode == "no-length") {
            sendRaw(request, response, headWithId(attempt) + "\r\n" + text);
        } else if (mode == "two-lengths") {
            sendRaw(request, response,
                    headWithId(attempt) + length + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        } else if (mode == "fail-after-run") {
            response.setKeepAlive(false);
        } else {
            if (mode == "fail") {
                response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
            }
            response.setContentType("text/plain");
            response.sendBuffer(text.data(), text.size());
            const std::lock_guard lock(m_mutex);
            m_lastResponse = complete;
        }
    }

    static void sendRaw(Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response, const std::string &bytes)
    {
        auto &implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request);
        implementation.socket().sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        response.setKeepAlive(false);
    }

    std::string handleAdminRequest(const Poco::URI &uri)
    {
        const std::string &path = uri.getPath();
        if (path == "/runs") {
            return m_endpointRuns.runsJson();
        }
        std::string mode;
        int downMs = 0;
        for (const auto &[name, value] : uri.getQueryParameters()) {
            if (name == "mode") {
                mode = value;
            } else if (name == "down_ms") {
                downMs = std::stoi(value);
            }
        }
        if (path == "/admin/mode") {
            setMode(mode);
        }
        return m_adminHandler ? m_adminHandler(path, downMs) : "{}";
    }

    std::string currentMode() const
    {
        const std::lock_guard lock(m_mutex);
        return m_mode;
    }

    std::string lastResponse() const
    {
        const std::lock_guard lock(m_mutex);
        return m_lastResponse;
    }

    EndpointSettings m_settings;
    const AdminHandler m_adminHandler;
    EndpointRuns m_endpointRuns;
    mutable std::mutex m_mutex;
    std::string m_mode = "ok";
    std::string m_lastResponse;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace dandelionloom::standIn
