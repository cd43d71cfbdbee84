// The part of EndpointSync that processes messages of peers.
#include <algorithm>

#include "Runtime/EndpointSync.h"
#include "Runtime/EndpointSyncMessages.h"

namespace dandelionloom {

namespace {

const PeerError decodeError{PeerErrorKind::Refused, "cannot decode the endpoint message"};

} // namespace

void EndpointSync::handleDelta(const std::string &from, const std::string &body,
                               const PeerTransport::Reply &reply)
{
    const std::optional<EndpointDeltaMessage> message =
            decodeSyncMessage<EndpointDeltaMessage>(body);
    if (!message) {
        reply(decodeError);
        return;
    }
    if (isCurrent(from, message->ownerIncarnation)) {
        mergeCopies(from, message->changes);
    }
    reply(std::string());
}

bool EndpointSync::isCurrent(const std::string &owner, std::uint64_t incarnation)
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t &highest = m_ownerIncarnations[owner];
    highest = std::max(highest, incarnation);
    return incarnation == highest;
}

void EndpointSync::mergeCopies(const std::string &from, const std::vector<EndpointCopy> &copies)
{
    const SteadyTimeMs now = m_options.clock();
    std::set<std::string> services;
    for (const EndpointCopy &copy : copies) {
        if (m_table.merge(copy, from, now + m_options.copyLease.count(), now)) {
            services.insert(copy.announcement.service);
        }
    }
    for (const std::string &service : services) {
        m_serviceChanged(service);
    }
}

void EndpointSync::handleDigest(const std::string &from, const std::string &body,
                                const PeerTransport::Reply &reply)
{
    const std::optional<EndpointDigestMessage> message =
            decodeSyncMessage<EndpointDigestMessage>(body);
    if (!message) {
        reply(decodeError);
        return;
    }
    reply(std::string());
    if (!isCurrent(from, message->ownerIncarnation)) {
        return;
    }
    const OwnerDigest advertisedDigest{message->count, message->hash};
    if (m_table.digestOf(from) == advertisedDigest) {
        m_table.renewCopies(from, m_options.clock() + m_options.copyLease.count());
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        if (!m_fetches.try_emplace(from, Fetch{}).second) {
            return;
        }
    }
    m_metrics.count("dandelionloom_endpoint_fetches_total", "", 1);
    fetchNext(from);
}

void EndpointSync::handleFetch(const std::string &body, const PeerTransport::Reply &reply) const
{
    const std::optional<EndpointFetchRequest> request =
            decodeSyncMessage<EndpointFetchRequest>(body);
    if (!request) {
        reply(decodeError);
        return;
    }
    EndpointFetchAnswer answer;
    answer.ownerIncarnation = m_options.incarnation;
    for (const auto &record : m_table.ownedBy(m_options.self)) {
        if (record->announcement.instance <= request->after) {
            continue;
        }
        if (answer.records.size() == m_options.maxRecordsPerMessage) {
            answer.last = false;
            break;
        }
        answer.records.push_back({record->announcement, record->ownershipEpoch, false});
    }
    reply(encodeSyncMessage(answer));
}

void EndpointSync::fetchNext(const std::string &owner)
{
    std::string after;
    {
        const std::lock_guard lock(m_mutex);
        after = m_fetches.at(owner).after;
    }
    m_transport.call(owner, PeerMessageKind::EndpointFetch,
                     encodeSyncMessage(EndpointFetchRequest{after}), m_options.callTimeout,
                     [this, owner](const PeerResult &result) { onFetchAnswer(owner, result); });
}

void EndpointSync::onFetchAnswer(const std::string &owner, const PeerResult &result)
{
    const std::optional<EndpointFetchAnswer> answer =
            isOk(result) ? decodeSyncMessage<EndpointFetchAnswer>(valueOf(result)) : std::nullopt;
    // On a failure the fetch ends here; the next digest that doesn't match starts another.
    if (!answer || !isCurrent(owner, answer->ownerIncarnation)
        || (!answer->last && answer->records.empty())) {
        endFetch(owner);
        return;
    }
    mergeCopies(owner, answer->records);
    std::set<std::string> listed;
    {
        const std::lock_guard lock(m_mutex);
        Fetch &fetch = m_fetches.at(owner);
        const bool restarted =
                !fetch.after.empty() && fetch.ownerIncarnation != answer->ownerIncarnation;
        fetch.ownerIncarnation = answer->ownerIncarnation;
        for (const EndpointCopy &copy : answer->records) {
            fetch.instances.insert(copy.announcement.instance);
            fetch.after = copy.announcement.instance;
        }
        if (restarted) {
            m_fetches.erase(owner);
            return;
        }
        listed = fetch.instances;
    }
    if (!answer->last) {
        fetchNext(owner);
        return;
    }
    m_table.clearOwnerExcept(owner, listed);
    endFetch(owner);
}

void EndpointSync::endFetch(const std::string &owner)
{
    const std::lock_guard lock(m_mutex);
    m_fetches.erase(owner);
}

} // namespace dandelionloom
