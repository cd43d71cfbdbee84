#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Scheduling/DemandTracker.h"
#include "Scheduling/JobChanges.h"

namespace dandelionloom {

/// Timeouts of calls to workers, in milliseconds.
struct WorkerCallTimeouts
{
    /// A worker answers an order within a few milliseconds, and TCP retransmits a lost packet after
    /// 0.2 s. Orders are idempotent, so a late answer is not waited for and the order is sent
    /// again.
    std::int64_t orderTimeoutMs = 300;
    /// Added to the time for which the worker holds the renewal.
    std::int64_t renewalMarginMs = 300;
};

/// Bounds set by the worker protocol, and intervals of the dispatcher. Times in milliseconds.
struct DispatchOptions
{
    /// Longest lease that a worker grants.
    std::int64_t maxLeaseMs = 6000;
    /// Requested lease. It outlasts an election of 1.2 s, two disk syncs and a lost renewal. The
    /// tasks of a crashed worker start elsewhere only after it has expired.
    std::int64_t leaseMs = 4500;
    /// Largest fraction by which a worker's clock may run slow.
    double clockDrift = 0.02;
    /// Margin for late timers before a lease counts as expired. A start delayed by a partition was
    /// carried out 0.2 s after its lease had ended.
    std::int64_t leaseExpiryMarginMs = 500;
    /// Longest time in which a worker stops a task.
    std::int64_t stopGraceMs = 400;
    WorkerCallTimeouts calls;
    /// Time for which a worker holds a renewal until a run ends. Short enough for a lost renewal to
    /// be repeated twice within a lease.
    std::int64_t renewalWaitMs = 1000;
    /// The same for a worker with short tasks: a lost renewal hides the ends of its runs until the
    /// call times out.
    std::int64_t shortTaskRenewalWaitMs = 400;
    /// The same for a worker on which a long-running task is starting: maintenance of other workers
    /// waits until it is available.
    std::int64_t startingRenewalWaitMs = 150;
    /// Number of workers from which on the next renewal of a worker that has listed an end waits
    /// for `renewalPauseMs`: at five ends a second and worker, each renewal would otherwise list
    /// one. The pause is a tenth of the shortest run times.
    std::size_t largeFleetWorkers = 150;
    std::int64_t renewalPauseMs = 50;
    /// Most ends that a worker lists at a time.
    std::size_t maxListedEnds = 500;
    /// Consecutive unanswered orders before a worker is temporarily given no new tasks. A single
    /// one is no reason: a worker that leaves one order in twenty unanswered is as useful as
    /// others.
    std::uint32_t maxUnansweredOrders = 2;
    /// Delay before a failed renewal, start or stop is repeated.
    std::int64_t retryMs = 250;
    /// Longest time after which a worker is assumed to carry out an order that it left unanswered.
    std::int64_t lateOrderMs = 2000;
    /// Longest wait for a silent worker, from its last answer, because a next incarnation of which
    /// nothing is known may have carried out an unanswered start. A long-running task counts as
    /// neglected 9 s after its loss.
    std::int64_t maxLateStartWaitMs = 8000;
    /// A worker whose last answer is older than this gets no new tasks.
    std::int64_t maxAnswerAgeMs = 2600;
    /// Time after its end for which a job's state can be queried.
    std::int64_t retentionMs = 120000;
    /// Consecutive failed runs, from more than one job, before a worker is quarantined, and the
    /// duration of the quarantine. Another failure after it quarantines the worker again.
    std::uint32_t quarantineFailures = 3;
    std::int64_t quarantineMs = 6000;
    /// A run without progress for this long is stopped and placed elsewhere.
    std::int64_t stallMs = 3500;
    /// Time for which a long-running task waits for a worker that keeps its step spread. Instances
    /// that move into the pool arrive within it, and it is well below the 3 s after which the task
    /// counts as neglected.
    std::int64_t spreadWaitMs = 2000;
    /// Time without a worker after which a long-running task asks for an instance of another pool,
    /// and is placed before all other tasks. It counts as neglected after 3 s; the move takes 1.5
    /// s, and the listing that shows the instance and the start of the task the rest.
    std::int64_t longRunningWaitMs = 1000;
    /// Time for which other tasks of a team may pass one that the team's quota holds. After it, the
    /// quota that gets free is kept for the held task; 0 or less for never. Held tasks start within
    /// 3 s if the team's running tasks end within the rest of that time.
    std::int64_t maxQuotaPassedMs = 1500;
    /// Longest time for which quota is kept for a held task, as the tasks that have the rest of it
    /// may run for long. Longer than `stallMs` and the stop of a hung run. 0 or less keeps it for
    /// one placement pass only.
    std::int64_t maxReservedMs = 5000;
    DemandOptions demand;
    /// Fraction of a task's latency target above which best-effort tasks on the same worker are
    /// paused. Leaves time for the 0.5 s age of a reading and the 0.1 s that pacing takes.
    double paceTargetShare = 0.7;
    /// Time without an exceeded latency target before best-effort tasks resume.
    std::int64_t paceRestoreMs = 3000;
};

/// Longest time that passes while a clock that runs slow by the fraction `drift` counts this time.
inline std::int64_t slowClockMs(std::int64_t milliseconds, double drift)
{
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(milliseconds) / (1 - drift)));
}

/// Time after the end of a lease from which on it counts as expired.
inline std::int64_t expiryMarginMs(const DispatchOptions &options)
{
    return slowClockMs(options.leaseExpiryMarginMs, options.clockDrift);
}

