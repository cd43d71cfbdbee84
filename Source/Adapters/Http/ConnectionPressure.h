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
    /// No request was begun.
    Idle,
    /// Part of a request has arrived.
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
    /// Time of the last complete request or response.
    SteadyTimeMs progressAt = 0;
};

/// Names the connection that is closed when the server has reached its limit of connections or of
/// buffered bytes; none if all handle requests. Answers clients that send requests ahead without
/// reading the responses: they are closed before clients that wait, so that a caller that sends one
/// request at a time still gets through.
std::optional<std::uint64_t>
chooseConnectionToClose(const std::vector<ConnectionFacts> &connections);

} // namespace dandelionloom
