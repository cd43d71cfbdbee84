#pragma once

#include <map>
#include <string>

namespace dandelionloom::scenario {

struct HttpCall
{
    std::string method = "GET";
    /// IP number and port.
    std::string address;
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    int timeoutMs = 5000;
};

struct HttpResponse
{
    /// 0 if no answer came; `error` then says why.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string error;
};

/// One request on a connection of its own. Header names of the answer are in lower case.
HttpResponse callHttp(const HttpCall &call);

} // namespace dandelionloom::scenario
