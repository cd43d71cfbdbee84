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

/// What a client, a worker or an operator asks of the leader. The number is on the wire: only
/// append.
enum class JobCallKind {
    Submit,
    Status,
    Cancel,
    ReadConfiguration,
    ChangeConfiguration,
    AnnounceWorker,
    WorkerLeaves,
    StartWave,
    WaveState
};
inline constexpr EnumNames<JobCallKind, 9> jobCallKindNames{
        {"submit", "status", "cancel", "read-configuration", "change-configuration",
         "announce-worker", "worker-leaves", "start-wave", "wave-state"}};

/// One call, decoded. Which fields count depends on the kind.
struct JobCall
{
    JobCallKind kind = JobCallKind::Status;
    /// Names the call in the logs of all processes that it passes.
    std::string requestId;
    /// Client calls: where the queue is found.
    std::string host;
    std::string path;
    /// Submit: the job without id and queue, which the path tells.
    JobSpec spec;
    FleetConfiguration configuration;
    WorkerRecord worker;
    std::uint64_t sequence = 0;
    std::int64_t clockMs = -1;
    MaintenanceWave wave;

    MSGPACK_DEFINE_ARRAY(kind, requestId, host, path, spec, configuration, worker, sequence,
                         clockMs, wave)
};

enum class JobCallOutcome {
    Done,
    /// Read: no such queue or wave.
    NotFound,
    /// No such job.
    Gone,
    /// Refused, and nothing of it will run. Come back after `retryAfterMs`.
    Busy,
    /// This instance does not lead; nothing was done.
    NotLeader,
    /// It may or may not take effect.
    Unknown,
    Invalid
};
inline constexpr EnumNames<JobCallOutcome, 7> jobCallOutcomeNames{
        {"done", "not-found", "gone", "busy", "not-leader", "unknown", "invalid"}};

struct JobCallAnswer
{
    JobCallOutcome outcome = JobCallOutcome::NotLeader;
    /// Why; printed in the log.
    std::string reason;
    /// NotLeader: name of the leader if it is known.
    std::string leader;
    std::int64_t retryAfterMs = 0;
    JobPhase phase = JobPhase::Active;
    bool started = false;
    /// Status of a queue instead of a job.
    bool isQueue = false;
    std::uint64_t pendingJobs = 0;
    /// ReadConfiguration: the document as the operator sent it.
    std::string document;
    bool waveCompleted = false;

    MSGPACK_DEFINE_ARRAY(outcome, reason, leader, retryAfterMs, phase, started, isQueue,
                         pendingJobs, document, waveCompleted)
};

inline JobCallAnswer answerOf(JobCallOutcome outcome, std::string reason)
{
    JobCallAnswer answer;
    answer.outcome = outcome;
    answer.reason = std::move(reason);
    return answer;
}

/// Answer to PeerMessageKind::Locate.
struct LocateAnswer
{
    /// True if the leader answers itself and its lease holds.
    bool leads = false;
    std::string leader;
    std::vector<std::string> voters;

    MSGPACK_DEFINE_ARRAY(leads, leader, voters)
};

using JobReply = std::function<void(JobCallAnswer)>;

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::JobCallKind)
MSGPACK_ADD_ENUM(dandelionloom::JobCallOutcome)
