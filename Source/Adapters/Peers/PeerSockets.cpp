#include "Adapters/Peers/PeerSockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>

namespace dandelionloom {

namespace {

constexpr int listenBacklog = 128;

SocketError socketError(const std::string &what, const SocketAddress &address)
{
    const int error = errno;
    return {what + " " + formatSocketAddress(address) + ": " + std::strerror(error),
            error == EMFILE || error == ENFILE};
}

int createSocket(const SocketAddress &address)
{
    return ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

} // namespace

std::optional<SocketAddress> parseSocketAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc() || parsedEnd != end) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    SocketAddress result;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        sockaddr_in6 address{};
        address.sin6_family = AF_INET6;
        address.sin6_port = htons(port);
        if (::inet_pton(AF_INET6, host.c_str(), &address.sin6_addr) != 1) {
            return std::nullopt;
        }
        std::memcpy(&result.storage, &address, sizeof address);
        result.length = sizeof address;
        return result;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    std::memcpy(&result.storage, &address, sizeof address);
    result.length = sizeof address;
    return result;
}

std::string formatSocketAddress(const SocketAddress &address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.storage.ss_family == AF_INET6) {
        sockaddr_in6 value{};
        std::memcpy(&value, &address.storage, sizeof value);
        ::inet_ntop(AF_INET6, &value.sin6_addr, text.data(), text.size());
        return "[" + std::string(text.data()) + "]:" + std::to_string(portOf(address));
    }
    sockaddr_in value{};
    std::memcpy(&value, &address.storage, sizeof value);
    ::inet_ntop(AF_INET, &value.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(portOf(address));
}

Result<int, SocketError> listenOn(const SocketAddress &address)
{
    const int descriptor = createSocket(address);
    const int on = 1;
    if (descriptor < 0) {
        return socketError("listen on", address);
    }
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address.storage), address.length)
                != 0
        || ::listen(descriptor, listenBacklog) != 0) {
        const SocketError error = socketError("listen on", address);
        ::close(descriptor);
        return error;
    }
    return descriptor;
}

Result<int, SocketError> startConnect(const SocketAddress &address)
{
    const int descriptor = createSocket(address);
    if (descriptor < 0) {
        return socketError("connect to", address);
    }
    setNoDelay(descriptor);
    const int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address.storage),
                                 address.length);
    if (result != 0 && errno != EINPROGRESS) {
        const SocketError error = socketError("connect to", address);
        ::close(descriptor);
        return error;
    }
    return descriptor;
}

std::optional<std::string> connectError(int descriptor)
{
    int errorNumber = 0;
    socklen_t length = sizeof errorNumber;
    if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &errorNumber, &length) != 0) {
        errorNumber = errno;
    }
    if (errorNumber == 0) {
        return std::nullopt;
    }
    return std::string(std::strerror(errorNumber));
}

SocketAddress localAddress(int descriptor)
{
    SocketAddress result;
    result.length = sizeof result.storage;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&result.storage), &result.length);
    return result;
}

std::uint16_t portOf(const SocketAddress &address)
{
    if (address.storage.ss_family == AF_INET6) {
        sockaddr_in6 value{};
        std::memcpy(&value, &address.storage, sizeof value);
        return ntohs(value.sin6_port);
    }
    sockaddr_in value{};
    std::memcpy(&value, &address.storage, sizeof value);
    return ntohs(value.sin_port);
}

void setNoDelay(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace dandelionloom
