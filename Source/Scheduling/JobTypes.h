#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

#include <msgpack.hpp>

#include "Model/EnumNames.h"
#include "Model/Time.h"

namespace dandelionloom {

inline constexpr double milliPerCore = 1000;

/// What a task asks of a worker.
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

inline bool fits(const TaskResources &need, const TaskResources &room)
{
    return need.processorMilli <= room.processorMilli && need.memoryMb <= room.memoryMb
            && need.accelerators <= room.accelerators;
}

/// A group of equal tasks of a job.
struct StepSpec
{
    std::uint32_t count = 1;
    TaskResources need;
    /// Rough run time of one task as the submitter declares it.
    std::int64_t estimateMs = 0;
    /// Numbers of earlier steps that must have ended first.
    std::vector<std::uint32_t> dependsOn;
    bool checkpointing = false;
    /// The tasks work only while all of them are present, and end together.
    bool gang = false;
    /// The tasks are slow when they are spread over racks.
    bool rackLocal = false;
    std::string requiredLabel;
    /// Rack of the input data; the tasks are slow elsewhere. Empty for none.
    std::string dataRack;
    /// Most tasks of the step on one worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    /// Copies of a task may run in parallel.
    bool speculative = false;
    /// The tasks run until the job is cancelled.
    bool lasting = false;
    std::string image;
    /// Latency target of a lasting task's own users; 0 for none.
    std::int64_t targetMs = 0;
    /// The tasks use processor time that others leave; their processors are not reserved.
    bool fills = false;
    /// Lasting tasks that the system may take away at once; 0 for no limit.
    std::uint32_t maxUnavailable = 0;

    MSGPACK_DEFINE_ARRAY(count, need, estimateMs, dependsOn, checkpointing, gang, rackLocal,
                         requiredLabel, dataRack, maxPerWorker, speculative, lasting, image,
                         targetMs, fills, maxUnavailable)
};

struct JobSpec
{
    /// Chosen by the client; a job that is sent twice under one id is one job.
    std::string id;
    std::string queue;
    /// Opaque to the scheduler; handed to each task.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Occurrences by time; 0 for a job that runs once, at once.
    std::uint32_t repeatCount = 0;
    WallTimeMs startAtMs = 0;
    std::int64_t intervalMs = 0;

    std::uint32_t occurrences() const { return repeatCount > 0 ? repeatCount : 1; }
    MSGPACK_DEFINE_ARRAY(id, queue, payload, steps, repeatCount, startAtMs, intervalMs)
};

struct TaskKey
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskKey &) const = default;
    bool operator<(const TaskKey &other) const
    {
        return std::tie(job, occurrence, step, index)
                < std::tie(other.job, other.occurrence, other.step, other.index);
    }
    MSGPACK_DEFINE_ARRAY(job, occurrence, step, index)
};

/// "job.occurrence.step.index"
std::string taskName(const TaskKey &task);

enum class TaskPhase { Pending, Assigned, Done };

/// How a run ended, as the worker lists it. The number is on disk: only append.
enum class RunEnd {
    Done,
    /// Through the task's own fault or the worker's.
    Failed,
    Stopped,
    /// The worker's lease ended.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not arrive in time.
    Alone,
    /// The worker is gone and its lease has surely ended.
    WorkerLost,
    /// The worker refused the start; the run never began.
    Refused
};
inline constexpr EnumNames<RunEnd, 8> runEndNames{
        {"done", "failed", "stopped", "lapsed", "broken", "alone", "worker-lost", "refused"}};

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
    /// 0 comes first.
    std::int64_t priority = 0;
    std::uint32_t maxAttempts = 1;
    /// Objective for a job: stretch times its longest chain of work, and the target more.
    double stretch = 1;
    std::int64_t targetLatencyMs = 0;
    /// Only the advice service knows which workers may run the queue's steps.
    bool needsAdvice = false;
    std::int64_t adviceValidMs = 0;

    MSGPACK_DEFINE_ARRAY(name, host, pathPrefix, service, timeoutMs, priority, maxAttempts, stretch,
                         targetLatencyMs, needsAdvice, adviceValidMs)
};

struct ServiceConfig
{
    std::string name;
    /// The workers refuse what does not fit; otherwise they start whatever they are told.
    bool guardsCapacity = true;
    /// The instances of the pool are off and cost nothing.
    bool standby = false;

    MSGPACK_DEFINE_ARRAY(name, guardsCapacity, standby)
};

struct FleetConfiguration
{
    std::uint64_t version = 0;
    std::vector<QueueConfig> queues;
    std::vector<ServiceConfig> services;
    /// The document as the operator sent it, for reading it back.
    std::string document;

    MSGPACK_DEFINE_ARRAY(version, queues, services, document)
};

/// What a worker says of itself.
struct WorkerRecord
{
    /// One life of an instance, unless the worker restarts under the same id.
    std::string id;
    /// Start of this life in milliseconds since 1970; tells two lives under one id apart.
    std::int64_t born = 0;
    std::string service;
    std::string address;
    std::string availabilityZone;
    std::string rack;
    std::vector<std::string> labels;
    TaskResources capacity;
    bool draining = false;

    MSGPACK_DEFINE_ARRAY(id, born, service, address, availabilityZone, rack, labels, capacity,
                         draining)
};

/// Maintenance of a set of instances.
struct MaintenanceWave
{
    std::uint64_t id = 0;
    std::vector<std::string> instances;
    std::int64_t durationMs = 0;
    std::uint32_t maxAtOnce = 1;
    /// When the wave was accepted; its duration counts from here.
    WallTimeMs acceptedAtMs = 0;
    /// Instances whose maintenance was ordered and confirmed, or which are gone.
    std::vector<std::string> finished;

    bool isCompleted() const { return finished.size() >= instances.size(); }
    MSGPACK_DEFINE_ARRAY(id, instances, durationMs, maxAtOnce, acceptedAtMs, finished)
};

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::RunEnd)
MSGPACK_ADD_ENUM(dandelionloom::TaskPhase)
MSGPACK_ADD_ENUM(dandelionloom::JobPhase)
