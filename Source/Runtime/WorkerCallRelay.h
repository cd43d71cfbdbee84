#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "Adapters/Peers/EventLoop.h"
#include "Ports/DecisionLog.h"
#include "Ports/PeerTransport.h"
#include "Ports/WorkerCalls.h"
#include "Runtime/WorkerCallMessages.h"

namespace dandelionloom {

/// Makes calls to workers for the leader of the journal. It holds no state beyond the calls in
/// progress: fencing tokens, run numbers and leases belong to the leader, so an order that is
/// carried out late is as harmless as one that the network delayed. Used on the event loop's thread
/// only.
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
    void handle(const std::string &from, const std::string &body, SteadyTimeMs receivedAt,
                const PeerTransport::Reply &reply);

private:
    /// Name of a control instance, and WorkerCallBatch::process.
    using LeaderProcess = std::pair<std::string, std::uint64_t>;

    WorkerCallReceipt receive(const std::string &from, const std::string &body,
                              SteadyTimeMs receivedAt);
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
    bool m_flushScheduled = false;
};

} // namespace dandelionloom
