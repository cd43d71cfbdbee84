#include "Adapters/Http/HttpResponseText.h"

namespace dandelionloom {

namespace {

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 307:
        return "Temporary Redirect";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

std::string renderResponse(const HttpResponse &response, bool keepAlive)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " "
            + reasonPhrase(response.status) + "\r\n";
    for (const auto &[name, value] : response.headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (!keepAlive) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    return text + response.body;
}

} // namespace dandelionloom
