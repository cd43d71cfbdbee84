#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Model/Time.h"

namespace dandelionloom {

enum class ConnectionActivity {
    /// The client has not read its responses.
    ResponseUnread,
    /// A response was sent, and no next request was begun.
    Idle,
    /// Part of a request has arrived, or no byte of the first request of a connection.
    RequestIncomplete,
    /// A request is being handled. It may have an effect, so its client gets the response.
    RequestActive
};

struct ConnectionFacts
{
    std::uint64_t id = 0;
    ConnectionActivity activity = ConnectionActivity::Idle;
    /// Bytes of requests and responses that the connection holds.
    std::size_t bufferedBytes = 0;
    /// Time of the last complete request or response, of the last part of a response that the
    /// client has taken, or of the begin of a request.
    SteadyTimeMs progressAt = 0;
};

/// Time without progress after which a response counts as unread. The kernel takes no bytes for
/// shorter times from any client that reads a large response.
inline constexpr SteadyTimeMs unreadGraceMs = 1000;

/// What a connection does whose response is being sent. `writable` tells that the kernel takes more
/// bytes.
ConnectionActivity activityOfResponse(bool writable, SteadyTimeMs withoutProgressMs);

/// Names the connection that is closed when the server has reached its limit of connections or of
/// buffered bytes; none if all handle requests. Answers clients that send requests ahead without
/// reading the responses: they are closed before clients that wait, so that a caller that sends one
/// request at a time still gets through.
std::optional<std::uint64_t>
chooseConnectionToClose(const std::vector<ConnectionFacts> &connections);

} // namespace dandelionloom
