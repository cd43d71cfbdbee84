#include "Runtime/EndpointTable.h"

#include <functional>
#include <utility>

namespace dandelionloom {

bool isAccepted(AnnounceVerdict verdict)
{
    return verdict == AnnounceVerdict::Added || verdict == AnnounceVerdict::Renewed
            || verdict == AnnounceVerdict::MarkedLeaving;
}

EndpointTable::EndpointTable(EndpointTableOptions options) : m_options(options) { }

AnnounceVerdict EndpointTable::announce(const Announcement &announcement, const std::string &owner,
                                        SteadyTimeMs now)
{
    InstanceShard &shard = instanceShard(announcement.instance);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.incarnations.find(announcement.instance);
    const bool known = found != shard.incarnations.end();
    if (known && announcement.incarnation < found->second.number) {
        return AnnounceVerdict::OlderIncarnation;
    }
    const bool sameIncarnation = known && announcement.incarnation == found->second.number;
    if (sameIncarnation && found->second.state == EndpointState::Gone) {
        return AnnounceVerdict::IncarnationGone;
    }
    if (sameIncarnation && found->second.service != announcement.service) {
        return AnnounceVerdict::OtherService;
    }
    if (sameIncarnation && found->second.state == EndpointState::Leaving
        && announcement.state == EndpointState::Serving) {
        return AnnounceVerdict::IncarnationLeaving;
    }
    if (known && found->second.service != announcement.service) {
        remove(found->second.service, announcement.instance);
    }
    Incarnation &incarnation = shard.incarnations[announcement.instance];
    const std::uint64_t ownershipEpoch = ownershipFor(announcement, owner, incarnation);
    incarnation = {announcement.incarnation,
                   announcement.state,
                   announcement.service,
                   now,
                   false,
                   false,
                   owner,
                   ownershipEpoch};
    if (announcement.state == EndpointState::Gone) {
        remove(announcement.service, announcement.instance);
        return AnnounceVerdict::MarkedLeaving;
    }
    store(announcement, owner, ownershipEpoch, now + m_options.lease.count());
    if (announcement.state == EndpointState::Leaving) {
        return AnnounceVerdict::MarkedLeaving;
    }
    return sameIncarnation ? AnnounceVerdict::Renewed : AnnounceVerdict::Added;
}

std::vector<std::string> EndpointTable::expire(SteadyTimeMs now)
{
    std::vector<std::string> gone;
    for (InstanceShard &shard : m_instanceShards) {
        expireShard(shard, now, gone);
    }
    return gone;
}

void EndpointTable::expireShard(InstanceShard &shard, SteadyTimeMs now,
                                std::vector<std::string> &gone)
{
    const std::lock_guard lock(shard.mutex);
    for (auto item = shard.incarnations.begin(); item != shard.incarnations.end();) {
        auto &[instance, incarnation] = *item;
        if (incarnation.state == EndpointState::Gone || incarnation.copyExpired) {
            const bool retentionOver =
                    now - incarnation.goneSince >= m_options.tombstoneRetention.count();
            item = retentionOver ? shard.incarnations.erase(item) : std::next(item);
            continue;
        }
        ServiceShard &services = serviceShard(incarnation.service);
        const std::lock_guard serviceLock(services.mutex);
        Service &service = services.services[incarnation.service];
        const auto record = service.records.find(instance);
        if (record == service.records.end() || record->second->leaseEndsAt <= now) {
            incarnation.goneSince = now;
            const bool copy = record != service.records.end() && !m_options.self.empty()
                    && record->second->owner != m_options.self;
            if (record != service.records.end()) {
                service.records.erase(record);
                service.list.reset();
            }
            if (copy) {
                incarnation.copyExpired = true;
            } else {
                incarnation.state = EndpointState::Gone;
                incarnation.leaseEnded = true;
                gone.push_back(instance);
            }
        }
        ++item;
    }
}

EndpointList EndpointTable::endpoints(const std::string &service) const
{
    const ServiceShard &shard = serviceShard(service);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.services.find(service);
    if (found == shard.services.end()) {
        return std::make_shared<const std::vector<std::shared_ptr<const EndpointRecord>>>();
    }
    if (!found->second.list) {
        std::vector<std::shared_ptr<const EndpointRecord>> records;
        records.reserve(found->second.records.size());
        for (const auto &item : found->second.records) {
            records.push_back(item.second);
        }
        found->second.list =
                std::make_shared<const std::vector<std::shared_ptr<const EndpointRecord>>>(
                        std::move(records));
    }
    return found->second.list;
}

std::vector<std::shared_ptr<const EndpointRecord>> EndpointTable::all() const
{
    std::vector<std::shared_ptr<const EndpointRecord>> records;
    for (const ServiceShard &shard : m_serviceShards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &service : shard.services) {
            for (const auto &item : service.second.records) {
                records.push_back(item.second);
            }
        }
    }
    return records;
}

std::shared_ptr<const EndpointRecord> EndpointTable::find(const std::string &instance) const
{
    std::string service;
    {
        const InstanceShard &shard = instanceShard(instance);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.incarnations.find(instance);
        if (found == shard.incarnations.end()) {
            return nullptr;
        }
        service = found->second.service;
    }
    return findRecord(service, instance);
}

EndpointTable::InstanceShard &EndpointTable::instanceShard(const std::string &instance)
{
    return m_instanceShards[std::hash<std::string>{}(instance) % shardCount];
}

const EndpointTable::InstanceShard &EndpointTable::instanceShard(const std::string &instance) const
{
    return m_instanceShards[std::hash<std::string>{}(instance) % shardCount];
}

EndpointTable::ServiceShard &EndpointTable::serviceShard(const std::string &service)
{
    return m_serviceShards[std::hash<std::string>{}(service) % shardCount];
}

const EndpointTable::ServiceShard &EndpointTable::serviceShard(const std::string &service) const
{
    return m_serviceShards[std::hash<std::string>{}(service) % shardCount];
}

void EndpointTable::remove(const std::string &service, const std::string &instance)
{
    ServiceShard &shard = serviceShard(service);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.services.find(service);
    if (found == shard.services.end()) {
        return;
    }
    found->second.records.erase(instance);
    found->second.list.reset();
}

} // namespace dandelionloom
