#pragma once

#include <string>

#include "Adapters/Http/Credentials.h"
#include "Adapters/Http/HttpListener.h"
#include "Ports/Handlers.h"

namespace dandelionloom {

/// Limits of the listener for endpoints. They are low because announcements are small and
/// infrequent.
HttpLimits endpointServerLimits();

struct AnnouncementError
{
    /// Names the field, what was expected and what was found.
    std::string message;
};

/// Parses the JSON body of an announcement.
Result<Announcement, AnnouncementError> parseAnnouncement(const std::string &json);

/// Listener for endpoints: `POST /v1/endpoints/announce`.
class EndpointServer : private HttpHandler
{
public:
    /// Throws Poco::Exception if the address can't be bound.
    EndpointServer(const std::string &address, const HttpLimits &limits, Credentials credentials,
                   AnnouncementHandler &handler);

    void start() { m_listener.start(); }
    void stop() { m_listener.stop(); }
    std::string address() const { return m_listener.address(); }

private:
    Result<std::string, HttpResponse> authorize(const HttpHead &head) override;
    HttpResponse handle(const std::string &principal, HttpHead head, std::string body) override;
    HttpResponse makeErrorResponse(const HttpRequestError &error) override;

    const Credentials m_credentials;
    AnnouncementHandler &m_handler;
    HttpListener m_listener;
};

} // namespace dandelionloom
