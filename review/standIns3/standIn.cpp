// Stand-ins of the third review, with POSIX sockets only.
//
//   standIn call METHOD ADDRESS PATH TIMEOUT_MS [BODY_FILE]
//       Makes one HTTP call. Prints the status, or 000 without a complete answer, and the body.
//   standIn platform ADDRESS
//       Serves GET /v1/machines with an empty list, until it is ended.
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in parseAddress(const std::string &address)
{
    sockaddr_in parsed{};
    const std::size_t colon = address.rfind(':');
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

int remainingMs(Clock::time_point deadline)
{
    const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
    return left > 0 ? static_cast<int>(left) : 0;
}

bool waitFor(int descriptor, short events, Clock::time_point deadline)
{
    pollfd entry{descriptor, events, 0};
    return poll(&entry, 1, remainingMs(deadline)) == 1;
}

/// The whole response; empty if none came in time.
std::string exchange(const sockaddr_in &address, const std::string &request,
                     Clock::time_point deadline)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        && errno != EINPROGRESS) {
        close(descriptor);
        return {};
    }
    std::size_t sent = 0;
    while (sent < request.size()) {
        if (!waitFor(descriptor, POLLOUT, deadline)) {
            close(descriptor);
            return {};
        }
        const ssize_t count =
                send(descriptor, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN) {
            close(descriptor);
            return {};
        }
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    std::string response;
    char buffer[65536];
    while (waitFor(descriptor, POLLIN, deadline)) {
        const ssize_t count = recv(descriptor, buffer, sizeof buffer, 0);
        if (count <= 0) {
            break;
        }
        response.append(buffer, static_cast<std::size_t>(count));
        const std::size_t head = response.find("\r\n\r\n");
        const std::size_t length = response.find("Content-Length: ");
        if (head != std::string::npos && length != std::string::npos && length < head
            && response.size() >= head + 4 + std::stoul(response.substr(length + 16))) {
            close(descriptor);
            return response;
        }
    }
    close(descriptor);
    return {};
}

int call(char **arguments, int count)
{
    const std::string method = arguments[0];
    const std::string address = arguments[1];
    std::string body;
    if (count > 4) {
        std::ifstream file(arguments[4]);
        std::ostringstream content;
        content << file.rdbuf();
        body = content.str();
    }
    const std::string request = method + " " + arguments[2] + " HTTP/1.1\r\nHost: " + address
            + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::string response =
            exchange(parseAddress(address), request,
                     Clock::now() + std::chrono::milliseconds(std::stoi(arguments[3])));
    const std::size_t head = response.find("\r\n\r\n");
    if (head == std::string::npos) {
        std::cout << "000\n";
        return 0;
    }
    std::cout << response.substr(9, 3) << "\n" << response.substr(head + 4) << "\n";
    return 0;
}

int platform(const std::string &address)
{
    const sockaddr_in parsed = parseAddress(address);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&parsed), sizeof parsed) != 0
        || listen(listener, 64) != 0) {
        std::perror("platform");
        return 2;
    }
    for (;;) {
        const int descriptor = accept(listener, nullptr, nullptr);
        if (descriptor < 0) {
            continue;
        }
        char buffer[4096];
        const Clock::time_point deadline = Clock::now() + std::chrono::milliseconds(300);
        std::string request;
        while (request.find("\r\n\r\n") == std::string::npos
               && waitFor(descriptor, POLLIN, deadline)) {
            const ssize_t count = recv(descriptor, buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            request.append(buffer, static_cast<std::size_t>(count));
        }
        const std::string body = "{\"machines\":[]}";
        const std::string response =
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
                "Content-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
        send(descriptor, response.data(), response.size(), MSG_NOSIGNAL);
        close(descriptor);
    }
}

} // namespace

int main(int count, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (count >= 6 && std::strcmp(arguments[1], "call") == 0) {
        return call(arguments + 2, count - 2);
    }
    if (count == 3 && std::strcmp(arguments[1], "platform") == 0) {
        return platform(arguments[2]);
    }
    std::cerr << "usage: standIn call METHOD ADDRESS PATH TIMEOUT_MS [BODY_FILE]\n"
                 "       standIn platform ADDRESS\n";
    return 2;
}
