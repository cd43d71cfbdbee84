#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "Adapters/Peers/PeerOptions.h"
#include "Ports/PeerTransport.h"

namespace dandelionloom {

/// Version of the messages between entry instances.
inline constexpr std::uint32_t peerProtocolVersion = 1;

/// First message of a connection. The version stays the first field in all versions.
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

/// Answer to a hello; names the server, so that the client notices a wrong address.
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

/// Status 0: `body` is the answer. 1: refused for the reason in `body`. 2: failed for that reason
/// after it may have had an effect.
struct PeerResponse
{
    std::uint32_t status = 0;
    std::string body;

    MSGPACK_DEFINE_ARRAY(status, body)
};

/// Fields of an envelope at most, with room for those of a newer version.
inline constexpr std::size_t maxEnvelopeFields = 16;

/// Bytes that an envelope adds to a body, at most.
inline constexpr std::size_t maxEnvelopeBytes = 64;

PeerHello helloOf(const PeerIdentity &self);

/// Why a hello is refused: what was expected and found, without any credential. Empty if accepted.
std::optional<std::string> refusalOf(const PeerHello &hello, const PeerIdentity &self);

/// Takes the same time for all `found` of one length.
bool equalsInConstantTime(std::string_view expected, std::string_view found);

/// Text from the network as it may appear in a log line: printable and at most `maxLength`
/// characters.
std::string printable(std::string_view text, std::size_t maxLength = 64);

/// Longest reason of a refusal that is taken over from a peer.
inline constexpr std::size_t maxRefusalLength = 400;

template <typename T>
std::string encodeEnvelope(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

/// Empty if the bytes are not one whole document of the type.
template <typename T>
std::optional<T> decodeEnvelope(const std::string &bytes)
{
    try {
        std::size_t offset = 0;
        // No envelope is larger or deeper; the limits keep a few bytes from claiming gigabytes.
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
