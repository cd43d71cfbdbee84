#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Scheduling/JobChanges.h"

namespace dandelionloom {

struct TaskRecord
{
    TaskPhase phase = TaskPhase::Pending;
    /// Number of the last run that was assigned; 0 before the first.
    std::uint32_t run = 0;
    /// Worker of an assigned run.
    std::string worker;
    /// Runs that ended as failed.
    std::uint32_t failures = 0;
    /// Where the next run resumes; empty for the beginning.
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
    /// The queue as it was at the acceptance.
    QueueConfig queue;
    WallTimeMs acceptedAtMs = 0;
    JobPhase phase = JobPhase::Active;
    /// When it left the active phase.
    WallTimeMs endedAtMs = 0;
    bool started = false;
    /// Runs that are assigned now.
    std::uint32_t assignedCount = 0;
    std::vector<OccurrenceRecord> occurrences;

    /// A record leaves memory only once nothing of it can run any more.
    bool isSettled() const { return phase != JobPhase::Active && assignedCount == 0; }
    MSGPACK_DEFINE_ARRAY(spec, queue, acceptedAtMs, phase, endedAtMs, started, assignedCount,
                         occurrences)
};

/// The agreed state of jobs, workers, maintenance and configuration. Applying the same changes in
/// the same order gives the same book on every instance; a change that no longer fits is ignored.
class JobBook
{
public:
    void apply(const JobChange &change);

    const FleetConfiguration &configuration() const { return m_configuration; }
    const std::map<std::string, JobRecord> &jobs() const { return m_jobs; }
    const JobRecord *job(const std::string &id) const;
    const TaskRecord *task(const TaskKey &key) const;
    const std::map<std::string, WorkerRecord> &workers() const { return m_workers; }
    const WorkerRecord *worker(const std::string &id) const;
    /// True if the life of a worker is known to have ended.
    bool hasLeft(const std::string &id, std::int64_t born) const;
    const std::map<std::uint64_t, MaintenanceWave> &waves() const { return m_waves; }
    /// Tasks that are assigned to a worker.
    const std::set<TaskKey> &tasksOf(const std::string &worker) const;

    const QueueConfig *queue(const std::string &name) const;
    const ServiceConfig *service(const std::string &name) const;
    /// The queue with the host and the longest prefix of the path.
    const QueueConfig *queueFor(const std::string &host, const std::string &path) const;

    std::string encode() const;
    static Result<JobBook, JobChangeError> decode(const std::string &bytes);

    MSGPACK_DEFINE_ARRAY(m_configuration, m_jobs, m_workers, m_left, m_waves)

private:
    void on(const ConfigurationAccepted &change);
    void on(const JobAccepted &change);
    void on(const JobCancelled &change);
    void on(const RunAssigned &change);
    void on(const RunEnded &change);
    void on(const WorkerJoined &change);
    void on(const WorkerLeft &change);
    void on(const JobForgotten &change);
    void on(const WaveStarted &change);
    void on(const MaintenanceBegun &change);
    /// Kept by InstanceOrderLog, as it is needed for seconds only.
    void on(const InstanceOrdered &) { }

    TaskRecord *findTask(const TaskKey &key);
    void loseRunsOf(const std::string &worker);
    void endRun(JobRecord &job, const RunEnded &change);
    void finishTask(JobRecord &job, const TaskKey &key, WallTimeMs atMs);

    FleetConfiguration m_configuration;
    std::map<std::string, JobRecord> m_jobs;
    std::map<std::string, WorkerRecord> m_workers;
    /// Last ended life of each worker that left: a delayed announcement must not revive it.
    std::map<std::string, std::int64_t> m_left;
    std::map<std::uint64_t, MaintenanceWave> m_waves;
    /// Derived from the jobs.
    std::map<std::string, std::set<TaskKey>> m_tasksOfWorker;
};

} // namespace dandelionloom