/// Upper bound of the time for which a lease of this length is valid after its last extension.
inline std::int64_t leaseValidityMs(const DispatchOptions &options, std::int64_t leaseMs)
{
    return slowClockMs(leaseMs + options.leaseExpiryMarginMs, options.clockDrift);
}

/// The same for the longest lease that a worker grants.
inline std::int64_t longestLeaseMs(const DispatchOptions &options)
{
    return leaseValidityMs(options, options.maxLeaseMs);
}

/// Upper bound of the time for which a restarted worker may hold a lease that was requested for its
/// earlier incarnation, once no more such requests can reach it. The end of the lease is a time on
/// the earlier clock, so that only the worker's own maximum bounds it.
inline std::int64_t otherLeaseMs(const DispatchOptions &options)
{
    return slowClockMs(options.maxLeaseMs, options.clockDrift);
}

/// Number of bits of a fencing token that hold the generation of the worker.
inline constexpr unsigned generationBits = 16;

/// Fencing token of an order. A worker that starts again under its id has seen no token, and would
/// carry out orders for its earlier incarnation; the leader calls each incarnation with a further
/// generation, so that it refuses them from then on. Orders of a later term have a higher token.
/// A worker that restarts more often in a term is given the last generation.
inline std::uint64_t fencingToken(std::uint64_t term, std::uint64_t generation)
{
    constexpr std::uint64_t lastGeneration = (std::uint64_t(1) << generationBits) - 1;
    return (term << generationBits) + std::min(generation, lastGeneration);
}

/// Entry of a worker's list of running tasks.
struct RunningRun
{
    TaskKey task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0;
    /// Tail latency in milliseconds for a task with a latency target, otherwise thousandths of a
    /// core in use.
    std::int64_t reading = 0;

    MSGPACK_DEFINE_ARRAY(task, run, checkpoint, percent, reading)
};

/// Entry of a worker's list of ended runs.
struct EndedRun
{
    /// Increases from 1 in each incarnation of the worker.
    std::uint64_t number = 0;
    TaskKey task;
    std::uint32_t run = 0;
    RunOutcome runOutcome = RunOutcome::Done;
    std::string checkpoint;

    MSGPACK_DEFINE_ARRAY(number, task, run, runOutcome, checkpoint)
};

struct RenewAnswer
{
    std::int64_t clockMs = 0;
    /// Incarnation that answered; 0 if the answer does not contain it.
    std::int64_t startTimeMs = 0;
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended;

    MSGPACK_DEFINE_ARRAY(clockMs, startTimeMs, running, ended)
};

enum class CallFault {
    /// Nothing was sent.
    NotSent,
    /// It may have been carried out.
    NoAnswer,
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run number is not higher than that of a run that was stopped or has ended there.
    OldRun,
    /// The lease had expired when the order arrived.
    Late,
    InsufficientCapacity,
    /// The ticket of the advice service is missing or has expired.
    Ticket,
    /// The worker is overloaded or faulty and did not carry out the order.
    Unhealthy,
    Invalid
};
inline constexpr EnumNames<CallFault, 10> callFaultNames{{"not-sent", "no-answer", "other-life",
                                                          "fenced", "old-run", "late", "no-room",
                                                          "ticket", "unhealthy", "invalid"}};

struct RenewOrder
{
    std::string worker;
    std::string address;
    /// Ends up to this number are recorded in the journal; the worker may discard them.
    std::uint64_t ackCursor = 0;
    /// Lease on the worker's clock; unset while that clock is unknown.
    std::optional<std::int64_t> leaseUntilMs;
    std::int64_t waitMs = 0;
    /// Incarnation of the worker that the order is for.
    std::int64_t startTimeMs = 0;
    /// See fencingToken().
    std::uint64_t generation = 0;

    MSGPACK_DEFINE_ARRAY(worker, address, ackCursor, leaseUntilMs, waitMs, startTimeMs, generation)
};

struct StartOrder
{
    std::string worker;
    std::string address;
    TaskKey task;
    std::uint32_t run = 0;
    std::string payload;
    std::int64_t leaseUntilMs = 0;
    std::string checkpoint;
    std::string ticket;
    /// See fencingToken().
    std::uint64_t generation = 0;

    MSGPACK_DEFINE_ARRAY(worker, address, task, run, payload, leaseUntilMs, checkpoint, ticket,
                         generation)
};

struct StopOrder
{
    std::string worker;
    std::string address;
    TaskKey task;
    std::uint32_t run = 0;
    /// See fencingToken().
    std::uint64_t generation = 0;

    MSGPACK_DEFINE_ARRAY(worker, address, task, run, generation)
};

struct PaceOrder
{
    std::string worker;
    std::string address;
    TaskKey task;
    std::uint32_t run = 0;
    std::int64_t percent = 100;
    /// See fencingToken().
    std::uint64_t generation = 0;

    MSGPACK_DEFINE_ARRAY(worker, address, task, run, percent, generation)
};

struct AdviceOrder
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::string> workers;
};

/// A scheduling decision, for the decision log.
struct DispatchDecision
{
    std::string decision;
    std::string task;
    std::uint32_t run = 0;
    std::string worker;
    std::string reason;
    /// Age in milliseconds of the worker's answer on which the decision is based; -1 without one.
    std::int64_t inputAgeMs = -1;
    /// The decision concerns a long-running task: such decisions are rare.
    bool longRunning = false;
};

/// Actions for the caller to carry out. Changes must be proposed to the journal in this order.
struct DispatchOrders
{
    std::vector<JobChange> changes;
    std::vector<RenewOrder> renewals;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
    std::vector<AdviceOrder> advice;
    std::vector<DispatchDecision> dispatchDecisions;
};

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::CallFault)
