#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Model/Result.h"
#include "Scheduling/JobTypes.h"

namespace dandelionloom {

// Records of the job journal. A record's size depends only on what it changes; one journal entry
// contains many records.

struct ConfigurationAccepted
{
    FleetConfiguration configuration;
    MSGPACK_DEFINE_ARRAY(configuration)
};

struct JobAccepted
{
    JobSpec spec;
    /// Configuration of the queue when the job was accepted. The job keeps it even if the queue is
    /// removed.
    QueueConfig queue;
    WallTimeMs atMs = 0;
    MSGPACK_DEFINE_ARRAY(spec, queue, atMs)
};

struct JobCancelled
{
    std::string job;
    WallTimeMs atMs = 0;
    MSGPACK_DEFINE_ARRAY(job, atMs)
};

/// Recorded before the start is sent, so that a new leader knows where each task may be running.
struct RunAssigned
{
    TaskKey task;
    std::uint32_t run = 0;
    std::string worker;
    MSGPACK_DEFINE_ARRAY(task, run, worker)
};

struct RunEnded
{
    TaskKey task;
    std::uint32_t run = 0;
    RunOutcome runOutcome = RunOutcome::Done;
    std::string checkpoint;
    WallTimeMs atMs = 0;
    MSGPACK_DEFINE_ARRAY(task, run, runOutcome, checkpoint, atMs)
};

struct WorkerJoined
{
    WorkerRecord worker;
    MSGPACK_DEFINE_ARRAY(worker)
};

struct WorkerLeft
{
    std::string worker;
    std::int64_t startTimeMs = 0;
    MSGPACK_DEFINE_ARRAY(worker, startTimeMs)
};

struct JobPurged
{
    std::string job;
    MSGPACK_DEFINE_ARRAY(job)
};

struct WaveStarted
{
    MaintenanceWave wave;
    MSGPACK_DEFINE_ARRAY(wave)
};

/// Maintenance of an instance has begun, or the instance no longer exists.
struct MaintenanceBegun
{
    std::uint64_t wave = 0;
    std::string instance;
    MSGPACK_DEFINE_ARRAY(wave, instance)
};

/// Recorded before an order for an instance is sent to its provider.
struct InstanceOrdered
{
    std::string instance;
    std::uint64_t term = 0;
    /// Worker that ran on the instance; empty for none. A different worker on the instance shows
    /// that the order was carried out.
    std::string worker;
    MSGPACK_DEFINE_ARRAY(instance, term, worker)
};

/// The worker leaves renewals unanswered. Its leases are not extended between this record and the
/// next WorkerAnswered, by any leader, so that each leader knows when they have ended.
struct WorkerSilent
{
    std::string worker;
    std::int64_t startTimeMs = 0;
    /// Longest time in milliseconds, from the proposal of the record, for which the worker may hold
    /// a lease.
    std::int64_t leaseLeftMs = 0;
    MSGPACK_DEFINE_ARRAY(worker, startTimeMs, leaseLeftMs)
};

/// The worker answers again; its leases may be extended from this record on.
struct WorkerAnswered
{
    std::string worker;
    std::int64_t startTimeMs = 0;
    MSGPACK_DEFINE_ARRAY(worker, startTimeMs)
};

/// From this record on, no leader requests leases for longer. Recorded before longer ones are
/// requested, and lowered once those have ended.
struct LeaseLimitSet
{
    std::int64_t leaseMs = 0;
    MSGPACK_DEFINE_ARRAY(leaseMs)
};

/// The index is stored on disk: new alternatives must be appended.
using JobChange =
        std::variant<ConfigurationAccepted, JobAccepted, JobCancelled, RunAssigned, RunEnded,
                     WorkerJoined, WorkerLeft, JobPurged, WaveStarted, MaintenanceBegun,
                     InstanceOrdered, WorkerSilent, WorkerAnswered, LeaseLimitSet>;

struct JobChangeError
{
    std::string message;
};

std::string encodeChanges(const std::vector<JobChange> &changes);
/// Returns an error for malformed or truncated records and for an unknown record type.
Result<std::vector<JobChange>, JobChangeError> decodeChanges(const std::string &bytes);

} // namespace dandelionloom
