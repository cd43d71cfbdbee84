#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "Adapters/Peers/EventLoop.h"
#include "Ports/DecisionLog.h"
#include "Ports/PeerTransport.h"
#include "Ports/WorkerCalls.h"
#include "Runtime/WorkerCallMessages.h"
#include "Scheduling/RelayRouting.h"

namespace dandelionloom {

/// Makes the leader's calls to workers through other control instances, in batches. With few
/// workers, or when no relay is usable, it calls them directly. A call whose relay fails before it
/// has sent the call is made directly instead; otherwise it ends with CallFault::NoAnswer, like a
/// call that the worker does not answer. Used on the event loop's thread only.
class RelayedWorkerCalls : public WorkerCalls
{
public:
    /// Returns the availability zone of a worker; empty if it is unknown.
    using ZoneLookup = std::function<std::string(const std::string &worker)>;

    /// The references must outlive the object.
    RelayedWorkerCalls(EventLoop &loop, PeerTransport &transport, WorkerCalls &direct,
                       DecisionLog &log, WorkerCallTimeouts timeouts, ZoneLookup zoneOf,
                       RelayRoutingOptions options = {});
    ~RelayedWorkerCalls() override;
    RelayedWorkerCalls(const RelayedWorkerCalls &) = delete;
    RelayedWorkerCalls &operator=(const RelayedWorkerCalls &) = delete;

    void addRelay(const std::string &name);
    /// Completes the calls whose results are in the message of a relay. Results of an earlier
    /// process of this instance are dropped.
    void onResults(const std::string &from, const std::string &body);
    /// Number of calls made through relays, and number made directly.
    std::uint64_t relayedCalls() const { return m_relayedCalls; }
    std::uint64_t directCalls() const { return m_directCalls; }

    void renew(const RenewOrder &order, std::uint64_t fence, RenewCallback done) override;
    void start(const StartOrder &order, std::uint64_t fence, OrderCallback done) override;
    void stop(const StopOrder &order, std::uint64_t fence, OrderCallback done) override;
    void pace(const PaceOrder &order, std::uint64_t fence, OrderCallback done) override;
    void advise(const AdviceOrder &order, AdviseCallback done) override;

private:
    using Callback = std::variant<OrderCallback, RenewCallback>;
    struct Pending
    {
        std::string relay;
        std::string worker;
        SteadyTimeMs sentAt = 0;
        SteadyTimeMs deadline = 0;
        Callback done;
    };
    using SharedBatch = std::shared_ptr<const WorkerCallBatch>;

    /// Returns the relay for a call, or an empty string for a direct call.
    std::string route(const std::string &worker, std::uint64_t fence);
    /// The batch that is sent to the relay next.
    WorkerCallBatch &batchFor(const std::string &relay);
    std::uint64_t addPending(const std::string &relay, const std::string &worker,
                             std::int64_t timeoutMs, Callback done);
    void scheduleFlush();
    void flush();
    void send(const std::string &relay, const SharedBatch &batch);
    void onAck(const std::string &relay, const SharedBatch &batch, SteadyTimeMs sentAt,
               const PeerResult &result);
    void onRelayLost(const std::string &relay, const std::string &reason);
    /// Makes the calls of a batch directly that no worker has received.
    void callDirectly(const WorkerCallBatch &batch);
    /// Ends all calls of a batch with the fault.
    void failBatch(const WorkerCallBatch &batch, CallFault fault);
    void completeOrder(std::uint64_t call, std::optional<CallFault> fault);
    void completeRenewal(std::uint64_t call, const Result<RenewAnswer, CallFault> &answer);
    /// Ends a call of either kind with a fault.
    void fail(std::uint64_t call, CallFault fault);
    std::optional<Pending> takePending(std::uint64_t call);
    /// Keeps track of workers that do not answer through their relay.
    void recordAnswer(const Pending &pending, std::optional<CallFault> fault);
    void scheduleCheck();
    /// Ends overdue calls and asks quiet relays whether they respond.
    void check();
    /// Ends calls whose relay has returned no result in time. A relay that has returned nothing at
    /// all since such a call was made is lost, whatever it has accepted.
    void endOverdueCalls(SteadyTimeMs now);

    EventLoop &m_loop;
    PeerTransport &m_transport;
    WorkerCalls &m_direct;
    DecisionLog &m_log;
    const WorkerCallTimeouts m_timeouts;
    const ZoneLookup m_zoneOf;
    const RelayRoutingOptions m_options;
    /// Empty once the object is destroyed; callbacks check it.
    std::shared_ptr<RelayedWorkerCalls *> m_alive;
    /// Distinguishes the results of this object's calls from those of an earlier process.
    const std::uint64_t m_process;
    std::uint64_t m_nextCall = 1;
    /// Fencing token of the last call.
    std::uint64_t m_fence = 0;
    SteadyTimeMs m_lastCallAt = 0;
    std::map<std::string, RelayView> m_relays;
    /// Time of the last batch to each relay.
    std::map<std::string, SteadyTimeMs> m_lastSentAt;
    std::map<std::string, WorkerRoute> m_routes;
    SteadyTimeMs m_nextRoutePurge = 0;
    std::map<std::string, WorkerCallBatch> m_batches;
    std::map<std::uint64_t, Pending> m_pending;
    std::set<std::pair<SteadyTimeMs, std::uint64_t>> m_deadlines;
    bool m_flushScheduled = false;
    bool m_checkScheduled = false;
    std::uint64_t m_relayedCalls = 0;
    std::uint64_t m_directCalls = 0;
};

} // namespace dandelionloom
