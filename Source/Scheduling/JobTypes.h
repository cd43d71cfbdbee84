#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <msgpack.hpp>

#include "Model/EnumNames.h"
#include "Model/Time.h"
#include "Scheduling/JobId.h"

namespace dandelionloom {

inline constexpr double milliPerCore = 1000;

/// Resources that a task requires, or that a worker has.
struct TaskResources
{
    /// Thousandths of a core.
    std::int64_t processorMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const TaskResources &) const = default;
    MSGPACK_DEFINE_ARRAY(processorMilli, memoryMb, accelerators)
};

inline TaskResources operator+(const TaskResources &left, const TaskResources &right)
{
    return {left.processorMilli + right.processorMilli, left.memoryMb + right.memoryMb,
            left.accelerators + right.accelerators};
}

inline TaskResources operator-(const TaskResources &left, const TaskResources &right)
{
    return {left.processorMilli - right.processorMilli, left.memoryMb - right.memoryMb,
            left.accelerators - right.accelerators};
}

inline bool fits(const TaskResources &need, const TaskResources &freeCapacity)
{
    return need.processorMilli <= freeCapacity.processorMilli
            && need.memoryMb <= freeCapacity.memoryMb
            && need.accelerators <= freeCapacity.accelerators;
}

/// A group of identical tasks of a job.
struct StepSpec
{
    std::uint32_t count = 1;
    TaskResources need;
    /// Estimated run time of one task, as declared by the submitter.
    std::int64_t estimateMs = 0;
    /// Indices of earlier steps that must complete first.
    std::vector<std::uint32_t> dependsOn;
    bool checkpointing = false;
    /// Gang scheduling: the tasks make progress only while all of them run, and end together.
    bool gang = false;
    /// The tasks run slowly when spread over several racks.
    bool rackLocal = false;
    std::string requiredLabel;
    /// Rack of the input data, without which the tasks run slowly; empty for none.
    std::string dataRack;
    /// Maximum number of tasks of the step per worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    /// Several copies of a task may run in parallel.
    bool speculative = false;
    /// The tasks run until the job is cancelled, for example to serve requests.
    bool longRunning = false;
    std::string image;
    /// Latency target for the users of a long-running task; 0 for none.
    std::int64_t targetMs = 0;
    /// The tasks use idle processor time only; no processor time is reserved for them.
    bool bestEffort = false;
    /// Disruption budget: maximum number of long-running tasks of the step that the system may make
    /// unavailable at once; 0 for no limit.
    std::uint32_t maxUnavailable = 0;

    MSGPACK_DEFINE_ARRAY(count, need, estimateMs, dependsOn, checkpointing, gang, rackLocal,
                         requiredLabel, dataRack, maxPerWorker, speculative, longRunning, image,
                         targetMs, bestEffort, maxUnavailable)
};

struct JobSpec
{
    /// Chosen by the client; a job submitted twice under one id is one job.
    std::string id;
    std::string queue;
    /// Opaque to the scheduler; passed to each task.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Number of scheduled occurrences; 0 for a job that runs once, immediately.
    std::uint32_t repeatCount = 0;
    WallTimeMs startAtMs = 0;
    std::int64_t intervalMs = 0;
    /// Team that submitted the job; empty if the queue needs no key.
    std::string team;
    /// The team had submitted more than its share when the job was accepted.
    bool beyondShare = false;

    std::uint32_t occurrences() const { return repeatCount > 0 ? repeatCount : 1; }
    MSGPACK_DEFINE_ARRAY(id, queue, payload, steps, repeatCount, startAtMs, intervalMs, team,
                         beyondShare)
};

struct TaskKey
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskKey &) const = default;
    bool operator<(const TaskKey &other) const
    {
        if (job != other.job) {
            return job < other.job;
        }
        return std::tie(occurrence, step, index)
                < std::tie(other.occurrence, other.step, other.index);
    }
    MSGPACK_DEFINE_ARRAY(job, occurrence, step, index)
};

/// "job.occurrence.step.index"
std::string taskName(const TaskKey &task);

enum class TaskPhase { Pending, Assigned, Done };

/// Outcome of a run, as listed by the worker. The numeric value is stored on disk: new values must
/// be appended.
enum class RunOutcome {
    Done,
    /// Caused by the task or by the worker.
    Failed,
    Stopped,
    /// The worker stopped the task because its lease had expired.
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang did not start in time.
    GangIncomplete,
    /// The worker has left, or does not answer and its lease has certainly expired.
    WorkerLost,
    /// The start was refused or never sent; the run did not begin.
    Refused
};
inline constexpr EnumNames<RunOutcome, 8> runOutcomeNames{
        {"done", "failed", "stopped", "lapsed", "broken", "alone", "worker-lost", "refused"}};

