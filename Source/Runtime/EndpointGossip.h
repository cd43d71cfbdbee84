#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "Ports/Handlers.h"
#include "Ports/MetricSink.h"
#include "Ports/PeerTransport.h"
#include "Runtime/EndpointTable.h"

namespace dandelionloom {

struct EndpointGossipOptions
{
    /// Name and process incarnation of this entry instance.
    std::string self;
    std::uint64_t incarnation = 0;
    /// All other entry instances of the region.
    std::vector<std::string> peers;
    /// Longest wait of a change for others to share its message. Leaving doesn't wait.
    Milliseconds batchDelay{200};
    Milliseconds digestInterval{5000};
    /// Life of a copy without a digest of its owner: two digests may be lost.
    Milliseconds copyLease{12000};
    Milliseconds callTimeout{2000};
    /// Pause before a leaving that a peer didn't acknowledge is sent again.
    Milliseconds resendDelay{500};
    /// Records in one answer to a fetch, about 70 KB.
    std::size_t fetchRecords = 500;
    /// Monotonic clock, replaced by tests.
    std::function<SteadyTimeMs()> clock = steadyTimeNow;
};

/// Spreads what this entry instance learns of endpoints to the others, and keeps its table in
/// agreement with theirs. Each owner sends changes as they happen and a digest of its records
/// every few seconds; a peer whose copies differ fetches the owner's list.
class EndpointGossip : public AnnouncementHandler
{
public:
    /// `changed` is called with the service of endpoints that a peer's message changed. The
    /// table's option `self` must be the same name. The transport must be stopped before the
    /// destruction, as its handlers and replies refer to this object.
    EndpointGossip(EndpointGossipOptions options, AnnouncementHandler &local, EndpointTable &table,
                   PeerTransport &transport, MetricSink &metrics,
                   std::function<void(const std::string &service)> changed);
    ~EndpointGossip() override;

    AnnouncementAnswer announce(const Announcement &announcement) override;

    /// Sends what is due and returns when to call again. start() does it on a thread.
    SteadyTimeMs tick(SteadyTimeMs now);
    void start();
    void stop();

private:
    /// Changes that wait for a peer, by instance; a later change replaces an earlier one.
    struct Outbox
    {
        std::map<std::string, EndpointCopy> changes;
        SteadyTimeMs dueAt = 0;
    };
    struct Fetch
    {
        std::uint64_t ownerIncarnation = 0;
        std::string after;
        std::set<std::string> instances;
    };
    struct Advertised
    {
        Announcement announcement;
        std::uint64_t ownership = 0;
        std::uint64_t contentHash = 0;
    };

    void handleDelta(const std::string &from, const std::string &body,
                     const PeerTransport::Reply &reply);
    void handleDigest(const std::string &from, const std::string &body,
                      const PeerTransport::Reply &reply);
    void handleFetch(const std::string &body, const PeerTransport::Reply &reply) const;
    /// False for a message of a process of the owner that has ended.
    bool isCurrent(const std::string &owner, std::uint64_t incarnation);
    void apply(const std::string &from, const std::vector<EndpointCopy> &copies);
    void fetchNext(const std::string &owner);
    void takeChunk(const std::string &owner, const PeerResult &result);
    void endFetch(const std::string &owner);

    void queueChange(const EndpointCopy &copy, SteadyTimeMs dueAt);
    void findEndedLeases(SteadyTimeMs now);
    void sendDue(SteadyTimeMs now);
    void sendChanges(const std::string &peer, const std::vector<EndpointCopy> &changes);
    void sendDigests();
    void run();

    const EndpointGossipOptions m_options;
    AnnouncementHandler &m_local;
    EndpointTable &m_table;
    PeerTransport &m_transport;
    MetricSink &m_metrics;
    const std::function<void(const std::string &)> m_changed;

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, Outbox> m_outboxes;
    std::map<std::string, Advertised> m_advertised;
    std::map<std::string, Fetch> m_fetches;
    /// Highest process incarnation seen of each peer.
    std::map<std::string, std::uint64_t> m_ownerIncarnations;
    SteadyTimeMs m_digestAt = 0;
    bool m_woken = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dandelionloom
