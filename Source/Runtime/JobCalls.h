#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Model/EnumNames.h"
#include "Model/Result.h"
#include "Runtime/ReplicaMessages.h"
#include "Scheduling/JobTypes.h"

namespace dandelionloom {

/// Requests that clients, workers and operators send to the leader. Enumerators are encoded as
/// integers, so new ones must be appended.
enum class JobCallKind {
    Submit,
    Status,
    Cancel,
    ReadConfiguration,
    ChangeConfiguration,
    AnnounceWorker,
    DeregisterWorker,
    StartWave,
    WaveState
};
inline constexpr EnumNames<JobCallKind, 9> jobCallKindNames{
        {"submit", "status", "cancel", "read-configuration", "change-configuration",
         "announce-worker", "worker-leaves", "start-wave", "wave-state"}};

/// A decoded call. The kind determines which fields are used.
struct JobCall
{
    JobCallKind kind = JobCallKind::Status;
    /// Identifies the call in the logs of every process that forwards or answers it.
    std::string requestId;
    /// Submit, Status and Cancel: host and path that select the queue.
    std::string host;
    std::string path;
    /// Submit, Status and Cancel: key of the caller's team; empty for none.
    std::string apiKey;
    /// Submit: the job. Its id and queue are left empty; the leader derives them from the path.
    JobSpec spec;
    FleetConfiguration configuration;
    WorkerRecord worker;
    /// AnnounceWorker: grows with each announcement of a worker process; a lower number is stale.
    std::uint64_t sequence = 0;
    /// AnnounceWorker: the worker's monotonic clock; -1 if it was not reported.
    std::int64_t clockMs = -1;
    MaintenanceWave wave;

    MSGPACK_DEFINE_ARRAY(kind, requestId, host, path, spec, configuration, worker, sequence,
                         clockMs, wave, apiKey)
};

enum class JobCallOutcome {
    Done,
    /// There is no such queue or wave, or no configuration yet.
    NotFound,
    /// There is no such job.
    Gone,
    /// Refused without any effect. The caller may retry after `retryAfterMs`.
    Busy,
    /// This instance is not the leader; the call had no effect.
    NotLeader,
    /// The call may or may not take effect.
    Unknown,
    Invalid,
    /// The call has no valid key of a team; it had no effect.
    Unauthenticated
};
inline constexpr EnumNames<JobCallOutcome, 8> jobCallOutcomeNames{{"done", "not-found", "gone",
                                                                   "busy", "not-leader", "unknown",
                                                                   "invalid", "unauthenticated"}};

struct JobCallAnswer
{
    JobCallOutcome outcome = JobCallOutcome::NotLeader;
    /// Reason for the outcome, written to the log.
    std::string reason;
    /// NotLeader: name of the leader; empty if it is unknown.
    std::string leader;
    std::int64_t retryAfterMs = 0;
    JobPhase phase = JobPhase::Active;
    bool started = false;
    /// Status: the path named a queue, not a job; `pendingJobs` is set instead of `phase`.
    bool isQueue = false;
    std::uint64_t pendingJobs = 0;
    /// ReadConfiguration: the configuration document as the operator submitted it.
    std::string document;
    bool waveCompleted = false;

    MSGPACK_DEFINE_ARRAY(outcome, reason, leader, retryAfterMs, phase, started, isQueue,
                         pendingJobs, document, waveCompleted)
};

inline JobCallAnswer makeAnswer(JobCallOutcome outcome, std::string reason)
{
    JobCallAnswer answer;
    answer.outcome = outcome;
    answer.reason = std::move(reason);
    return answer;
}

/// Answer to PeerMessageKind::Locate.
struct LocateAnswer
{
    /// True if the answering instance is the leader and holds a valid lease.
    bool leads = false;
    std::string leader;
    std::vector<std::string> voters;

    MSGPACK_DEFINE_ARRAY(leads, leader, voters)
};

using JobReplyCallback = std::function<void(JobCallAnswer)>;

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::JobCallKind)
MSGPACK_ADD_ENUM(dandelionloom::JobCallOutcome)
