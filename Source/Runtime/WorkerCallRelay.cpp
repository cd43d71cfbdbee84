#include "Runtime/WorkerCallRelay.h"

#include <algorithm>

#include "Runtime/ReplicaMessages.h"

namespace dandelionloom {

namespace {

/// Results are collected for this long, so that the leader receives at most 66 messages a second
/// from each relay. Small against the run time of the shortest tasks, which is half a second.
constexpr Milliseconds resultDelay{15};

constexpr Milliseconds resultTimeout{1000};

/// The leader is asked for an acknowledgement if its last one is older than this.
constexpr std::int64_t confirmAfterMs = 300;

/// No calls are made for a leader whose last acknowledgement is older than this. The leader itself
/// gives up a relay that it has not heard from for as long.
constexpr std::int64_t returnPathSilenceMs = 700;

/// Shorter than the time that the leader waits for the reply to its batch.
constexpr Milliseconds confirmTimeout{400};

/// A process of a leader that has sent nothing for this long has ended or lost the leadership.
constexpr std::int64_t forgetLeaderAfterMs = 10000;

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
    const auto unpacked = unpackMessage<WorkerCallBatch>(body);
    if (!isOk(unpacked)) {
        m_log.event(LogSeverity::Warning, "worker-calls", "unreadable batch of " + from);
        this->reply(reply, WorkerCallReceipt::Unreadable);
        return;
    }
    const WorkerCallBatch &batch = valueOf(unpacked);
    const WorkerCallReceipt receipt = receive(from, batch, receivedAt);
    if (receipt != WorkerCallReceipt::Accepted) {
        this->reply(reply, receipt);
        return;
    }
    const SteadyTimeMs now = steadyTimeNow();
    ReturnPath &path = checkReturnPath({from, batch.process}, now);
    const bool isConfirmed = path.confirmedAt != 0 && now - path.confirmedAt < returnPathSilenceMs;
    if (batch.isEmpty() && now - path.confirmedAt >= confirmAfterMs) {
        path.waiting.push_back(reply);
        return;
    }
    if (isConfirmed) {
        makeCalls(from, batch);
    }
    this->reply(reply, isConfirmed ? WorkerCallReceipt::Accepted : WorkerCallReceipt::NoReturnPath);
}

void WorkerCallRelay::reply(const PeerTransport::Reply &reply, WorkerCallReceipt receipt) const
{
    reply(packMessage(WorkerCallAck{receipt, m_availabilityZone}));
}

WorkerCallRelay::ReturnPath &WorkerCallRelay::checkReturnPath(const LeaderProcess &leader,
                                                              SteadyTimeMs now)
{
    std::erase_if(m_returnPaths, [now](const auto &item) {
        return item.second.openMessages == 0 && now - item.second.usedAt >= forgetLeaderAfterMs;
    });
    ReturnPath &path = m_returnPaths[leader];
    path.usedAt = now;
    if (now - path.confirmedAt >= confirmAfterMs && path.openMessages == 0) {
        WorkerCallResults question;
        question.process = leader.second;
        sendResults(leader, std::move(question), confirmTimeout);
    }
    return path;
}

void WorkerCallRelay::sendResults(const LeaderProcess &leader, WorkerCallResults results,
                                  Milliseconds timeout)
{
    const SteadyTimeMs now = steadyTimeNow();
    const std::size_t calls = results.orders.size() + results.renewals.size();
    ++m_returnPaths[leader].openMessages;
    m_transport.call(leader.first, PeerMessageKind::WorkerCallResults, packMessage(results),
                     timeout,
                     [alive = std::weak_ptr(m_alive), &loop = m_loop, leader, now,
                      calls](const PeerResult &result) {
                         loop.post([alive, leader, now, calls, result] {
                             if (const auto relay = alive.lock()) {
                                 (*relay)->onResultsSent(leader, now, calls, result);
                             }
                         });
                     });
}

void WorkerCallRelay::onResultsSent(const LeaderProcess &leader, SteadyTimeMs sentAt,
                                    std::size_t calls, const PeerResult &result)
{
    ReturnPath &path = m_returnPaths[leader];
    --path.openMessages;
    if (isOk(result)) {
        path.confirmedAt = std::max(path.confirmedAt, sentAt);
        if (std::exchange(path.failing, false)) {
            m_log.event(LogSeverity::Info, "worker-calls",
                        "results reach leader " + leader.first + "; those of "
                                + std::to_string(std::exchange(path.lostResults, 0))
                                + " calls were lost");
        }
    } else if (sentAt >= path.confirmedAt) {
        path.confirmedAt = 0;
        // Results that are lost need no repetition: the leader gives the relay up with its next
        // batch, and workers list the ends of runs until the leader has acknowledged them.
        path.lostResults += calls;
        if (!std::exchange(path.failing, true)) {
            m_log.event(LogSeverity::Warning, "worker-calls",
                        "results of " + std::to_string(calls) + " calls did not reach leader "
                                + leader.first + ": " + errorOf(result).message);
        }
    }
    for (const PeerTransport::Reply &waiting : std::exchange(path.waiting, {})) {
        reply(waiting,
              path.confirmedAt != 0 ? WorkerCallReceipt::Accepted
                                    : WorkerCallReceipt::NoReturnPath);
    }
}

WorkerCallReceipt WorkerCallRelay::receive(const std::string &from, const WorkerCallBatch &batch,
                                           SteadyTimeMs receivedAt)
{
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
        sendResults(leader, std::move(results), resultTimeout);
    }
    m_results.clear();
}

} // namespace dandelionloom
