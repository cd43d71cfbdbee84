#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Scheduling/JobChanges.h"
#include "Scheduling/QueueIndex.h"
#include "Scheduling/TeamQuota.h"

namespace dandelionloom {

struct TaskRecord
{
    TaskPhase phase = TaskPhase::Pending;
    /// Number of the run that was assigned last; 0 before the first.
    std::uint32_t run = 0;
    /// Worker of the assigned run; empty without one.
    std::string worker;
    /// Number of failed runs.
    std::uint32_t failures = 0;
    /// Checkpoint from which the next run resumes; empty to start from the beginning.
    std::string checkpoint;

    MSGPACK_DEFINE_ARRAY(phase, run, worker, failures, checkpoint)
};

struct StepRecord
{
    std::vector<TaskRecord> tasks;
    std::uint32_t doneCount = 0;

    MSGPACK_DEFINE_ARRAY(tasks, doneCount)
};

struct OccurrenceRecord
{
    std::vector<StepRecord> steps;
    std::uint32_t stepsDone = 0;

    MSGPACK_DEFINE_ARRAY(steps, stepsDone)
};

struct JobRecord
{
    JobSpec spec;
    /// Configuration of the queue when the job was accepted.
    QueueConfig queue;
    WallTimeMs acceptedAtMs = 0;
    JobPhase phase = JobPhase::Active;
    /// Time at which the job left the active phase.
    WallTimeMs endedAtMs = 0;
    bool started = false;
    /// Number of currently assigned runs.
    std::uint32_t assignedCount = 0;
    std::vector<OccurrenceRecord> occurrences;

    /// True if none of the job's tasks can run any more, so that the record may be removed.
    bool isPurgeable() const { return phase != JobPhase::Active && assignedCount == 0; }
    MSGPACK_DEFINE_ARRAY(spec, queue, acceptedAtMs, phase, endedAtMs, started, assignedCount,
                         occurrences)
};

/// Replicated state of jobs, workers, maintenance and configuration. Applying the same changes in
/// the same order yields the same state on every instance; a change that no longer applies is
/// ignored.
class SchedulerState
{
public:
    void apply(const JobChange &change);
    /// Jobs that lost runs with a worker by the last change.
    const std::vector<JobId> &jobsWithLostRuns() const { return m_jobsWithLostRuns; }

    const FleetConfiguration &configuration() const { return m_configuration; }
    const std::unordered_map<JobId, JobRecord> &jobs() const { return m_jobs; }
    const JobRecord *job(const JobId &id) const;
    const TaskRecord *task(const TaskKey &key) const;
    const std::map<std::string, WorkerRecord> &workers() const { return m_workers; }
    const WorkerRecord *worker(const std::string &id) const;
    /// True if this incarnation of the worker, or a later one, is known to have ended.
    bool hasLeft(const std::string &id, std::int64_t startTimeMs) const;
    /// True if the leases of the recorded incarnation are not extended, see WorkerSilent.
    bool isSilent(const std::string &worker) const { return m_silentWorkers.contains(worker); }
    /// WorkerSilent::leaseLeftMs of the silent workers.
    const std::map<std::string, std::int64_t> &silentWorkers() const { return m_silentWorkers; }
    /// The last order for each instance, for InstanceOrderLog after a restart.
    const std::map<std::string, InstanceOrdered> &lastOrders() const { return m_lastOrders; }
    /// Longest lease that a leader requests, in milliseconds; 0 if none is recorded.
    std::int64_t leaseLimitMs() const { return m_leaseLimitMs; }
    const std::map<std::uint64_t, MaintenanceWave> &waves() const { return m_waves; }
    /// Tasks assigned to a worker.
    const std::set<TaskKey> &tasksOf(const std::string &worker) const;
    /// Resources that the team's assigned tasks take.
    const TaskResources &useOf(const std::string &team) const { return m_teamUse.of(team); }
    /// The part of it that long-running tasks take, which don't end by themselves.
    const TaskResources &lastingUseOf(const std::string &team) const
    {
        return m_lastingUse.of(team);
    }
    /// Quotas of the configuration in force, by team; without teams that have none.
    const std::map<std::string, TaskResources> &quotas() const { return m_quotas; }

    const QueueConfig *queue(const std::string &name) const;
    const ServiceConfig *service(const std::string &name) const;
    /// The queue for the host with the longest matching path prefix; null if there is none.
    const QueueConfig *queueFor(const std::string &host, const std::string &path) const;

    std::string encode() const;
    static Result<SchedulerState, JobChangeError> decode(const std::string &bytes);

    // Snapshots of earlier versions end before the later fields, which then stay empty.
    MSGPACK_DEFINE_ARRAY(m_configuration, m_jobs, m_workers, m_endedIncarnations, m_waves,
                         m_silentWorkers, m_leaseLimitMs, m_lastOrders)

private:
    void on(const ConfigurationAccepted &change);
    void on(const JobAccepted &change);
    void on(const JobCancelled &change);
    void on(const RunAssigned &change);
    void on(const RunEnded &change);
    void on(const WorkerJoined &change);
    void on(const WorkerLeft &change);
    void on(const JobPurged &change);
    void on(const WaveStarted &change);
    void on(const MaintenanceBegun &change);
    void on(const InstanceOrdered &change) { m_lastOrders[change.instance] = change; }
    void on(const WorkerSilent &change);
    void on(const WorkerAnswered &change);
    void on(const LeaseLimitSet &change) { m_leaseLimitMs = change.leaseMs; }

    TaskRecord *findTask(const TaskKey &key);
    void endRunsAsLost(const std::string &worker);
    void endRun(JobRecord &job, const RunEnded &change);
    /// Gives the members of a gang that wait one value, after the end of the run of one of them:
    /// its checkpoint if that is new, or else the one that the others have.
    static void shareCheckpoint(JobRecord &job, const TaskKey &key, bool isNew);
    void finishTask(JobRecord &job, const TaskKey &key, WallTimeMs atMs);
    /// Counts an assigned task of the step in the use of the job's team.
    void addUse(const JobRecord &job, std::uint32_t step);
    void removeUse(const JobRecord &job, std::uint32_t step);
    void indexConfiguration();

    FleetConfiguration m_configuration;
    // Derived from m_configuration and not stored.
    QueueIndex m_queueIndex;
    std::map<std::string, TaskResources> m_quotas;
    std::unordered_map<JobId, JobRecord> m_jobs;
    std::map<std::string, WorkerRecord> m_workers;
    /// Last ended incarnation of each worker that left, so that a delayed announcement does not add
    /// it again.
    std::map<std::string, std::int64_t> m_endedIncarnations;
    std::map<std::uint64_t, MaintenanceWave> m_waves;
    std::map<std::string, std::int64_t> m_silentWorkers;
    std::int64_t m_leaseLimitMs = 0;
    std::map<std::string, InstanceOrdered> m_lastOrders;
    /// Index of the assigned tasks by worker; derived from m_jobs and not stored.
    std::map<std::string, std::set<TaskKey>> m_tasksOfWorker;
    /// Use of the assigned tasks by team, and of the long-running ones among them; derived from
    /// m_jobs and not stored.
    TeamUse m_teamUse;
    TeamUse m_lastingUse;
    std::vector<JobId> m_jobsWithLostRuns;
};

} // namespace dandelionloom
