#include "Adapters/Http/CallerServer.h"

#include <utility>

namespace dandelionloom {

CallerServer::CallerServer(const std::string &address, const HttpLimits &limits,
                           Credentials credentials, CallerHandler &handler)
    : m_credentials(std::move(credentials)), m_handler(handler), m_listener(address, limits, *this)
{ }

Result<std::string, HttpResponse> CallerServer::authorize(const HttpHead &head)
{
    if (const auto plan = m_credentials.ownerOf(head.headers)) {
        return *plan;
    }
    HttpResponse response = m_handler.refuse(401, "no-valid-credential");
    response.headers.emplace_back("WWW-Authenticate", "Bearer");
    return response;
}

HttpResponse CallerServer::handle(const std::string &principal, HttpHead head, std::string body)
{
    CallerRequest request;
    request.plan = principal;
    request.method = std::move(head.method);
    request.target = std::move(head.target);
    request.headers = std::move(head.headers);
    request.body = std::move(body);
    request.receivedAt = steadyTimeNow();
    return m_handler.serve(std::move(request));
}

HttpResponse CallerServer::makeErrorResponse(const HttpRequestError &error)
{
    return m_handler.refuse(error.status, error.reason);
}

} // namespace dandelionloom
