#include "Operators/OperatorFixture.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace dandelionloom::test {

namespace {

/// Far above the response time of the server; only a failing test reaches it.
constexpr int receiveTimeoutSeconds = 10;

bool isCompleteResponse(const std::string &response)
{
    const std::size_t end = response.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    const std::string length = headerOf(response, "Content-Length");
    return !length.empty() && response.size() >= end + 4 + std::stoul(length);
}

} // namespace

std::string roundTrip(std::uint16_t port, const std::string &bytes)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    socket.setReceiveTimeout(Poco::Timespan(receiveTimeoutSeconds, 0));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    std::string response;
    char buffer[4096];
    while (!isCompleteResponse(response)) {
        const int count = socket.receiveBytes(buffer, sizeof(buffer));
        if (count <= 0) {
            break;
        }
        response.append(buffer, static_cast<std::size_t>(count));
    }
    return response;
}

std::string sendRequest(const OperatorFixture &fixture, const std::string &method,
                        const std::string &path, const std::vector<std::string> &headers,
                        const std::string &body)
{
    std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: loom\r\n"
            + "Authorization: Bearer alice-secret\r\n";
    for (const std::string &header : headers) {
        bytes += header + "\r\n";
    }
    if (method != "GET") {
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return roundTrip(fixture.server->port(), bytes + "\r\n" + body);
}

int statusOf(const std::string &response)
{
    return response.size() > 12 ? std::stoi(response.substr(9, 3)) : 0;
}

std::string bodyOf(const std::string &response)
{
    const std::size_t end = response.find("\r\n\r\n");
    return end == std::string::npos ? "" : response.substr(end + 4);
}

std::string headerOf(const std::string &response, const std::string &name)
{
    const std::size_t start = response.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t value = start + name.size() + 4;
    return response.substr(value, response.find("\r\n", value) - value);
}

std::string plansText(const std::string &id, int minHealthy)
{
    return "[[plan]]\nid = \"" + id
            + "\"\ncustomer = \"c\"\nservice = \"pricing\"\nmin_healthy_instances = "
            + std::to_string(minHealthy) + "\nmax_unavailable_instances = 1\n";
}

} // namespace dandelionloom::test
