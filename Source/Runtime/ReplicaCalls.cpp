#include <algorithm>
#include <limits>

#include "Runtime/PendingCall.h"
#include "Runtime/Replica.h"

// Calls from other threads: proposals, confirmed reads and progress queries.

namespace dandelionloom {

namespace {

/// Delay before a call that found no leader is tried again.
constexpr std::int64_t noLeaderRetryMs = 50;

} // namespace

struct Replica::ProposeCall
{
    std::string encoded;
    SteadyTimeMs deadline = 0;
    PendingCall<Result<CommandOutcome, LogError>> pending;
};

struct Replica::ReadCall
{
    SteadyTimeMs deadline = 0;
    PendingCall<std::uint64_t> pending;
};

Result<CommandOutcome, LogError> Replica::propose(CommandBody body, Milliseconds timeout)
{
    const auto call = std::make_shared<ProposeCall>();
    call->encoded = encodeCommand({m_options.group, 0, std::move(body)});
    call->deadline = steadyTimeNow() + timeout.count();
    if (call->encoded.size() > m_options.maxCommandBytes) {
        return LogError{LogErrorKind::TooLarge,
                        "expected a command of at most " + std::to_string(m_options.maxCommandBytes)
                                + " bytes, found " + std::to_string(call->encoded.size())};
    }
    post([this, call] { startPropose(call); });
    auto result = call->pending.wait(timeout);
    if (result) {
        return *std::move(result);
    }
    if (call->pending.isInDoubt()) {
        return LogError{LogErrorKind::Unknown,
                        "no outcome within " + std::to_string(timeout.count())
                                + " ms; the command may still be accepted"};
    }
    return LogError{LogErrorKind::NotAccepted,
                    "found no leader within " + std::to_string(timeout.count()) + " ms"};
}

void Replica::startPropose(const std::shared_ptr<ProposeCall> &call)
{
    if (steadyTimeNow() >= call->deadline) {
        return;
    }
    const std::string leader = leaderName();
    if (isLeader()) {
        if (call->pending.markInDoubt()) {
            appendCommand(call->encoded, call->deadline, [this, call](const ProposeAnswer &answer) {
                finishPropose(call, answer);
            });
        }
    } else if (leader.empty() || leader == m_options.name) {
        retryPropose(call);
    } else {
        forwardPropose(call, leader);
    }
}

void Replica::retryPropose(const std::shared_ptr<ProposeCall> &call)
{
    call->pending.clearInDoubt();
    postDelayed(noLeaderRetryMs, [this, call] { startPropose(call); });
}

void Replica::forwardPropose(const std::shared_ptr<ProposeCall> &call, const std::string &leader)
{
    const std::int64_t left = call->deadline - steadyTimeNow();
    if (left <= 0 || !call->pending.markInDoubt()) {
        return;
    }
    m_transport.call(
            leader, PeerMessageKind::Propose, packMessage(ProposeRequest{call->encoded, left}),
            Milliseconds(left), [this, call](PeerResult result) {
                post([this, call, result = std::move(result)] {
                    if (!isOk(result)) {
                        if (errorOf(result).kind == PeerErrorKind::NoAnswer) {
                            finishPropose(
                                    call,
                                    {ProposeVerdict::Unknown, 0, {}, errorOf(result).message});
                        } else {
                            retryPropose(call);
                        }
                        return;
                    }
                    const auto answer = unpackMessage<ProposeAnswer>(valueOf(result));
                    if (!isOk(answer)) {
                        finishPropose(
                                call,
                                {ProposeVerdict::Unknown, 0, {}, "the leader's answer is damaged"});
                        return;
                    }
                    whenApplied(valueOf(answer).index, call->deadline,
                                [this, call, answer = valueOf(answer)] {
                                    finishPropose(call, answer);
                                });
                });
            });
}

void Replica::finishPropose(const std::shared_ptr<ProposeCall> &call, const ProposeAnswer &answer)
{
    LogErrorKind kind = LogErrorKind::Unknown;
    switch (answer.verdict) {
    case ProposeVerdict::Accepted: {
        auto outcome = decodeOutcome(answer.outcome);
        if (isOk(outcome)) {
            call->pending.finish(takeValue(std::move(outcome)));
            return;
        }
        break;
    }
    case ProposeVerdict::NotLeader:
        retryPropose(call);
        return;
    case ProposeVerdict::Refused:
        kind = LogErrorKind::NotAccepted;
        break;
    case ProposeVerdict::Unknown:
        break;
    case ProposeVerdict::DiskFull:
        kind = LogErrorKind::DiskFull;
        break;
    case ProposeVerdict::TooLarge:
        kind = LogErrorKind::TooLarge;
        break;
    }
    call->pending.finish(LogError{kind, answer.message});
}

void Replica::appendCommand(const std::string &encoded, SteadyTimeMs deadline,
                            ProposeCallback callback)
{
    const SteadyTimeMs now = steadyTimeNow();
    if (!isLeader()) {
        callback({ProposeVerdict::NotLeader, 0, {}, m_options.name + " is not the leader"});
        return;
    }
    if (now >= deadline) {
        callback({ProposeVerdict::Refused,
                  0,
                  {},
                  "the time limit of the call ended before the command was appended"});
        return;
    }
    auto command = decodeCommand(encoded);
    if (!isOk(command)) {
        callback({ProposeVerdict::Refused, 0, {}, errorOf(command).message});
        return;
    }
    runLeaderTasks(now);
    Command stamped = takeValue(std::move(command));
    stamped.atMs = nextCommandTimeMs();
    std::string payload = encodeCommand(stamped);
    if (payload.size() > m_options.maxCommandBytes + 16) {
        callback({ProposeVerdict::TooLarge,
                  0,
                  {},
                  "expected a command of at most " + std::to_string(m_options.maxCommandBytes)
                          + " bytes, found " + std::to_string(payload.size())});
        return;
    }
    const auto position = m_raft->propose(std::move(payload));
    m_pendingCommands.emplace(position->index,
                              PendingCommand{position->term, deadline, std::move(callback)});
}

void Replica::whenApplied(std::uint64_t index, SteadyTimeMs deadline,
                          std::function<void()> callback)
{
    m_appliedWaiters.push_back({index, deadline, std::move(callback)});
}

void Replica::runAppliedWaiters()
{
    std::list<AppliedWaiter> due;
    for (auto waiter = m_appliedWaiters.begin(); waiter != m_appliedWaiters.end();) {
        const auto next = std::next(waiter);
        if (waiter->index <= m_applied.index()) {
            due.splice(due.end(), m_appliedWaiters, waiter);
        }
        waiter = next;
    }
    for (const AppliedWaiter &waiter : due) {
        waiter.callback();
    }
}

void Replica::expireWaiters(SteadyTimeMs now)
{
    std::erase_if(m_appliedWaiters, [&](const auto &waiter) { return waiter.deadline <= now; });
    for (auto pendingCommand = m_pendingCommands.begin();
         pendingCommand != m_pendingCommands.end();) {
        if (pendingCommand->second.deadline > now) {
            ++pendingCommand;
            continue;
        }
        pendingCommand->second.callback(
                {ProposeVerdict::Unknown,
                 0,
                 {},
                 "no quorum accepted the command in time; it may still be committed"});
        pendingCommand = m_pendingCommands.erase(pendingCommand);
    }
}

Result<std::uint64_t, LogError> Replica::confirmRead(Milliseconds timeout)
{
    const auto call = std::make_shared<ReadCall>();
    call->deadline = steadyTimeNow() + timeout.count();
    post([this, call] { startRead(call); });
    const auto index = call->pending.wait(timeout);
    if (index) {
        return *index;
    }
    return LogError{LogErrorKind::NotAccepted,
                    "no quorum confirmed the read within " + std::to_string(timeout.count())
                            + " ms"};
}

void Replica::startRead(const std::shared_ptr<ReadCall> &call)
{
    if (steadyTimeNow() >= call->deadline || call->pending.isAbandoned()) {
        return;
    }
    const auto callback = [this, call](std::optional<std::uint64_t> index) {
        if (!index) {
            postDelayed(noLeaderRetryMs, [this, call] { startRead(call); });
            return;
        }
        whenApplied(*index, call->deadline,
                    [this, call] { call->pending.finish(m_applied.index()); });
    };
    const std::string leader = leaderName();
    if (isLeader()) {
        m_queuedReads.emplace_back(callback);
        return;
    }
    if (leader.empty() || leader == m_options.name) {
        callback(std::nullopt);
        return;
    }
    const Milliseconds timeout(
            std::min(call->deadline - steadyTimeNow(), 2 * m_options.electionMaxMs));
    m_transport.call(
            leader, PeerMessageKind::ReadIndex, {}, timeout, [this, callback](PeerResult result) {
                post([callback, result = std::move(result)] {
                    if (!isOk(result)) {
                        callback(std::nullopt);
                        return;
                    }
                    const auto answer = unpackMessage<ReadIndexAnswer>(valueOf(result));
                    const bool confirmed = isOk(answer) && valueOf(answer).confirmed;
                    callback(confirmed ? std::optional(valueOf(answer).index) : std::nullopt);
                });
            });
}

Result<std::vector<ReplicaProgress>, LogError> Replica::progress(Milliseconds timeout)
{
    const auto call = std::make_shared<PendingCall<std::vector<ReplicaProgress>>>();
    post([this, call, deadline = steadyTimeNow() + timeout.count()] {
        startProgress(call, deadline);
    });
    auto result = call->wait(timeout);
    if (result) {
        return *std::move(result);
    }
    return LogError{LogErrorKind::NotAccepted,
                    "no leader answered within " + std::to_string(timeout.count()) + " ms"};
}

void Replica::startProgress(const std::shared_ptr<ProgressCall> &call, SteadyTimeMs deadline)
{
    if (steadyTimeNow() >= deadline) {
        return;
    }
    if (isLeader()) {
        call->finish(leaderProgress(steadyTimeNow()));
        return;
    }
    const auto retry = [this, call, deadline] {
        postDelayed(noLeaderRetryMs, [this, call, deadline] { startProgress(call, deadline); });
    };
    const std::string leader = leaderName();
    if (leader.empty() || leader == m_options.name) {
        retry();
        return;
    }
    m_transport.call(leader, PeerMessageKind::Progress, {},
                     Milliseconds(deadline - steadyTimeNow()),
                     [this, call, retry](PeerResult result) {
                         post([call, retry, result = std::move(result)] {
                             const auto answer = isOk(result)
                                     ? unpackMessage<ProgressAnswer>(valueOf(result))
                                     : Result<ProgressAnswer, std::monostate>(std::monostate{});
                             if (isOk(answer) && valueOf(answer).isLeader) {
                                 call->finish(valueOf(answer).replicas);
                             } else {
                                 retry();
                             }
                         });
                     });
}

} // namespace dandelionloom
