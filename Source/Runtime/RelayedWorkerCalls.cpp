#include "Runtime/RelayedWorkerCalls.h"

#include <random>

#include "Runtime/ReplicaMessages.h"

namespace dandelionloom {

namespace {

constexpr Milliseconds checkInterval{50};

/// A relay without a batch for this long is asked whether it responds; three times within
/// RelayRoutingOptions::relaySilenceMs.
constexpr std::int64_t probeIntervalMs = 200;

/// Time for a relay to accept a batch. Exceeds a retransmission of a lost packet twice.
constexpr Milliseconds acceptTimeout{600};

/// Time that a relay may add to a call: acceptance, collection of the results and two trips.
constexpr std::int64_t relayMarginMs = 250;

/// Relays are asked for this long after the last call, so that an instance that has lost the
/// leadership becomes quiet.
constexpr std::int64_t idleAfterMs = 2000;

/// A worker that was not called for this long has left: each is called at least once in 1.5 s.
constexpr std::int64_t forgetRouteAfterMs = 5000;

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

RelayedWorkerCalls::RelayedWorkerCalls(EventLoop &loop, PeerTransport &transport,
                                       WorkerCalls &direct, DecisionLog &log,
                                       WorkerCallTimeouts timeouts, ZoneLookup zoneOf,
                                       RelayRoutingOptions options)
    : m_loop(loop), m_transport(transport), m_direct(direct), m_log(log), m_timeouts(timeouts),
      m_zoneOf(std::move(zoneOf)), m_options(options),
      m_alive(std::make_shared<RelayedWorkerCalls *>(this)), m_process(randomNumber())
{ }

RelayedWorkerCalls::~RelayedWorkerCalls()
{
    m_alive.reset();
}

void RelayedWorkerCalls::addRelay(const std::string &name)
{
    m_relays.try_emplace(name);
}

std::string RelayedWorkerCalls::route(const std::string &worker, std::uint64_t fence)
{
    if (fence != m_fence) {
        // The workers of an earlier term may have left since.
        m_fence = fence;
        m_routes.clear();
    }
    const SteadyTimeMs now = steadyTimeNow();
    m_lastCallAt = now;
    scheduleCheck();
    WorkerRoute &known = m_routes[worker];
    known.usedAt = now;
    std::string relay = m_routes.size() <= m_options.maxDirectWorkers
            ? std::string()
            : chooseRelay(m_relays, worker, m_zoneOf(worker), known, now, m_options);
    ++(relay.empty() ? m_directCalls : m_relayedCalls);
    return relay;
}

WorkerCallBatch &RelayedWorkerCalls::batchFor(const std::string &relay)
{
    scheduleFlush();
    return m_batches[relay];
}

std::uint64_t RelayedWorkerCalls::addPending(const std::string &relay, const std::string &worker,
                                             std::int64_t timeoutMs, Callback done)
{
    const std::uint64_t call = m_nextCall++;
    const SteadyTimeMs now = steadyTimeNow();
    const SteadyTimeMs deadline = now + timeoutMs + relayMarginMs;
    m_pending.emplace(call, Pending{relay, worker, now, deadline, std::move(done)});
    m_deadlines.emplace(deadline, call);
    return call;
}

void RelayedWorkerCalls::renew(const RenewOrder &order, std::uint64_t fence, RenewCallback done)
{
    const std::string relay = route(order.worker, fence);
    if (relay.empty()) {
        m_direct.renew(order, fence, std::move(done));
        return;
    }
    const std::uint64_t call = addPending(
            relay, order.worker, order.waitMs + m_timeouts.renewalMarginMs, std::move(done));
    batchFor(relay).renewals.push_back({call, order});
}

void RelayedWorkerCalls::start(const StartOrder &order, std::uint64_t fence, OrderCallback done)
{
    const std::string relay = route(order.worker, fence);
    if (relay.empty()) {
        m_direct.start(order, fence, std::move(done));
        return;
    }
    const std::uint64_t call =
            addPending(relay, order.worker, m_timeouts.orderTimeoutMs, std::move(done));
    batchFor(relay).starts.push_back({call, order});
}

void RelayedWorkerCalls::stop(const StopOrder &order, std::uint64_t fence, OrderCallback done)
{
    const std::string relay = route(order.worker, fence);
    if (relay.empty()) {
        m_direct.stop(order, fence, std::move(done));
        return;
    }
    const std::uint64_t call =
            addPending(relay, order.worker, m_timeouts.orderTimeoutMs, std::move(done));
    batchFor(relay).stops.push_back({call, order});
}

void RelayedWorkerCalls::pace(const PaceOrder &order, std::uint64_t fence, OrderCallback done)
{
    const std::string relay = route(order.worker, fence);
    if (relay.empty()) {
        m_direct.pace(order, fence, std::move(done));
        return;
    }
    const std::uint64_t call =
            addPending(relay, order.worker, m_timeouts.orderTimeoutMs, std::move(done));
    batchFor(relay).paces.push_back({call, order});
}

void RelayedWorkerCalls::advise(const AdviceOrder &order, AdviseCallback done)
{
    m_direct.advise(order, std::move(done));
}

void RelayedWorkerCalls::scheduleFlush()
{
    if (m_flushScheduled) {
        return;
    }
    m_flushScheduled = true;
    m_loop.post([alive = std::weak_ptr(m_alive)] {
        if (const auto calls = alive.lock()) {
            (*calls)->flush();
        }
    });
}

void RelayedWorkerCalls::flush()
{
    m_flushScheduled = false;
    std::map<std::string, WorkerCallBatch> batches;
    batches.swap(m_batches);
    for (auto &[relay, batch] : batches) {
        batch.term = m_fence;
        batch.process = m_process;
        send(relay, std::make_shared<const WorkerCallBatch>(std::move(batch)));
    }
}

void RelayedWorkerCalls::send(const std::string &relay, const SharedBatch &batch)
{
    const SteadyTimeMs now = steadyTimeNow();
    m_lastSentAt[relay] = now;
    m_transport.call(relay, PeerMessageKind::WorkerCalls, packMessage(*batch), acceptTimeout,
                     [alive = std::weak_ptr(m_alive), &loop = m_loop, relay, batch,
                      now](const PeerResult &result) {
                         loop.post([alive, relay, batch, now, result] {
                             if (const auto calls = alive.lock()) {
                                 (*calls)->onAck(relay, batch, now, result);
                             }
                         });
                     });
}

void RelayedWorkerCalls::onAck(const std::string &relay, const SharedBatch &batch,
                               SteadyTimeMs sentAt, const PeerResult &result)
{
    if (!isOk(result)) {
        const PeerError &error = errorOf(result);
        if (error.kind == PeerErrorKind::NoAnswer) {
            failBatch(*batch, CallFault::NoAnswer);
        } else {
            callDirectly(*batch);
        }
        onRelayLost(relay, error.message);
        return;
    }
    const auto unpacked = unpackMessage<WorkerCallAck>(valueOf(result));
    if (!isOk(unpacked)) {
        failBatch(*batch, CallFault::NoAnswer);
        onRelayLost(relay, "unreadable answer");
        return;
    }
    const WorkerCallAck &ack = valueOf(unpacked);
    switch (ack.receipt) {
    case WorkerCallReceipt::Accepted:
        break;
    case WorkerCallReceipt::OldTerm:
        failBatch(*batch, CallFault::Fenced);
        return;
    case WorkerCallReceipt::Stale:
    case WorkerCallReceipt::Unreadable:
    case WorkerCallReceipt::NoReturnPath:
        callDirectly(*batch);
        onRelayLost(relay, std::string(workerCallReceiptNames.name(ack.receipt)));
        return;
    }
    const SteadyTimeMs now = steadyTimeNow();
    RelayView &view = m_relays[relay];
    if (view.heardAt == 0) {
        m_log.event(LogSeverity::Info, "worker-calls", "relay " + relay + " responds");
    }
    view.availabilityZone = ack.availabilityZone;
    view.heardAt = now;
    view.acceptMs = now - sentAt;
}

void RelayedWorkerCalls::onRelayLost(const std::string &relay, const std::string &reason)
{
    RelayView &view = m_relays[relay];
    if (view.heardAt != 0) {
        m_log.event(LogSeverity::Warning, "worker-calls", "relay " + relay + " lost: " + reason);
    }
    view.heardAt = 0;
    std::vector<std::uint64_t> calls;
    for (const auto &[call, pending] : m_pending) {
        if (pending.relay == relay) {
            calls.push_back(call);
        }
    }
    for (const std::uint64_t call : calls) {
        fail(call, CallFault::NoAnswer);
    }
}

void RelayedWorkerCalls::callDirectly(const WorkerCallBatch &batch)
{
    // The results of a batch of an earlier term concern nobody any more.
    if (batch.term != m_fence) {
        failBatch(batch, CallFault::NotSent);
        return;
    }
    for (const auto &[call, order] : batch.starts) {
        if (auto pending = takePending(call)) {
            m_direct.start(order, batch.term, std::get<OrderCallback>(std::move(pending->done)));
        }
    }
    for (const auto &[call, order] : batch.stops) {
        if (auto pending = takePending(call)) {
            m_direct.stop(order, batch.term, std::get<OrderCallback>(std::move(pending->done)));
        }
    }
    for (const auto &[call, order] : batch.paces) {
        if (auto pending = takePending(call)) {
            m_direct.pace(order, batch.term, std::get<OrderCallback>(std::move(pending->done)));
        }
    }
    for (const auto &[call, order] : batch.renewals) {
        if (auto pending = takePending(call)) {
            m_direct.renew(order, batch.term, std::get<RenewCallback>(std::move(pending->done)));
        }
    }
}

void RelayedWorkerCalls::failBatch(const WorkerCallBatch &batch, CallFault fault)
{
    const auto failAll = [this, fault](const auto &orders) {
        for (const auto &numbered : orders) {
            fail(numbered.call, fault);
        }
    };
    failAll(batch.starts);
    failAll(batch.stops);
    failAll(batch.paces);
    failAll(batch.renewals);
}

std::optional<RelayedWorkerCalls::Pending> RelayedWorkerCalls::takePending(std::uint64_t call)
{
    auto found = m_pending.extract(call);
    if (!found) {
        return std::nullopt;
    }
    m_deadlines.erase({found.mapped().deadline, call});
    return std::move(found.mapped());
}

void RelayedWorkerCalls::recordAnswer(const Pending &pending, std::optional<CallFault> fault)
{
    const auto found = m_routes.find(pending.worker);
    if (found == m_routes.end()) {
        return;
    }
    if (fault == CallFault::NoAnswer || fault == CallFault::NotSent) {
        recordRelayFailure(found->second, pending.relay, steadyTimeNow(), m_options);
    } else {
        found->second.failures = 0;
    }
}

void RelayedWorkerCalls::completeOrder(std::uint64_t call, std::optional<CallFault> fault)
{
    if (const auto pending = takePending(call)) {
        recordAnswer(*pending, fault);
        if (const auto *done = std::get_if<OrderCallback>(&pending->done)) {
            (*done)(fault);
        }
    }
}

void RelayedWorkerCalls::completeRenewal(std::uint64_t call,
                                         const Result<RenewAnswer, CallFault> &answer)
{
    if (const auto pending = takePending(call)) {
        recordAnswer(*pending, isOk(answer) ? std::nullopt : std::optional(errorOf(answer)));
        if (const auto *done = std::get_if<RenewCallback>(&pending->done)) {
            (*done)(answer);
        }
    }
}

void RelayedWorkerCalls::fail(std::uint64_t call, CallFault fault)
{
    if (const auto pending = takePending(call)) {
        if (const auto *done = std::get_if<OrderCallback>(&pending->done)) {
            (*done)(fault);
        } else {
            std::get<RenewCallback>(pending->done)(fault);
        }
    }
}

void RelayedWorkerCalls::onResults(const std::string &from, const std::string &body)
{
    auto unpacked = unpackMessage<WorkerCallResults>(body);
    if (!isOk(unpacked)) {
        m_log.event(LogSeverity::Warning, "worker-calls", "unreadable results of " + from);
        return;
    }
    WorkerCallResults results = takeValue(std::move(unpacked));
    if (results.process != m_process) {
        m_log.event(LogSeverity::Info, "worker-calls",
                    "dropped results of " + from + " for an earlier process");
        return;
    }
    const auto relay = m_relays.find(from);
    if (relay != m_relays.end() && !results.isEmpty()) {
        relay->second.returnedAt = steadyTimeNow();
    }
    for (const OrderResult &result : results.orders) {
        completeOrder(result.call, result.fault);
    }
    for (RenewResult &result : results.renewals) {
        if (result.fault) {
            completeRenewal(result.call, *result.fault);
        } else {
            completeRenewal(result.call, std::move(result.answer));
        }
    }
}

void RelayedWorkerCalls::scheduleCheck()
{
    if (m_checkScheduled) {
        return;
    }
    m_checkScheduled = true;
    m_loop.startTimer(checkInterval, [alive = std::weak_ptr(m_alive)] {
        if (const auto calls = alive.lock()) {
            // Results that have arrived are handled before the check: an overloaded loop must not
            // take workers that have answered for silent.
            (*calls)->m_loop.post([alive] {
                if (const auto posted = alive.lock()) {
                    (*posted)->m_checkScheduled = false;
                    (*posted)->check();
                }
            });
        }
    });
}

void RelayedWorkerCalls::endOverdueCalls(SteadyTimeMs now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const std::uint64_t call = m_deadlines.begin()->second;
        const Pending &pending = m_pending.at(call);
        const std::string relay = pending.relay;
        const SteadyTimeMs sentAt = pending.sentAt;
        if (const auto route = m_routes.find(pending.worker); route != m_routes.end()) {
            recordRelayFailure(route->second, relay, now, m_options);
        }
        fail(call, CallFault::NoAnswer);
        RelayView &view = m_relays[relay];
        if (view.heardAt != 0 && view.returnedAt <= sentAt) {
            view.avoidUntil = now + m_options.avoidMs;
            onRelayLost(relay, "no results for " + std::to_string(now - sentAt) + " ms");
        }
    }
}

void RelayedWorkerCalls::check()
{
    const SteadyTimeMs now = steadyTimeNow();
    endOverdueCalls(now);
    if (now >= m_nextRoutePurge) {
        m_nextRoutePurge = now + forgetRouteAfterMs;
        std::erase_if(m_routes, [now](const auto &item) {
            return now - item.second.usedAt >= forgetRouteAfterMs;
        });
    }
    const bool active = now - m_lastCallAt < idleAfterMs;
    // With few workers the relays are not needed.
    if (active && m_routes.size() > m_options.maxDirectWorkers) {
        for (const auto &[relay, view] : m_relays) {
            if (now - m_lastSentAt[relay] >= probeIntervalMs) {
                auto probe = std::make_shared<WorkerCallBatch>();
                probe->term = m_fence;
                probe->process = m_process;
                send(relay, probe);
            }
        }
    }
    if (active || !m_pending.empty()) {
        scheduleCheck();
    }
}

} // namespace dandelionloom
