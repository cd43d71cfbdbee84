// The part of EndpointTable that merges and renews copies of records of other entry instances.
#include <algorithm>
#include <tuple>
#include <utility>

#include <msgpack.hpp>
#include <xxhash.h>

#include "Runtime/EndpointTable.h"

namespace dandelionloom {

namespace {

std::uint64_t contentHashOf(const Announcement &announcement, std::uint64_t ownershipEpoch)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, announcement);
    msgpack::pack(buffer, ownershipEpoch);
    return XXH64(buffer.data(), buffer.size(), 0);
}

} // namespace

void EndpointTable::store(const Announcement &announcement, const std::string &owner,
                          std::uint64_t ownershipEpoch, SteadyTimeMs leaseEndsAt)
{
    auto record = std::make_shared<const EndpointRecord>(
            EndpointRecord{announcement, owner, leaseEndsAt, ownershipEpoch,
                           contentHashOf(announcement, ownershipEpoch)});
    ServiceShard &shard = serviceShard(announcement.service);
    const std::lock_guard lock(shard.mutex);
    Service &service = shard.services[announcement.service];
    service.records[announcement.instance] = std::move(record);
    service.list.reset();
}

std::shared_ptr<const EndpointRecord> EndpointTable::findRecord(const std::string &service,
                                                                const std::string &instance) const
{
    const ServiceShard &shard = serviceShard(service);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.services.find(service);
    if (found == shard.services.end()) {
        return nullptr;
    }
    const auto record = found->second.records.find(instance);
    return record == found->second.records.end() ? nullptr : record->second;
}

std::uint64_t EndpointTable::ownershipFor(const Announcement &announcement,
                                          const std::string &owner, const Incarnation &known) const
{
    if (known.number != announcement.incarnation || known.service != announcement.service) {
        return 1;
    }
    const auto record = findRecord(announcement.service, announcement.instance);
    const std::string &lastOwner = record ? record->owner : known.owner;
    const std::uint64_t last = record ? record->ownershipEpoch : known.ownershipEpoch;
    return lastOwner == owner ? std::max<std::uint64_t>(last, 1) : last + 1;
}

bool EndpointTable::merge(const EndpointCopy &copy, const std::string &owner,
                          SteadyTimeMs leaseEndsAt, SteadyTimeMs now)
{
    Announcement announcement = copy.announcement;
    InstanceShard &shard = instanceShard(announcement.instance);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.incarnations.find(announcement.instance);
    const bool known = found != shard.incarnations.end();
    if (known && announcement.incarnation < found->second.number) {
        return false;
    }
    const bool sameIncarnation = known && announcement.incarnation == found->second.number;
    std::string newOwner = owner;
    std::uint64_t ownershipEpoch = copy.ownershipEpoch;
    if (sameIncarnation) {
        const Incarnation &last = found->second;
        const auto record = findRecord(last.service, announcement.instance);
        const bool newer = std::tie(copy.ownershipEpoch, owner)
                > std::tie(record ? record->ownershipEpoch : last.ownershipEpoch,
                           record ? record->owner : last.owner);
        if (last.service != announcement.service) {
            return false;
        }
        if (last.state == EndpointState::Gone
            && (!last.leaseEnded || !newer || announcement.state == EndpointState::Gone)) {
            return false;
        }
        // A report of an ended lease is valid only for the ownership that the lease belongs to.
        const bool sameOwnership =
                (record ? record->ownershipEpoch : last.ownershipEpoch) == copy.ownershipEpoch
                && (record ? record->owner : last.owner) == owner;
        if (copy.leaseEnded && !sameOwnership) {
            return false;
        }
        if (!newer && !sameOwnership) {
            if (announcement.state <= last.state) {
                return false;
            }
            // A late message of an earlier owner can still bring the news that the incarnation is
            // leaving or gone.
            newOwner = record ? record->owner : last.owner;
            ownershipEpoch = record ? record->ownershipEpoch : last.ownershipEpoch;
            leaseEndsAt = record ? record->leaseEndsAt : now;
        }
        if (last.state == EndpointState::Leaving && announcement.state == EndpointState::Serving) {
            announcement.state = EndpointState::Leaving;
        }
    }
    const auto before = known ? findRecord(found->second.service, announcement.instance) : nullptr;
    if (known && found->second.service != announcement.service) {
        remove(found->second.service, announcement.instance);
    }
    Incarnation &incarnation = shard.incarnations[announcement.instance];
    incarnation = {announcement.incarnation, announcement.state, announcement.service, now, false,
                   copy.leaseEnded,          newOwner,           ownershipEpoch};
    if (announcement.state == EndpointState::Gone) {
        remove(announcement.service, announcement.instance);
        return true;
    }
    store(announcement, newOwner, ownershipEpoch, leaseEndsAt);
    return !before || before->owner != newOwner
            || before->contentHash != contentHashOf(announcement, ownershipEpoch);
}

std::vector<std::shared_ptr<const EndpointRecord>>
EndpointTable::ownedBy(const std::string &owner) const
{
    std::vector<std::shared_ptr<const EndpointRecord>> records = all();
    std::erase_if(records, [&](const auto &record) { return record->owner != owner; });
    std::sort(records.begin(), records.end(), [](const auto &left, const auto &right) {
        return left->announcement.instance < right->announcement.instance;
    });
    return records;
}

OwnerDigest EndpointTable::digestOf(const std::string &owner) const
{
    OwnerDigest digest;
    for (const ServiceShard &shard : m_serviceShards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &service : shard.services) {
            for (const auto &item : service.second.records) {
                if (item.second->owner == owner) {
                    ++digest.count;
                    digest.hash += item.second->contentHash;
                }
            }
        }
    }
    return digest;
}

template <typename Change>
void EndpointTable::updateRecordsOf(const std::string &owner, const Change &change)
{
    for (ServiceShard &shard : m_serviceShards) {
        const std::lock_guard lock(shard.mutex);
        for (auto &[name, service] : shard.services) {
            for (auto &[instance, record] : service.records) {
                if (record->owner != owner) {
                    continue;
                }
                EndpointRecord changed = *record;
                if (change(changed)) {
                    record = std::make_shared<const EndpointRecord>(std::move(changed));
                    service.list.reset();
                }
            }
        }
    }
}

void EndpointTable::renewCopies(const std::string &owner, SteadyTimeMs leaseEndsAt)
{
    updateRecordsOf(owner, [&](EndpointRecord &record) {
        record.leaseEndsAt = leaseEndsAt;
        return true;
    });
}

void EndpointTable::clearOwnerExcept(const std::string &owner, const std::set<std::string> &listed)
{
    updateRecordsOf(owner, [&](EndpointRecord &record) {
        if (listed.contains(record.announcement.instance)) {
            return false;
        }
        record.owner.clear();
        return true;
    });
}

bool EndpointTable::isGone(const std::string &instance, std::uint64_t incarnation) const
{
    const InstanceShard &shard = instanceShard(instance);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.incarnations.find(instance);
    return found != shard.incarnations.end() && found->second.number == incarnation
            && found->second.state == EndpointState::Gone;
}

} // namespace dandelionloom
