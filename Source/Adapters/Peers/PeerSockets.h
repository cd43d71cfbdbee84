#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>

#include "Model/Result.h"

namespace dandelionloom {

/// An IP number and port as the socket calls take it.
struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t length = 0;
};

/// Parses "10.0.0.1:7400" or "[::1]:7400". Host names are not resolved.
std::optional<SocketAddress> parseSocketAddress(const std::string &text);
std::string formatSocketAddress(const SocketAddress &address);

struct SocketError
{
    std::string message;
};

/// A non-blocking listening socket.
Result<int, SocketError> listenOn(const SocketAddress &address);
/// A non-blocking socket with the connection in progress.
Result<int, SocketError> startConnect(const SocketAddress &address);
/// The result of a connection attempt; empty if it succeeded.
std::optional<std::string> connectFault(int descriptor);
SocketAddress localAddress(int descriptor);
std::uint16_t portOf(const SocketAddress &address);
void setNoDelay(int descriptor);

} // namespace dandelionloom
