#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Adapters/Peers/EventLoop.h"
#include "Ports/DecisionLog.h"
#include "Ports/PeerTransport.h"
#include "Ports/WorkerCalls.h"
#include "Runtime/WorkerCallMessages.h"

namespace dandelionloom {

/// Makes calls to workers for the leader of the journal. It holds no state beyond the calls in
/// progress: fencing tokens, run numbers and leases belong to the leader, so an order that is
/// carried out late is as harmless as one that the network delayed. It makes no calls for a leader
/// that its results don't reach: the leader would take the workers for silent, and start their
/// tasks elsewhere. Used on the event loop's thread only.
class WorkerCallRelay
{
public:
    /// The references must outlive the relay.
    WorkerCallRelay(EventLoop &loop, PeerTransport &transport, WorkerCalls &workers,
                    DecisionLog &log, std::string availabilityZone);
    ~WorkerCallRelay();
    WorkerCallRelay(const WorkerCallRelay &) = delete;
    WorkerCallRelay &operator=(const WorkerCallRelay &) = delete;

    /// Makes the calls of a batch of the leader `from` that the transport received at `receivedAt`.
    /// The reply to a batch without calls may wait until the leader has acknowledged a message.
    void handle(const std::string &from, const std::string &body, SteadyTimeMs receivedAt,
                const PeerTransport::Reply &reply);

private:
    /// Name of a control instance, and WorkerCallBatch::process.
    using LeaderProcess = std::pair<std::string, std::uint64_t>;

    /// Whether results reach a leader's process.
    struct ReturnPath
    {
        /// Send time of the latest results that the leader acknowledged; 0 if the last ones failed
        /// or none were sent.
        SteadyTimeMs confirmedAt = 0;
        /// Results that the leader has not acknowledged yet.
        std::size_t openMessages = 0;
        SteadyTimeMs usedAt = 0;
        /// Replies to batches without calls that wait for an acknowledgement.
        std::vector<PeerTransport::Reply> waiting;
        /// The last results failed, and how many calls' results were lost since the path failed.
        bool failing = false;
        std::size_t lostResults = 0;
    };

    WorkerCallReceipt receive(const std::string &from, const WorkerCallBatch &batch,
                              SteadyTimeMs receivedAt);
    /// The path to the process that sent the batch. Asks the leader for an acknowledgement if the
    /// last one is old.
    ReturnPath &checkReturnPath(const LeaderProcess &leader, SteadyTimeMs now);
    void sendResults(const LeaderProcess &leader, WorkerCallResults results, Milliseconds timeout);
    void onResultsSent(const LeaderProcess &leader, SteadyTimeMs sentAt, std::size_t calls,
                       const PeerResult &result);
    void reply(const PeerTransport::Reply &reply, WorkerCallReceipt receipt) const;
    void makeCalls(const std::string &from, const WorkerCallBatch &batch);
    WorkerCalls::OrderCallback orderCallback(const LeaderProcess &leader, std::uint64_t call);
    void scheduleFlush();
    void flush();

    EventLoop &m_loop;
    PeerTransport &m_transport;
    WorkerCalls &m_workers;
    DecisionLog &m_log;
    const std::string m_availabilityZone;
    /// Empty once the relay is destroyed; callbacks check it.
    std::shared_ptr<WorkerCallRelay *> m_alive;
    /// Highest term whose orders have arrived.
    std::uint64_t m_term = 0;
    /// Results that are not sent yet, by the process that made the calls.
    std::map<LeaderProcess, WorkerCallResults> m_results;
    std::map<LeaderProcess, ReturnPath> m_returnPaths;
    bool m_flushScheduled = false;
};

} // namespace dandelionloom
