#include "Runtime/WorkerCallRelay.h"

#include "Runtime/ReplicaMessages.h"

namespace dandelionloom {

namespace {

/// Results are collected for this long, so that the leader receives at most 66 messages a second
/// from each relay. Small against the run time of the shortest tasks, which is half a second.
constexpr Milliseconds resultDelay{15};

constexpr Milliseconds resultTimeout{1000};

/// A batch that waited longer than this for the event loop is not carried out: the process was
/// paused or has too little processor time, and the leader has other ways to the workers.
constexpr std::int64_t maxQueuedMs = 500;

} // namespace

WorkerCallRelay::WorkerCallRelay(EventLoop &loop, PeerTransport &transport, WorkerCalls &workers,
                                 DecisionLog &log, std::string availabilityZone)
    : m_loop(loop), m_transport(transport), m_workers(workers), m_log(log),
      m_availabilityZone(std::move(availabilityZone)),
      m_alive(std::make_shared<WorkerCallRelay *>(this))
{ }

WorkerCallRelay::~WorkerCallRelay()
{
    m_alive.reset();
}

void WorkerCallRelay::handle(const std::string &from, const std::string &body,
                             SteadyTimeMs receivedAt, const PeerTransport::Reply &reply)
{
    reply(packMessage(WorkerCallAck{receive(from, body, receivedAt), m_availabilityZone}));
}

WorkerCallReceipt WorkerCallRelay::receive(const std::string &from, const std::string &body,
                                           SteadyTimeMs receivedAt)
{
    const auto unpacked = unpackMessage<WorkerCallBatch>(body);
    if (!isOk(unpacked)) {
        m_log.event(LogSeverity::Warning, "worker-calls", "unreadable batch of " + from);
        return WorkerCallReceipt::Unreadable;
    }
    const WorkerCallBatch &batch = valueOf(unpacked);
    if (batch.term < m_term) {
        m_log.event(LogSeverity::Warning, "worker-calls",
                    "refused orders of " + from + " of term " + std::to_string(batch.term)
                            + ", expected term " + std::to_string(m_term) + " or later");
        return WorkerCallReceipt::OldTerm;
    }
    m_term = batch.term;
    const std::int64_t queuedMs = steadyTimeNow() - receivedAt;
    if (queuedMs > maxQueuedMs) {
        m_log.event(LogSeverity::Warning, "worker-calls",
                    "dropped orders of " + from + " that had waited for " + std::to_string(queuedMs)
                            + " ms");
        return WorkerCallReceipt::Stale;
    }
    makeCalls(from, batch);
    return WorkerCallReceipt::Accepted;
}

WorkerCalls::OrderCallback WorkerCallRelay::orderCallback(const LeaderProcess &leader,
                                                          std::uint64_t call)
{
    return [alive = std::weak_ptr(m_alive), leader, call](std::optional<CallFault> fault) {
        if (const auto relay = alive.lock()) {
            (*relay)->m_results[leader].orders.push_back({call, fault});
            (*relay)->scheduleFlush();
        }
    };
}

void WorkerCallRelay::makeCalls(const std::string &from, const WorkerCallBatch &batch)
{
    const LeaderProcess leader(from, batch.process);
    for (const auto &[call, order] : batch.starts) {
        m_workers.start(order, batch.term, orderCallback(leader, call));
    }
    for (const auto &[call, order] : batch.stops) {
        m_workers.stop(order, batch.term, orderCallback(leader, call));
    }
    for (const auto &[call, order] : batch.paces) {
        m_workers.pace(order, batch.term, orderCallback(leader, call));
    }
    for (const auto &[call, order] : batch.renewals) {
        m_workers.renew(order, batch.term,
                        [alive = std::weak_ptr(m_alive), leader,
                         id = call](Result<RenewAnswer, CallFault> answer) {
                            const auto relay = alive.lock();
                            if (!relay) {
                                return;
                            }
                            RenewResult result{id, std::nullopt, {}};
                            if (isOk(answer)) {
                                result.answer = takeValue(std::move(answer));
                            } else {
                                result.fault = errorOf(answer);
                            }
                            (*relay)->m_results[leader].renewals.push_back(std::move(result));
                            (*relay)->scheduleFlush();
                        });
    }
}

void WorkerCallRelay::scheduleFlush()
{
    if (m_flushScheduled) {
        return;
    }
    m_flushScheduled = true;
    m_loop.startTimer(resultDelay, [alive = std::weak_ptr(m_alive)] {
        if (const auto relay = alive.lock()) {
            (*relay)->flush();
        }
    });
}

void WorkerCallRelay::flush()
{
    m_flushScheduled = false;
    for (auto &[leader, results] : m_results) {
        results.process = leader.second;
        // Results that are lost need no repetition: the leader's calls time out, and workers list
        // the ends of runs until the leader has acknowledged them.
        m_transport.call(leader.first, PeerMessageKind::WorkerCallResults, packMessage(results),
                         resultTimeout, [](const PeerResult &) {});
    }
    m_results.clear();
}

} // namespace dandelionloom
