#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "Model/EnumNames.h"
#include "Model/Time.h"

namespace dandelionloom {

enum class EndpointState { Serving, Leaving, Gone };
inline constexpr EnumNames<EndpointState, 3> endpointStateNames{{"serving", "leaving", "gone"}};

/// Registration that an endpoint sends periodically.
struct Announcement
{
    std::string instance;
    /// IP number and port, "127.0.0.1:9000".
    std::string address;
    std::string service;
    std::uint32_t slots = 8;
    std::string rack;
    std::string availabilityZone;
    /// Increases with every start of the endpoint process.
    std::uint64_t incarnation = 0;
    EndpointState state = EndpointState::Serving;

    bool operator==(const Announcement &) const = default;
    MSGPACK_DEFINE_ARRAY(instance, address, service, slots, rack, availabilityZone, incarnation,
                         state)
};

/// Soft state of one endpoint. Every entry instance of the region has a copy.
struct EndpointRecord
{
    Announcement announcement;
    /// Entry instance that received the last announcement and renews the copies on the others.
    std::string owner;
    /// End of the lease on this process's monotonic clock.
    SteadyTimeMs leaseEndsAt = 0;
    /// Increases each time another entry instance takes over the incarnation; ties go to the higher
    /// owner name. All instances thus converge on one owner regardless of message order.
    std::uint64_t ownershipEpoch = 0;
    /// Digest of all fields except the lease; equal on all entry instances that have converged.
    std::uint64_t contentHash = 0;
};

/// An endpoint record as its owner replicates it to the other entry instances.
struct EndpointCopy
{
    Announcement announcement;
    std::uint64_t ownershipEpoch = 0;
    /// With state Gone: the lease expired at the owner; the endpoint did not announce that it left.
    bool leaseEnded = false;

    MSGPACK_DEFINE_ARRAY(announcement, ownershipEpoch, leaseEnded)
};

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::EndpointState)
