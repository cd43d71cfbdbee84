#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "Model/Time.h"

namespace dandelionloom {

/// What this process presents in its hello. The credential is never logged.
struct PeerIdentity
{
    std::string clusterId;
    std::string group;
    std::string name;
    std::string storageId;
    /// Grows with every start of the process.
    std::uint64_t incarnation = 0;
    std::string credential;
};

struct PeerAddress
{
    std::string name;
    std::string availabilityZone;
    /// IP number and port, "10.0.0.1:7400" or "[::1]:7400".
    std::string address;
};

struct PeerTransportOptions
{
    /// Limit of one message body in either direction. Snapshots and entries travel in chunks of at
    /// most 256 KiB, so this leaves room for a batch.
    std::size_t maxMessageBytes = 4U << 20U;
    /// Open streams of one connection.
    std::uint32_t maxStreams = 128;
    /// Header fields of one message, counted as HTTP/2 does: names, values and 32 bytes a field.
    std::size_t maxHeaderBytes = 4096;
    /// Bytes of incomplete inbound messages that one connection may hold.
    std::size_t maxBufferedBytes = 32U << 20U;
    /// Calls to one peer that wait or are in progress, and the bytes of their messages. A call past
    /// either limit is not sent.
    std::size_t maxPendingCalls = 4096;
    std::size_t maxPendingBytes = 64U << 20U;
    /// Accepted connections.
    std::size_t maxConnections = 256;

    Milliseconds connectTimeout{1000};
    /// From the connection to the accepted hello, on both sides.
    Milliseconds helloTimeout{2000};
    /// A connection that has pending calls and received no byte for this time is closed. A ping
    /// after half of it lets a long poll wait longer.
    Milliseconds silenceLimit{3000};
    /// The client side closes first, so that a call rarely meets a closing server.
    Milliseconds clientIdleTimeout{30000};
    Milliseconds serverIdleTimeout{60000};

    /// Pause between attempts to connect: doubles from min to max, each drawn between half and all
    /// of it, so that peers of a restarted process don't return at the same moment.
    Milliseconds backOffMin{50};
    Milliseconds backOffMax{1000};
    /// Pause after a refused hello, which only a changed setting can repair.
    Milliseconds refusedBackOff{5000};
    /// Seed of the jitter.
    std::uint64_t seed = 0;
};

} // namespace dandelionloom
