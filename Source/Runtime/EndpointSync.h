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

struct EndpointSyncOptions
{
    /// Name and process incarnation of this entry instance.
    std::string self;
    std::uint64_t incarnation = 0;
    /// All other entry instances of the region.
    std::vector<std::string> peers;
    /// How long a change waits for others to be sent in the same message. Changes to leaving or
    /// gone are sent at once.
    Milliseconds batchDelay{200};
    Milliseconds digestInterval{5000};
    /// Lease of a copy, renewed by each matching digest of its owner; covers the loss of two
    /// digests.
    Milliseconds copyLease{12000};
    Milliseconds callTimeout{2000};
    /// Delay before a change to leaving or gone that a peer didn't acknowledge is sent again.
    Milliseconds resendDelay{500};
    /// Maximum number of records in one message, about 70 KB.
    std::size_t maxRecordsPerMessage = 500;
    /// Monotonic clock, replaced by tests.
    std::function<SteadyTimeMs()> clock = steadyTimeNow;
};

/// Replicates the endpoint records of this entry instance to the others, and keeps copies of
/// theirs. Each owner sends changes of its records to all peers as they happen, and a digest of its
/// records every few seconds; a peer whose copies don't match the digest fetches all records of the
/// owner.
class EndpointSync : public AnnouncementHandler
{
public:
    /// `serviceChanged` is called with each service whose endpoints a peer's message changed.
    /// `self` in the table's options must be the same name. The transport must be stopped before
    /// this object is destroyed, as its handlers and replies refer to it.
    EndpointSync(EndpointSyncOptions options, AnnouncementHandler &local, EndpointTable &table,
                 PeerTransport &transport, MetricSink &metrics,
                 std::function<void(const std::string &service)> serviceChanged);
    ~EndpointSync() override;

    AnnouncementResponse announce(const Announcement &announcement) override;

    /// Sends the changes and digests that are due and returns the time of the next call. start()
    /// runs it on a thread.
    SteadyTimeMs tick(SteadyTimeMs now);
    void start();
    void stop();

private:
    /// Changes queued for a peer, by instance; a later change replaces an earlier one.
    struct Outbox
    {
        std::map<std::string, EndpointCopy> changes;
        SteadyTimeMs dueAt = 0;
    };
    /// Progress of a fetch of all records of an owner, in pages by instance name.
    struct Fetch
    {
        std::uint64_t ownerIncarnation = 0;
        std::string after;
        std::set<std::string> instances;
    };
    /// Last state of an own record that was queued for the peers.
    struct Advertised
    {
        Announcement announcement;
        std::uint64_t ownershipEpoch = 0;
        std::uint64_t contentHash = 0;
    };

    void handleDelta(const std::string &from, const std::string &body,
                     const PeerTransport::Reply &reply);
    void handleDigest(const std::string &from, const std::string &body,
                      const PeerTransport::Reply &reply);
    void handleFetch(const std::string &body, const PeerTransport::Reply &reply) const;
    /// False if the message comes from an earlier process of the owner.
    bool isCurrent(const std::string &owner, std::uint64_t incarnation);
    void mergeCopies(const std::string &from, const std::vector<EndpointCopy> &copies);
    void fetchNext(const std::string &owner);
    void onFetchAnswer(const std::string &owner, const PeerResult &result);
    void endFetch(const std::string &owner);

    void queueChange(const EndpointCopy &copy, SteadyTimeMs dueAt);
    /// Queues the end of own records whose lease has expired.
    void queueEndedLeases(SteadyTimeMs now);
    void sendDue(SteadyTimeMs now);
    void sendChanges(const std::string &peer, const std::vector<EndpointCopy> &changes);
    void sendDigests();
    void run();

    const EndpointSyncOptions m_options;
    AnnouncementHandler &m_local;
    EndpointTable &m_table;
    PeerTransport &m_transport;
    MetricSink &m_metrics;
    const std::function<void(const std::string &)> m_serviceChanged;

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, Outbox> m_outboxes;
    std::map<std::string, Advertised> m_advertised;
    std::map<std::string, Fetch> m_fetches;
    /// Highest process incarnation seen of each peer.
    std::map<std::string, std::uint64_t> m_ownerIncarnations;
    SteadyTimeMs m_nextDigestAt = 0;
    bool m_wakeRequested = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dandelionloom
