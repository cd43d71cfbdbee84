#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Adapters/Logging/JsonLineLog.h"
#include "Consensus/FakePeerNetwork.h"
#include "Consensus/MemoryLogStorage.h"
#include "Peers/PeerSupport.h"
#include "Runtime/JobService.h"
#include "Support/TemporaryFolder.h"

namespace dandelionloom::test {

/// Sums of the counters and numbers of the observations. Thread-safe.
class MetricTotals : public MetricSink
{
public:
    void count(const std::string &name, const std::string &labels, double amount) override;
    void gauge(const std::string &, const std::string &, double) override { }
    void observe(const std::string &name, const std::string &labels, double value) override;

    /// 0 for a metric without any value.
    double total(const std::string &name, const std::string &labels) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, double> m_totals;
};

/// The only control instance of a deployment. Its provider carries out no orders.
class JobServiceFixture
{
public:
    /// `snapshot` is a state to restore before the instance leads; empty for none.
    explicit JobServiceFixture(const std::string &snapshot = {});
    ~JobServiceFixture();

    /// Waits for the answer. Fails the test if there is none.
    JobCallAnswer call(const JobCall &call);
    /// Calls of queue "q" at "h/q/", and of "open" at "h/open/".
    /// Submits a job of one task of one core.
    JobCallAnswer submit(const std::string &path, const std::string &key,
                         std::int64_t estimateMs = 500);
    /// The same without waiting: none if the answer is not given within the call.
    std::optional<JobCallAnswer> answerWithinSubmit(const std::string &path, const std::string &key,
                                                    std::int64_t estimateMs = 500);
    JobCallAnswer status(const std::string &path, const std::string &key);
    JobCallAnswer cancel(const std::string &path, const std::string &key);
    JobCallAnswer configure(const FleetConfiguration &configuration);
    /// Runs the function on the event loop with the state applied here.
    void read(const std::function<void(const SchedulerState &)> &reader);
    /// Lets a worker of one core of service "s" join, and the provider list its instance. Only a
    /// reachable worker gets tasks.
    void addWorker(bool reachable);
    /// Ends the leadership and begins a new one.
    void leadAgain();
    /// The lines logged so far.
    std::string logged();

    MetricTotals metrics;

private:
    class FakeWorkers;
    class UnreachableProvider;

    void waitUntilLeads();

    TemporaryFolder m_folder;
    int m_logDescriptor;
    JsonLineLog m_log;
    LogRecorder m_events;
    FakePeerNetwork m_network;
    MemoryLogStorage m_storage{"a"};
    std::unique_ptr<PeerTransport> m_transport;
    EventLoop m_loop;
    std::unique_ptr<FakeWorkers> m_workers;
    std::unique_ptr<UnreachableProvider> m_provider;
    std::unique_ptr<JobService> m_service;
    std::unique_ptr<ReplicatedJournal> m_journal;
    JournalStatus m_status;
    Signal m_signal;
};

/// Version 1 with the private queue "q" and the public queue "open" of service "s", the team
/// "large" with the keys l1 and l2 and a weight of 20, and the team "small" with s1 and 1.
FleetConfiguration configurationWithTeams();

} // namespace dandelionloom::test
