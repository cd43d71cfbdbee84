#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Adapters/Logging/JsonLineLog.h"
#include "Adapters/Peers/EventLoop.h"
#include "Ports/InstanceCalls.h"
#include "Ports/MetricSink.h"
#include "Ports/WorkerCalls.h"
#include "Runtime/JobCalls.h"
#include "Runtime/ReplicatedJournal.h"
#include "Scheduling/Dispatcher.h"
#include "Scheduling/MaintenancePlanner.h"
#include "Scheduling/PoolBalancer.h"

namespace dandelionloom {

struct JobServiceOptions
{
    /// Own name, as peers call it, and as the holder of orders for instances.
    std::string name;
    /// Orders of two leaders for one instance must be this far apart.
    std::int64_t orderPauseMs = 4000;
    DispatchRules dispatch;
    MaintenanceRules maintenance;
    BalanceRules balance;
};

/// The part of a control instance between the journal and the outside: applies committed changes,
/// and while it leads answers calls, runs the dispatcher and carries out its orders. Used on the
/// event loop's thread only.
class JobService
{
public:
    JobService(EventLoop &loop, JobServiceOptions options, JsonLineLog &log, MetricSink &metrics,
               WorkerCalls &workers, InstanceCalls &instances);
    ~JobService();
    JobService(const JobService &) = delete;
    JobService &operator=(const JobService &) = delete;

    /// Must be called before anything else; the journal must outlive the service.
    void setJournal(ReplicatedJournal &journal) { m_journal = &journal; }
    void start();

    // Events of the journal, already on the loop's thread.
    void onCommitted(const std::vector<LogEntry> &entries);
    void onRestored(std::uint64_t index, const std::string &state);
    void onStatus(const JournalStatus &status);
    void onSnapshotWanted();

    /// Answers a call. `reply` may run later; it runs once.
    void handle(const JobCall &call, JobReply reply);
    LocateAnswer locate() const;
    /// True while this instance leads, has applied its predecessors' changes, and its lease holds.
    bool leads() const;
    const std::string &leader() const { return m_status.leader; }
    const JobBook &book() const { return m_book; }

private:
    struct Waiter
    {
        JobCallAnswer answer;
        JobReply reply;
    };

    /// Active for a job that is not known.
    JobPhase phaseOf(const std::string &job) const;
    void apply(const JobChange &change);
    void answerWaiters(const JobChange &change);
    void answerWaiters(const std::string &key);
    void becomeLeader();
    void stepDown();
    void propose(std::vector<JobChange> changes);
    void scheduleFlush();
    void flush();
    void step();
    void scheduleTick();
    void scheduleList();
    void listInstances();
    /// A reading tells whether the worker of an ordered instance has ended.
    void listAfterOrder();
    void carryOut(DispatchOrders orders);
    void carryOut(const MaintenanceOrders &orders);
    void carryOut(const BalanceOrders &orders);
    void recordOrder(const std::string &instance, const std::string &worker,
                     std::function<void(bool)> send);
    void writeNotes(const std::vector<DispatchNote> &notes);

    void submit(const JobCall &call, const JobReply &reply);
    void status(const JobCall &call, const JobReply &reply);
    void cancel(const JobCall &call, const JobReply &reply);
    void readConfiguration(const JobReply &reply);
    void changeConfiguration(const JobCall &call, const JobReply &reply);
    void announceWorker(const JobCall &call, const JobReply &reply);
    void workerLeaves(const JobCall &call, const JobReply &reply);
    void startWave(const JobCall &call, const JobReply &reply);
    void waveState(const JobCall &call, const JobReply &reply);
    void wait(const std::string &key, JobCallAnswer answer, const JobReply &reply);

    EventLoop &m_loop;
    const JobServiceOptions m_options;
    JsonLineLog &m_log;
    MetricSink &m_metrics;
    WorkerCalls &m_workers;
    InstanceCalls &m_instances;
    ReplicatedJournal *m_journal = nullptr;
    std::shared_ptr<JobService *> m_alive;

    JobBook m_book;
    Dispatcher m_dispatcher;
    InstanceOrderLog m_orderLog;
    MaintenancePlanner m_maintenance;
    PoolBalancer m_balancer;
    JournalStatus m_status;
    std::uint64_t m_appliedIndex = 0;
    /// Term whose first entry was applied here.
    std::uint64_t m_appliedTerm = 0;
    bool m_leading = false;
    std::vector<JobChange> m_outgoing;
    bool m_flushScheduled = false;
    SteadyTimeMs m_nextStep = 0;
    bool m_stepScheduled = false;
    SteadyTimeMs m_nextMaintenance = 0;
    bool m_listing = false;
    std::multimap<std::string, Waiter> m_waiters;
    /// Orders by instance that wait for their record. Called with false if the lease was lost
    /// meanwhile and the order must not be given.
    std::map<std::string, std::function<void(bool)>> m_recordedOrders;
};

} // namespace dandelionloom
