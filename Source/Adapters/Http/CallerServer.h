#pragma once

#include <string>

#include "Adapters/Http/Credentials.h"
#include "Adapters/Http/HttpListener.h"
#include "Ports/Handlers.h"

namespace dandelionloom {

/// Listener for callers. Each credential belongs to a plan, which is the principal of the request.
class CallerServer : private HttpHandler
{
public:
    /// Throws Poco::Exception if the address can't be bound.
    CallerServer(const std::string &address, const HttpLimits &limits, Credentials credentials,
                 CallerHandler &handler);

    void start() { m_listener.start(); }
    void stop() { m_listener.stop(); }
    std::string address() const { return m_listener.address(); }

private:
    Result<std::string, HttpResponse> authorize(const HttpHead &head) override;
    HttpResponse handle(const std::string &principal, HttpHead head, std::string body) override;
    HttpResponse makeErrorResponse(const HttpRequestError &error) override;

    const Credentials m_credentials;
    CallerHandler &m_handler;
    HttpListener m_listener;
};

} // namespace dandelionloom
