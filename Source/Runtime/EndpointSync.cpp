#include "Runtime/EndpointSync.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "Runtime/EndpointSyncMessages.h"

namespace dandelionloom {

EndpointSync::EndpointSync(EndpointSyncOptions options, AnnouncementHandler &local,
                           EndpointTable &table, PeerTransport &transport, MetricSink &metrics,
                           std::function<void(const std::string &service)> serviceChanged)
    : m_options(std::move(options)), m_local(local), m_table(table), m_transport(transport),
      m_metrics(metrics), m_serviceChanged(std::move(serviceChanged))
{
    m_transport.setHandler(
            PeerMessageKind::EndpointDelta,
            [this](const std::string &from, const std::string &body,
                   const PeerTransport::Reply &reply) { handleDelta(from, body, reply); });
    m_transport.setHandler(
            PeerMessageKind::EndpointDigest,
            [this](const std::string &from, const std::string &body,
                   const PeerTransport::Reply &reply) { handleDigest(from, body, reply); });
    m_transport.setHandler(PeerMessageKind::EndpointFetch,
                           [this](const std::string &, const std::string &body,
                                  const PeerTransport::Reply &reply) { handleFetch(body, reply); });
}

EndpointSync::~EndpointSync()
{
    stop();
}

AnnouncementResponse EndpointSync::announce(const Announcement &announcement)
{
    AnnouncementResponse answer = m_local.announce(announcement);
    if (!answer.accepted) {
        return answer;
    }
    const SteadyTimeMs now = m_options.clock();
    const auto record = m_table.find(announcement.instance);
    const std::lock_guard lock(m_mutex);
    if (!record || record->owner != m_options.self) {
        if (announcement.state == EndpointState::Gone) {
            m_advertised.erase(announcement.instance);
            queueChange({announcement, 0, false}, now);
        }
        return answer;
    }
    Advertised &last = m_advertised[announcement.instance];
    if (last.contentHash == record->contentHash) {
        return answer;
    }
    last = {record->announcement, record->ownershipEpoch, record->contentHash};
    const bool leaving = record->announcement.state != EndpointState::Serving;
    queueChange({record->announcement, record->ownershipEpoch, false},
                leaving ? now : now + m_options.batchDelay.count());
    return answer;
}

void EndpointSync::queueChange(const EndpointCopy &copy, SteadyTimeMs dueAt)
{
    for (const std::string &peer : m_options.peers) {
        Outbox &outbox = m_outboxes[peer];
        outbox.dueAt = outbox.changes.empty() ? dueAt : std::min(outbox.dueAt, dueAt);
        outbox.changes[copy.announcement.instance] = copy;
    }
    m_wakeRequested = true;
    m_wake.notify_all();
}

SteadyTimeMs EndpointSync::tick(SteadyTimeMs now)
{
    bool digestDue = false;
    {
        const std::lock_guard lock(m_mutex);
        digestDue = now >= m_nextDigestAt;
        if (digestDue) {
            m_nextDigestAt = now + m_options.digestInterval.count();
        }
    }
    if (digestDue) {
        queueEndedLeases(now);
    }
    // Queued changes are sent before a digest that includes them; otherwise the peers would find a
    // mismatch and fetch needlessly.
    sendDue(digestDue ? std::numeric_limits<SteadyTimeMs>::max() : now);
    if (digestDue) {
        sendDigests();
    }
    const std::lock_guard lock(m_mutex);
    SteadyTimeMs next = m_nextDigestAt;
    for (const auto &[peer, outbox] : m_outboxes) {
        if (!outbox.changes.empty()) {
            next = std::min(next, outbox.dueAt);
        }
    }
    return next;
}

void EndpointSync::queueEndedLeases(SteadyTimeMs now)
{
    const std::lock_guard lock(m_mutex);
    for (auto item = m_advertised.begin(); item != m_advertised.end();) {
        const Advertised &advertised = item->second;
        const auto record = m_table.find(item->first);
        if (record && record->owner == m_options.self) {
            ++item;
            continue;
        }
        if (!record && m_table.isGone(item->first, advertised.announcement.incarnation)) {
            EndpointCopy ended{advertised.announcement, advertised.ownershipEpoch, true};
            ended.announcement.state = EndpointState::Gone;
            queueChange(ended, now);
        }
        item = m_advertised.erase(item);
    }
}

void EndpointSync::sendDue(SteadyTimeMs now)
{
    std::map<std::string, std::vector<EndpointCopy>> due;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[peer, outbox] : m_outboxes) {
            if (outbox.changes.empty() || outbox.dueAt > now) {
                continue;
            }
            for (auto &[instance, copy] : std::exchange(outbox.changes, {})) {
                due[peer].push_back(std::move(copy));
            }
        }
    }
    for (const auto &[peer, changes] : due) {
        for (std::size_t first = 0; first < changes.size();
             first += m_options.maxRecordsPerMessage) {
            const std::size_t last =
                    std::min(first + m_options.maxRecordsPerMessage, changes.size());
            sendChanges(peer,
                        {changes.begin() + static_cast<std::ptrdiff_t>(first),
                         changes.begin() + static_cast<std::ptrdiff_t>(last)});
        }
    }
}

void EndpointSync::sendChanges(const std::string &peer, const std::vector<EndpointCopy> &changes)
{
    m_metrics.count("dandelionloom_endpoint_changes_sent_total", "",
                    static_cast<double>(changes.size()));
    m_transport.call(peer, PeerMessageKind::EndpointDelta,
                     encodeSyncMessage(EndpointDeltaMessage{m_options.incarnation, changes}),
                     m_options.callTimeout, [this, peer, changes](const PeerResult &result) {
                         if (isOk(result)) {
                             return;
                         }
                         // A lost join is repaired after the next digest. A change to leaving or
                         // gone is sent again, as peers would route work to the endpoint until
                         // then.
                         const SteadyTimeMs dueAt =
                                 m_options.clock() + m_options.resendDelay.count();
                         const std::lock_guard lock(m_mutex);
                         Outbox &outbox = m_outboxes[peer];
                         for (const EndpointCopy &copy : changes) {
                             if (copy.announcement.state == EndpointState::Serving) {
                                 continue;
                             }
                             if (outbox.changes.empty()) {
                                 outbox.dueAt = dueAt;
                             }
                             outbox.changes.try_emplace(copy.announcement.instance, copy);
                         }
                         m_wakeRequested = true;
                         m_wake.notify_all();
                     });
}

void EndpointSync::sendDigests()
{
    const OwnerDigest digest = m_table.digestOf(m_options.self);
    const std::string body = encodeSyncMessage(
            EndpointDigestMessage{m_options.incarnation, digest.count, digest.hash});
    for (const std::string &peer : m_options.peers) {
        m_transport.call(peer, PeerMessageKind::EndpointDigest, body, m_options.callTimeout,
                         [](const PeerResult &) {});
    }
}

void EndpointSync::start()
{
    m_thread = std::thread([this] { run(); });
}

void EndpointSync::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void EndpointSync::run()
{
    for (;;) {
        const SteadyTimeMs next = tick(m_options.clock());
        std::unique_lock lock(m_mutex);
        const Milliseconds pause(std::max<SteadyTimeMs>(next - m_options.clock(), 0));
        m_wake.wait_for(lock, pause, [this] { return m_wakeRequested || m_stopping; });
        m_wakeRequested = false;
        if (m_stopping) {
            return;
        }
    }
}

} // namespace dandelionloom
