#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "Adapters/Peers/PeerOptions.h"
#include "Ports/PeerTransport.h"

namespace dandelionloom {

/// Version of the protocol between entry instances.
inline constexpr std::uint32_t peerProtocolVersion = 1;

/// First message of a connection. The version must stay the first field in all protocol versions.
struct PeerHello
{
    std::uint32_t version = 0;
    std::string clusterId;
    std::string group;
    std::string name;
    std::string storageId;
    std::uint64_t incarnation = 0;
    std::string credential;

    MSGPACK_DEFINE_ARRAY(version, clusterId, group, name, storageId, incarnation, credential)
};

/// Response to a hello. It names the server, so that the client can detect a wrong address.
struct PeerHelloReply
{
    std::uint32_t version = 0;
    bool accepted = false;
    std::string message;
    std::string clusterId;
    std::string name;

    MSGPACK_DEFINE_ARRAY(version, accepted, message, clusterId, name)
};

struct PeerRequest
{
    std::uint32_t kind = 0;
    std::string body;

    MSGPACK_DEFINE_ARRAY(kind, body)
};

/// Status 0: `body` is the result. Status 1: the request was refused, for the reason in `body`.
/// Status 2: the request failed for the reason in `body`, but may have taken effect.
struct PeerResponse
{
    std::uint32_t status = 0;
    std::string body;

    MSGPACK_DEFINE_ARRAY(status, body)
};

/// Maximum number of fields of an envelope, including fields that a newer version may add.
inline constexpr std::size_t maxEnvelopeFields = 16;

/// Maximum number of bytes that an envelope adds to its body.
inline constexpr std::size_t maxEnvelopeBytes = 64;

PeerHello makeHello(const PeerIdentity &self);

/// Returns why a hello must be refused, without revealing any credential; no value if it is
/// accepted.
std::optional<std::string> helloRefusal(const PeerHello &hello, const PeerIdentity &self);

/// The run time depends only on the length of `found`, so that it does not reveal how much of a
/// credential matches. An empty `expected` never matches.
bool equalsInConstantTime(std::string_view expected, std::string_view found);

/// Makes text from the network safe for log lines: replaces non-printable characters by '?' and
/// shortens it to `maxLength` characters.
std::string toPrintable(std::string_view text, std::size_t maxLength = 64);

/// Maximum length of a refusal reason that is taken from a peer.
inline constexpr std::size_t maxRefusalLength = 400;

template <typename T>
std::string encodeEnvelope(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

/// Returns no value if the bytes are not exactly one complete msgpack document of the type.
template <typename T>
std::optional<T> decodeEnvelope(const std::string &bytes)
{
    try {
        std::size_t offset = 0;
        // No valid envelope is larger or more deeply nested. Without the limits, a few bytes could
        // declare arrays or strings of gigabytes.
        const msgpack::unpack_limit limit(maxEnvelopeFields, 0, bytes.size(), 0, 0, 1);
        const msgpack::object_handle handle =
                msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size() || handle->type != msgpack::type::ARRAY) {
            return std::nullopt;
        }
        return handle->as<T>();
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace dandelionloom
