#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>

#include "Model/Result.h"

namespace dandelionloom {

/// An IP address and port in the form that socket calls use.
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
    /// The process or the system has no free descriptor.
    bool outOfDescriptors = false;
};

/// Returns a non-blocking listening socket.
Result<int, SocketError> listenOn(const SocketAddress &address);
/// Returns a non-blocking socket whose connection is being established.
Result<int, SocketError> startConnect(const SocketAddress &address);
/// Error of a finished connection attempt; no value if it succeeded.
std::optional<std::string> connectError(int descriptor);
SocketAddress localAddress(int descriptor);
std::uint16_t portOf(const SocketAddress &address);
void setNoDelay(int descriptor);

} // namespace dandelionloom
