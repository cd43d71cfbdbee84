#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Model/Endpoint.h"

namespace dandelionloom {

/// Changes of records that the sender owns.
struct EndpointDeltaMessage
{
    std::uint64_t ownerIncarnation = 0;
    std::vector<EndpointCopy> changes;

    MSGPACK_DEFINE_ARRAY(ownerIncarnation, changes)
};

/// Digest of the records that the sender owns, see OwnerDigest.
struct EndpointDigestMessage
{
    std::uint64_t ownerIncarnation = 0;
    std::uint64_t count = 0;
    std::uint64_t hash = 0;

    MSGPACK_DEFINE_ARRAY(ownerIncarnation, count, hash)
};

/// Asks an owner for its next records, in order of instance name, starting behind `after`.
struct EndpointFetchRequest
{
    std::string after;

    MSGPACK_DEFINE_ARRAY(after)
};

struct EndpointFetchAnswer
{
    std::uint64_t ownerIncarnation = 0;
    std::vector<EndpointCopy> records;
    bool last = true;

    MSGPACK_DEFINE_ARRAY(ownerIncarnation, records, last)
};

template <typename T>
std::string encodeSyncMessage(const T &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

template <typename T>
std::optional<T> decodeSyncMessage(const std::string &bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size())->as<T>();
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace dandelionloom