/// True if a run with this outcome has begun.
inline bool showsStart(RunOutcome runOutcome)
{
    return runOutcome != RunOutcome::WorkerLost && runOutcome != RunOutcome::Refused;
}

enum class JobPhase { Active, Completed, Failed, Cancelled };
inline constexpr EnumNames<JobPhase, 4> jobPhaseNames{
        {"active", "completed", "failed", "cancelled"}};

struct QueueConfig
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    std::int64_t timeoutMs = 0;
    /// 0 is the highest priority.
    std::int64_t priority = 0;
    std::uint32_t maxAttempts = 1;
    /// A job's completion objective: the length of its critical path times `stretch`, plus
    /// `targetLatencyMs`.
    double stretch = 1;
    std::int64_t targetLatencyMs = 0;
    /// The workers on which the queue's steps may run are known only to the advice service.
    bool needsAdvice = false;
    std::int64_t adviceValidMs = 0;
    /// Calls of the queue need no key of a team.
    bool isPublic = false;

    MSGPACK_DEFINE_ARRAY(name, host, pathPrefix, service, timeoutMs, priority, maxAttempts, stretch,
                         targetLatencyMs, needsAdvice, adviceValidMs, isPublic)
};

struct ServiceConfig
{
    std::string name;
    /// The workers refuse tasks that exceed their capacity; otherwise they start every task.
    bool enforcesCapacity = true;
    /// The pool holds spare instances that are switched off and cost nothing.
    bool standby = false;

    MSGPACK_DEFINE_ARRAY(name, enforcesCapacity, standby)
};

/// A team whose jobs share the fleet with those of other teams.
struct TeamConfig
{
    std::string name;
    /// Keys that identify the team's calls. A team has several while they are rotated, and none
    /// once all are revoked.
    std::vector<std::string> apiKeys;
    /// Jobs per second that are served before other teams' excess while capacity is short; 0 for no
    /// limit.
    std::int64_t weight = 0;
    /// Resources that the team's tasks may use at once on all workers; 0 for no limit.
    TaskResources maxRunning;

    MSGPACK_DEFINE_ARRAY(name, apiKeys, weight, maxRunning)
};

struct FleetConfiguration
{
    std::uint64_t version = 0;
    std::vector<QueueConfig> queues;
    std::vector<ServiceConfig> services;
    /// The document as sent by the operator, returned when the configuration is read.
    std::string document;
    /// Calls need a key of one of the teams, but for those of public queues.
    bool requiresKeys = false;
    std::vector<TeamConfig> teams;

    MSGPACK_DEFINE_ARRAY(version, queues, services, document, requiresKeys, teams)
};

/// Attributes that a worker announces.
struct WorkerRecord
{
    /// Identifies one incarnation of an instance, unless the worker restarts under the same id.
    std::string id;
    /// Start of this incarnation in milliseconds since 1970; distinguishes incarnations under one
    /// id.
    std::int64_t startTimeMs = 0;
    std::string service;
    std::string address;
    std::string availabilityZone;
    std::string rack;
    std::vector<std::string> labels;
    TaskResources capacity;
    bool draining = false;

    bool operator==(const WorkerRecord &) const = default;
    MSGPACK_DEFINE_ARRAY(id, startTimeMs, service, address, availabilityZone, rack, labels,
                         capacity, draining)
};

/// Maintenance of a set of instances within a given duration.
struct MaintenanceWave
{
    std::uint64_t id = 0;
    std::vector<std::string> instances;
    std::int64_t durationMs = 0;
    std::uint32_t maxAtOnce = 1;
    /// Time of acceptance, from which the duration counts.
    WallTimeMs acceptedAtMs = 0;
    /// Instances whose maintenance has been ordered and confirmed, or which no longer exist.
    std::set<std::string> finished;

    bool isCompleted() const { return finished.size() >= instances.size(); }
    MSGPACK_DEFINE_ARRAY(id, instances, durationMs, maxAtOnce, acceptedAtMs, finished)
};

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::RunOutcome)
MSGPACK_ADD_ENUM(dandelionloom::TaskPhase)
MSGPACK_ADD_ENUM(dandelionloom::JobPhase)
