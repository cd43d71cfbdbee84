#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "Model/EnumNames.h"
#include "Model/Time.h"

namespace dandelionloom {

enum class EndpointState { Serving, Leaving, Gone };
inline constexpr EnumNames<EndpointState, 3> endpointStateNames{{"serving", "leaving", "gone"}};

/// What an endpoint announces of itself.
struct Announcement
{
    std::string instance;
    /// IP number and port, "127.0.0.1:9000".
    std::string address;
    std::string service;
    std::uint32_t slots = 8;
    std::string rack;
    std::string availabilityZone;
    /// Grows with every start of the endpoint process.
    std::uint64_t incarnation = 0;
    EndpointState state = EndpointState::Serving;

    bool operator==(const Announcement &) const = default;
    MSGPACK_DEFINE_ARRAY(instance, address, service, slots, rack, availabilityZone, incarnation,
                         state)
};

/// Soft state of one endpoint, held by every entry instance of the region.
struct EndpointRecord
{
    Announcement announcement;
    /// Entry instance that took the last announcement and renews the copies of the others.
    std::string owner;
    /// End of the lease on this process's monotonic clock.
    SteadyTimeMs leaseEndsAt = 0;
    /// Grows each time another entry instance takes over the incarnation; of equal numbers the
    /// higher owner name holds. So all instances agree on the owner in any order of messages.
    std::uint64_t ownership = 0;
    /// Digest of all but the lease, equal on all entry instances.
    std::uint64_t contentHash = 0;
};

/// A record as its owner sends it to the other entry instances.
struct EndpointCopy
{
    Announcement announcement;
    std::uint64_t ownership = 0;
    /// With state Gone: the owner's lease ended, but the endpoint didn't say so itself.
    bool leaseEnded = false;

    MSGPACK_DEFINE_ARRAY(announcement, ownership, leaseEnded)
};

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::EndpointState)
