#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Model/Endpoint.h"
#include "Model/EnumNames.h"
#include "Model/Time.h"

namespace dandelionloom {

/// Result of an announcement.
enum class AnnounceVerdict {
    /// First announcement of the incarnation.
    Added,
    Renewed,
    /// The incarnation takes no new work from now on.
    MarkedLeaving,
    /// A higher incarnation of the instance is known. Ignored.
    OlderIncarnation,
    /// A serving announcement of an incarnation that is leaving. Ignored.
    IncarnationLeaving,
    /// The incarnation's lease ended or it announced its end. Ignored.
    IncarnationGone,
    /// The incarnation is known with another service. Ignored.
    OtherService
};
inline constexpr EnumNames<AnnounceVerdict, 7> announceVerdictNames{
        {"added", "renewed", "marked-leaving", "older-incarnation", "incarnation-leaving",
         "incarnation-gone", "other-service"}};

/// True if the announcement was stored in the table.
bool isAccepted(AnnounceVerdict verdict);

struct EndpointTableOptions
{
    /// Lease of an endpoint, renewed by each announcement.
    Milliseconds lease{30000};
    /// How long a gone incarnation is remembered, so that a late announcement can't revive it. A
    /// day, as for all records that a sender may repeat.
    Milliseconds tombstoneRetention{24LL * 60 * 60 * 1000};
    /// Name of this entry instance. A record of another owner is a copy: when its lease ends it is
    /// dropped without a tombstone, as only the owner knows whether the endpoint is gone. Empty:
    /// no record is a copy.
    std::string self{};
};

/// Number of an owner's records and the sum of their content hashes; equal for equal sets of
/// records.
struct OwnerDigest
{
    std::uint64_t count = 0;
    std::uint64_t hash = 0;

    bool operator==(const OwnerDigest &) const = default;
};

using EndpointList = std::shared_ptr<const std::vector<std::shared_ptr<const EndpointRecord>>>;

/// Soft state of all endpoints of the region, sharded by service and by instance, with a lock for
/// each shard.
/// Thread-safe and without I/O; time is passed in and must come from one monotonic clock.
class EndpointTable
{
public:
    explicit EndpointTable(EndpointTableOptions options);

    /// Stores an announcement that `owner` received. A late or repeated announcement never revives
    /// an incarnation that is leaving or gone.
    AnnounceVerdict announce(const Announcement &announcement, const std::string &owner,
                             SteadyTimeMs now);

    /// Marks the endpoints gone whose lease has ended, drops expired copies and old tombstones.
    /// Returns the instances that became gone.
    std::vector<std::string> expire(SteadyTimeMs now);

    /// Endpoints of a service that are not gone, by instance name. Never null. A lease may have
    /// ended since the last expire().
    EndpointList endpoints(const std::string &service) const;
    /// Endpoints of all services that are not gone.
    std::vector<std::shared_ptr<const EndpointRecord>> all() const;
    std::shared_ptr<const EndpointRecord> find(const std::string &instance) const;

    /// Merges a record that `owner` sent. Returns false if nothing changed. The result doesn't
    /// depend on the order in which copies arrive.
    bool merge(const EndpointCopy &copy, const std::string &owner, SteadyTimeMs leaseEndsAt,
               SteadyTimeMs now);
    /// Records of an owner, by instance name.
    std::vector<std::shared_ptr<const EndpointRecord>> ownedBy(const std::string &owner) const;
    OwnerDigest digestOf(const std::string &owner) const;
    /// Extends the leases of an owner's records.
    void renewCopies(const std::string &owner, SteadyTimeMs leaseEndsAt);
    /// Clears the owner field of its records that are not listed: their leases are no longer
    /// renewed and expire unless another owner takes them over.
    void clearOwnerExcept(const std::string &owner, const std::set<std::string> &listed);
    /// True if the incarnation is known to be gone.
    bool isGone(const std::string &instance, std::uint64_t incarnation) const;

    Milliseconds lease() const { return m_options.lease; }

private:
    /// Highest known incarnation of an instance. Remains as a tombstone after its record is
    /// removed.
    struct Incarnation
    {
        std::uint64_t number = 0;
        EndpointState state = EndpointState::Serving;
        std::string service;
        SteadyTimeMs goneSince = 0;
        /// The lease of the copy ended; unlike a gone endpoint, its owner may still renew it.
        bool copyExpired = false;
        /// Gone because the lease ended. A copy of a newer ownership revives the incarnation.
        bool leaseEnded = false;
        /// Last owner and ownership, kept for the time without a record.
        std::string owner;
        std::uint64_t ownershipEpoch = 0;
    };
    struct InstanceShard
    {
        mutable std::mutex mutex;
        std::map<std::string, Incarnation> incarnations;
    };
    struct Service
    {
        std::map<std::string, std::shared_ptr<const EndpointRecord>> records;
        /// Built at the first lookup after a change; null when outdated.
        mutable EndpointList list;
    };
    struct ServiceShard
    {
        mutable std::mutex mutex;
        std::map<std::string, Service> services;
    };
    static constexpr std::size_t shardCount = 16;

    InstanceShard &instanceShard(const std::string &instance);
    const InstanceShard &instanceShard(const std::string &instance) const;
    ServiceShard &serviceShard(const std::string &service);
    const ServiceShard &serviceShard(const std::string &service) const;
    void store(const Announcement &announcement, const std::string &owner,
               std::uint64_t ownershipEpoch, SteadyTimeMs leaseEndsAt);
    std::shared_ptr<const EndpointRecord> findRecord(const std::string &service,
                                                     const std::string &instance) const;
    /// Ownership number after an announcement to `owner`: one more if the owner changes.
    std::uint64_t ownershipFor(const Announcement &announcement, const std::string &owner,
                               const Incarnation &known) const;
    /// Calls `change` on a copy of each of the owner's records and stores it if `change` returns
    /// true.
    template <typename Change>
    void updateRecordsOf(const std::string &owner, const Change &change);
    void remove(const std::string &service, const std::string &instance);
    void expireShard(InstanceShard &shard, SteadyTimeMs now, std::vector<std::string> &gone);

    const EndpointTableOptions m_options;
    // A thread that holds an instance shard may lock a service shard, never the other way round.
    std::array<InstanceShard, shardCount> m_instanceShards;
    std::array<ServiceShard, shardCount> m_serviceShards;
};

} // namespace dandelionloom
