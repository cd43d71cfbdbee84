#pragma once

#include <map>
#include <string>

namespace dandelionloom::scenario {

struct HttpRequest
{
    std::string method = "GET";
    /// IP address and port.
    std::string address;
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    int timeoutMs = 5000;
};

struct HttpResponse
{
    /// 0 if there was no valid response; `error` then holds the reason.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string error;
};

/// Sends one request on a connection of its own. Header names of the response are in lower case.
HttpResponse sendHttpRequest(const HttpRequest &request);

} // namespace dandelionloom::scenario
