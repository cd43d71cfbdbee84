#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "Model/Time.h"

namespace dandelionloom {

/// Identity that this process presents in its hello. The credential must never be logged.
struct PeerIdentity
{
    std::string clusterId;
    std::string group;
    std::string name;
    std::string storageId;
    /// Increases with every start of the process.
    std::uint64_t incarnation = 0;
    std::string credential;
};

struct PeerAddress
{
    std::string name;
    std::string availabilityZone;
    /// IP address and port, "10.0.0.1:7400" or "[::1]:7400".
    std::string address;
};

struct PeerTransportOptions
{
    /// Size limit of a message body in either direction. Snapshots and entries are sent in chunks
    /// of at most 256 KiB, so the limit has room for a batch of them.
    std::size_t maxMessageBytes = 4U << 20U;
    /// Concurrent streams per connection.
    std::uint32_t maxStreams = 128;
    /// Size of the header fields of one message, computed as in HTTP/2: names, values and 32 bytes
    /// per field.
    std::size_t maxHeaderBytes = 4096;
    /// Bytes of incomplete inbound messages that one connection may hold.
    std::size_t maxBufferedBytes = 32U << 20U;
    /// Limits for the queued and sent calls to one peer, by number and by message bytes. A call
    /// that exceeds either limit fails with NotSent.
    std::size_t maxPendingCalls = 4096;
    std::size_t maxPendingBytes = 64U << 20U;
    /// Concurrent inbound connections. Beyond it the oldest one without an accepted hello is
    /// closed.
    std::size_t maxConnections = 256;
    /// Bytes of messages that all inbound connections together may hold: incomplete requests,
    /// requests being handled, and responses that were not sent. While requests being handled take
    /// the whole limit, the others may still take two messages. 0 for no limit.
    std::size_t maxHeldBytes = 0;

    Milliseconds connectTimeout{1000};
    /// Time from the established connection to the accepted hello, on both sides.
    Milliseconds helloTimeout{2000};
    /// A connection with pending calls is closed when it has received no byte for this time. A ping
    /// after half of this time keeps a healthy connection open during a long poll.
    Milliseconds receiveTimeout{3000};
    /// Shorter than serverIdleTimeout, so that the client closes first and its calls rarely reach a
    /// server that is closing the connection.
    Milliseconds clientIdleTimeout{30000};
    Milliseconds serverIdleTimeout{60000};

    /// Back-off between connection attempts. Doubles from min to max; each delay is drawn at random
    /// between half and all of it, so that the peers of a restarted process do not reconnect at the
    /// same moment.
    Milliseconds backOffMin{50};
    Milliseconds backOffMax{1000};
    /// Back-off after a refused hello. It is longer, because only a changed setting can resolve
    /// that.
    Milliseconds refusedBackOff{5000};
    /// Seed of the back-off jitter.
    std::uint64_t seed = 0;
};

} // namespace dandelionloom
