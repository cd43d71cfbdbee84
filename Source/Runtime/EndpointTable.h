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

/// What an announcement came to.
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

/// True if the table took over the announcement.
bool isAccepted(AnnounceVerdict verdict);

struct EndpointTableOptions
{
    /// Life of an announcement without renewal.
    Milliseconds lease{30000};
    /// How long a gone incarnation is remembered. A day, as for all records a sender may repeat.
    Milliseconds tombstoneRetention{24LL * 60 * 60 * 1000};
    /// Name of this entry instance. A record of another owner is a copy: when its lease ends it is
    /// dropped without a tombstone, as only the owner knows whether the endpoint is gone. Empty:
    /// no record is a copy.
    std::string self{};
};

/// What one owner's records add up to.
struct OwnedSummary
{
    std::uint64_t count = 0;
    std::uint64_t hash = 0;

    bool operator==(const OwnedSummary &) const = default;
};

using EndpointList = std::shared_ptr<const std::vector<std::shared_ptr<const EndpointRecord>>>;

/// Soft state of all endpoints of the region, in shards by service that each have their own lock.
/// Thread-safe and without I/O; time is passed in and must come from one monotonic clock.
class EndpointTable
{
public:
    explicit EndpointTable(EndpointTableOptions options);

    /// Takes an announcement that `owner` received. A late or repeated one never revives an
    /// incarnation that is leaving or gone.
    AnnounceVerdict announce(const Announcement &announcement, const std::string &owner,
                             SteadyTimeMs now);

    /// Marks every endpoint gone whose lease has ended and forgets old tombstones. Gives the
    /// instances that went.
    std::vector<std::string> expire(SteadyTimeMs now);

    /// Endpoints of a service that are not gone, by instance name. Never null. A lease may have
    /// ended since the last expire().
    EndpointList endpoints(const std::string &service) const;
    /// Endpoints of all services that are not gone.
    std::vector<std::shared_ptr<const EndpointRecord>> all() const;
    std::shared_ptr<const EndpointRecord> find(const std::string &instance) const;

    /// Takes a record that `owner` sent. Gives false if it changed nothing. The order in which
    /// copies arrive makes no difference to the outcome.
    bool merge(const EndpointCopy &copy, const std::string &owner, SteadyTimeMs leaseEndsAt,
               SteadyTimeMs now);
    /// Records of an owner, by instance name.
    std::vector<std::shared_ptr<const EndpointRecord>> ownedBy(const std::string &owner) const;
    OwnedSummary summaryOf(const std::string &owner) const;
    /// Extends the leases of an owner's records.
    void renewCopies(const std::string &owner, SteadyTimeMs leaseEndsAt);
    /// Lets all of an owner's records but the listed ones run out, unless another owner has them.
    void disown(const std::string &owner, const std::set<std::string> &kept);
    /// True if the incarnation is known to be gone.
    bool isGone(const std::string &instance, std::uint64_t incarnation) const;

    Milliseconds lease() const { return m_options.lease; }

private:
    /// Highest incarnation of an instance. Outlives the record as its tombstone.
    struct Incarnation
    {
        std::uint64_t number = 0;
        EndpointState state = EndpointState::Serving;
        std::string service;
        SteadyTimeMs goneSince = 0;
        /// The copy's lease ended; the owner may still renew it.
        bool dropped = false;
        /// Gone as the lease ended, which an owner that holds a later lease may correct.
        bool leaseEnded = false;
        /// Last owner, for the time without a record.
        std::string owner;
        std::uint64_t ownership = 0;
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
    void store(const Announcement &announcement, const std::string &owner, std::uint64_t ownership,
               SteadyTimeMs leaseEndsAt);
    std::shared_ptr<const EndpointRecord> recordOf(const std::string &service,
                                                   const std::string &instance) const;
    /// Number of the ownership that an announcement to `owner` begins or continues.
    std::uint64_t ownershipFor(const Announcement &announcement, const std::string &owner,
                               const Incarnation &known) const;
    /// Changes the records of an owner; the function may return null to keep one as it is.
    template <typename Change>
    void changeOwned(const std::string &owner, const Change &change);
    void remove(const std::string &service, const std::string &instance);
    void expireShard(InstanceShard &shard, SteadyTimeMs now, std::vector<std::string> &gone);

    const EndpointTableOptions m_options;
    // A thread that holds an instance shard may lock a service shard, never the other way round.
    std::array<InstanceShard, shardCount> m_instanceShards;
    std::array<ServiceShard, shardCount> m_serviceShards;
};

} // namespace dandelionloom
