#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionloom {

struct ReplicaPeer
{
    std::string name;
    std::string availabilityZone;
    /// True if the settings name this instance as a voter.
    bool voter = false;
};

struct ReplicaOptions
{
    std::string name;
    std::string availabilityZone;
    std::string group;
    /// All other entry instances of the group.
    std::vector<ReplicaPeer> peers;
    std::int64_t heartbeatMs = 150;
    std::int64_t electionMinMs = 600;
    std::int64_t electionMaxMs = 1200;
    /// Maximum size of an encoded command. An entry with its envelope must fit a message of 256
    /// KiB.
    std::size_t maxCommandBytes = 252 * 1024;
    /// A snapshot is taken when the log since the last one exceeds either limit.
    std::size_t compactBytes = 16 * 1024 * 1024;
    std::uint64_t compactEntries = 20000;
    /// Interval at which the leader removes records whose retention period has ended.
    std::int64_t expireIntervalMs = 10 * 60 * 1000;
    std::uint64_t seed = 1;
};

} // namespace dandelionloom
