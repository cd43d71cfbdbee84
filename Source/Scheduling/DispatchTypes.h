#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Scheduling/JobChanges.h"

namespace dandelionloom {

/// How long answers of workers are waited for, in milliseconds.
struct WorkerCallTimes
{
    /// A worker answers an order within a few milliseconds, and a lost packet is repeated after
    /// 0.2 s. An order may be repeated, so it is better sent again than waited for.
    std::int64_t orderMs = 300;
    /// Beyond the time that a renewal waits at the worker.
    std::int64_t renewMarginMs = 300;
};

/// Bounds that the workers' protocol states, and the dispatcher's own intervals. Times in
/// milliseconds.
struct DispatchRules
{
    /// Longest lease that a worker grants.
    std::int64_t maxLeaseMs = 6000;
    /// Lease that is asked for. It outlasts an election of 1.2 s, two syncs and a lost renewal; a
    /// crashed worker's tasks wait it out before they run elsewhere.
    std::int64_t leaseMs = 4500;
    /// Share by which a worker's clock may be slow.
    double clockDrift = 0.02;
    /// Time for late timers when a lease is held to have ended. A start that a partition held up
    /// was carried out 0.2 s after the lease it carried.
    std::int64_t lapseMarginMs = 500;
    /// A worker takes at most this long to stop a task.
    std::int64_t stopGraceMs = 400;
    WorkerCallTimes calls;
    /// Longest wait of one renewal for an end. A renewal is lost and repeated twice within a lease.
    std::int64_t renewWaitMs = 1000;
    /// The same for a worker with short tasks: a lost renewal hides their ends until its timeout.
    std::int64_t busyRenewWaitMs = 400;
    /// The same for a worker on which a lasting task starts: maintenance elsewhere waits for it.
    std::int64_t startingRenewWaitMs = 150;
    /// Orders in a row without an answer before a worker gets no new tasks for a while. Workers
    /// that leave one order in twenty unanswered are as good as others.
    std::uint32_t suspectOrders = 2;
    /// Pause before a failed renewal, start or stop is repeated.
    std::int64_t retryMs = 250;
    /// Answers older than this make a worker suspect; it gets no new tasks.
    std::int64_t freshMs = 2600;
    /// How long a job's state can be asked for after its end.
    std::int64_t retentionMs = 120000;
    /// Failed runs in a row, of tasks of different jobs, before a worker is set aside, and for how
    /// long. One more run after the pause decides again.
    std::uint32_t quarantineFailures = 3;
    std::int64_t quarantineMs = 6000;
    /// A run that shows no progress for this long is stopped and placed elsewhere.
    std::int64_t stallMs = 3500;
    /// How long a lasting task waits for a worker that keeps its step spread. Instances that move
    /// into the pool arrive within it, and it is well below the 3 s after which the task counts as
    /// neglected.
    std::int64_t spreadWaitMs = 2000;
    /// Time over which the rate of arriving jobs is taken, and the least jobs in it that count as a
    /// rate: between its peaks a queue hands in less than one job in this time.
    std::int64_t arrivalWindowMs = 400;
    std::size_t arrivalsOfPeak = 4;
    /// Share of a task's latency target at which the tasks that fill beside it are paused, so that
    /// the target holds with the 0.5 s that a reading is old and the 0.1 s that pacing takes.
    double paceTargetShare = 0.7;
    /// Pause before tasks that fill are let work again.
    std::int64_t paceRestoreMs = 3000;
};

/// One row of a worker's list of running tasks.
struct RunningRun
{
    TaskKey task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0;
    /// Tail latency in milliseconds for a task that serves, else thousandths of a core in use.
    std::int64_t reading = 0;
};

/// One row of a worker's list of ends.
struct EndedRun
{
    /// Counts up from 1 in each life of the worker.
    std::uint64_t number = 0;
    TaskKey task;
    std::uint32_t run = 0;
    RunEnd how = RunEnd::Done;
    std::string checkpoint;
};

struct RenewAnswer
{
    std::int64_t clockMs = 0;
    /// Start of the life that answered; 0 if it does not say.
    std::int64_t born = 0;
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended;
};

enum class CallFault {
    /// Nothing was sent.
    NotSent,
    /// It may have been carried out.
    NoAnswer,
    /// Another life answers at the address.
    OtherLife,
    /// The worker has seen a higher fence.
    Fenced,
    /// The run is not higher than one that was stopped or has ended there.
    OldRun,
    /// The lease had ended when the order arrived.
    Late,
    NoRoom,
    /// The queue's ticket is missing or expired.
    Ticket,
    /// The worker is overloaded or faulty and has done nothing.
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
    /// Ends up to this number are recorded; the worker may forget them.
    std::uint64_t ackCursor = 0;
    /// Lease on the worker's clock; none while the clock is unknown.
    std::optional<std::int64_t> leaseUntilMs;
    std::int64_t waitMs = 0;
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
};

struct StopOrder
{
    std::string worker;
    std::string address;
    TaskKey task;
    std::uint32_t run = 0;
};

struct PaceOrder
{
    std::string worker;
    std::string address;
    TaskKey task;
    std::uint32_t run = 0;
    std::int64_t percent = 100;
};

struct AdviceOrder
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::string> workers;
};

/// A decision for the log.
struct DispatchNote
{
    std::string decision;
    std::string task;
    std::uint32_t run = 0;
    std::string worker;
    std::string reason;
    /// Age in milliseconds of the worker's report that the decision rests on; -1 without one.
    std::int64_t inputAgeMs = -1;
};

/// What the owner must do. Changes are proposed to the journal in this order.
struct DispatchOrders
{
    std::vector<JobChange> changes;
    std::vector<RenewOrder> renewals;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
    std::vector<AdviceOrder> advice;
    std::vector<DispatchNote> notes;
};

} // namespace dandelionloom
