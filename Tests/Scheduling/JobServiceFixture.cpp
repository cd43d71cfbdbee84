#include "Scheduling/JobServiceFixture.h"

#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include <cppunit/TestAssert.h>

namespace dandelionloom::test {

namespace {

QueueConfig queueAt(const std::string &name, bool isPublic)
{
    QueueConfig queue;
    queue.name = name;
    queue.host = "h";
    queue.pathPrefix = "/" + name + "/";
    queue.service = "s";
    queue.timeoutMs = 3000;
    queue.stretch = 1.6;
    queue.targetLatencyMs = 600;
    queue.isPublic = isPublic;
    return queue;
}

JobCall callOf(JobCallKind kind, const std::string &path, const std::string &key)
{
    JobCall call;
    call.kind = kind;
    call.requestId = "test/1";
    call.host = "h";
    call.path = path;
    call.apiKey = key;
    return call;
}

/// Submits a job of one task of one core.
JobCall submissionOf(const std::string &path, const std::string &key, std::int64_t estimateMs)
{
    JobCall call = callOf(JobCallKind::Submit, path, key);
    StepSpec step;
    step.need = {1000, 100, 0};
    step.estimateMs = estimateMs;
    call.spec.steps = {step};
    return call;
}

} // namespace

class JobServiceFixture::FakeWorkers : public WorkerCalls
{
public:
    void renew(const RenewOrder &, std::uint64_t, RenewCallback done) override
    {
        if (!reachable) {
            done(CallFault::NotSent);
            return;
        }
        RenewAnswer answer;
        answer.clockMs = steadyTimeNow();
        answer.startTimeMs = 1;
        done(answer);
    }
    void start(const StartOrder &, std::uint64_t, OrderCallback done) override
    {
        done(CallFault::NotSent);
    }
    void stop(const StopOrder &, std::uint64_t, OrderCallback done) override
    {
        done(CallFault::NotSent);
    }
    void pace(const PaceOrder &, std::uint64_t, OrderCallback done) override
    {
        done(CallFault::NotSent);
    }
    void advise(const AdviceOrder &, AdviseCallback done) override { done(std::nullopt); }

    /// The workers answer renewals; they start nothing.
    bool reachable = false;
};

class JobServiceFixture::UnreachableProvider : public InstanceProvider
{
public:
    void list(ListCallback done) override
    {
        if (instances.empty()) {
            done(InstanceFault::NotSent);
        } else {
            done(instances);
        }
    }
    void beginMaintenance(const std::string &, std::uint64_t, const OrderAuthority &,
                          OrderCallback done) override
    {
        done(InstanceFault::NotSent);
    }
    void move(const std::string &, const std::string &, const OrderAuthority &,
              OrderCallback done) override
    {
        done(InstanceFault::NotSent);
    }

    std::vector<ListedInstance> instances;
};

void MetricTotals::count(const std::string &name, const std::string &labels, double amount)
{
    const std::lock_guard lock(m_mutex);
    m_totals[name + "{" + labels + "}"] += amount;
}

void MetricTotals::observe(const std::string &name, const std::string &labels, double)
{
    count(name, labels, 1);
}

double MetricTotals::total(const std::string &name, const std::string &labels) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_totals.find(name + "{" + labels + "}");
    return found == m_totals.end() ? 0 : found->second;
}

JobServiceFixture::JobServiceFixture(const std::string &snapshot)
    : m_logDescriptor(
            ::open((m_folder.path() + "/log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600)),
      m_log("a", m_logDescriptor), m_transport(m_network.transport("a")),
      m_workers(std::make_unique<FakeWorkers>()),
      m_provider(std::make_unique<UnreachableProvider>())
{
    JobServiceOptions serviceOptions;
    serviceOptions.name = "a";
    // Longer than a test takes on a busy machine, so that no job leaves the window meanwhile.
    serviceOptions.shares.windowMs = 60000;
    m_service = std::make_unique<JobService>(m_loop, serviceOptions, m_log, metrics, *m_workers,
                                             *m_provider);
    JournalOptions options;
    options.name = "a";
    options.initialVoters = {"a"};
    options.mayBootstrap = true;
    options.targetVoters = 1;
    JournalEvents events;
    events.committed = [this](std::vector<LogEntry> entries) {
        m_loop.post([this, entries = std::move(entries)] { m_service->onCommitted(entries); });
    };
    events.restored = [](std::uint64_t, const std::string &) {};
    events.status = [this](const JournalStatus &status) {
        m_loop.post([this, status] {
            m_status = status;
            m_service->onStatus(status);
        });
    };
    events.snapshotRequested = [] {};
    events.failed = [](const std::string &) {};
    m_journal =
            std::make_unique<ReplicatedJournal>(options, m_storage, *m_transport, m_events, events);
    m_service->setJournal(*m_journal);
    m_loop.start();
    m_loop.runAndWait([&] {
        if (!snapshot.empty()) {
            m_service->onRestored(0, snapshot);
        }
        m_service->start();
    });
    CPPUNIT_ASSERT(isOk(m_journal->open()));
    m_network.setUp("a", true);
    m_journal->start();
    waitUntilLeads();
}

JobServiceFixture::~JobServiceFixture()
{
    m_journal->stop();
    m_loop.runAndWait([this] { m_service.reset(); });
    m_loop.stop();
    m_log.flush();
    ::close(m_logDescriptor);
}

void JobServiceFixture::waitUntilLeads()
{
    const SteadyTimeMs end = steadyTimeNow() + 20000;
    bool leads = false;
    while (!leads && steadyTimeNow() < end) {
        m_loop.runAndWait([&] { leads = m_service->leads(); });
    }
    CPPUNIT_ASSERT(leads);
}

JobCallAnswer JobServiceFixture::call(const JobCall &call)
{
    // Shared, as a late answer may arrive after the test has failed.
    const auto answer = std::make_shared<std::optional<JobCallAnswer>>();
    m_loop.post([this, call, answer] {
        m_service->handle(call, [this, answer](JobCallAnswer received) {
            m_signal.change([&] { *answer = std::move(received); });
        });
    });
    CPPUNIT_ASSERT(m_signal.waitFor([&] { return answer->has_value(); }));
    return **answer;
}

JobCallAnswer JobServiceFixture::submit(const std::string &path, const std::string &key,
                                        std::int64_t estimateMs)
{
    return call(submissionOf(path, key, estimateMs));
}

std::optional<JobCallAnswer> JobServiceFixture::answerWithinSubmit(const std::string &path,
                                                                   const std::string &key,
                                                                   std::int64_t estimateMs)
{
    // Shared, as an accepted job is answered after this function has returned.
    const auto answer = std::make_shared<std::optional<JobCallAnswer>>();
    std::optional<JobCallAnswer> withinCall;
    m_loop.runAndWait([&] {
        m_service->handle(submissionOf(path, key, estimateMs),
                          [answer](JobCallAnswer received) { *answer = std::move(received); });
        withinCall = *answer;
    });
    return withinCall;
}

JobCallAnswer JobServiceFixture::status(const std::string &path, const std::string &key)
{
    return call(callOf(JobCallKind::Status, path, key));
}

JobCallAnswer JobServiceFixture::cancel(const std::string &path, const std::string &key)
{
    return call(callOf(JobCallKind::Cancel, path, key));
}

JobCallAnswer JobServiceFixture::configure(const FleetConfiguration &configuration)
{
    JobCall change = callOf(JobCallKind::ChangeConfiguration, {}, {});
    change.configuration = configuration;
    return call(change);
}

void JobServiceFixture::addWorker(bool reachable)
{
    JobCall announced = callOf(JobCallKind::AnnounceWorker, {}, {});
    announced.worker.id = "w1";
    announced.worker.startTimeMs = 1;
    announced.worker.service = "s";
    announced.worker.address = "127.0.0.1:1";
    announced.worker.availabilityZone = "z";
    announced.worker.capacity = {1000, 100000, 0};
    announced.sequence = 1;
    CPPUNIT_ASSERT(call(announced).outcome == JobCallOutcome::Done);
    m_loop.runAndWait([this, &announced, reachable] {
        m_workers->reachable = reachable;
        ListedInstance instance;
        instance.instance = "i1";
        instance.pool = "s";
        instance.worker = "w1";
        instance.capacity = announced.worker.capacity;
        m_provider->instances = {instance};
    });
    // A new leader lists the instances at once.
    leadAgain();
}

void JobServiceFixture::read(const std::function<void(const SchedulerState &)> &reader)
{
    m_loop.runAndWait([&] { reader(m_service->book()); });
}

void JobServiceFixture::leadAgain()
{
    m_loop.runAndWait([this] {
        JournalStatus lost = m_status;
        lost.isLeader = false;
        m_service->onStatus(lost);
        m_service->onStatus(m_status);
    });
    waitUntilLeads();
}

std::string JobServiceFixture::logged()
{
    m_log.flush();
    std::ifstream file(m_folder.path() + "/log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

FleetConfiguration configurationWithTeams()
{
    FleetConfiguration configuration;
    configuration.version = 1;
    configuration.queues = {queueAt("q", false), queueAt("open", true)};
    configuration.services = {{"s", true, false}};
    configuration.requiresKeys = true;
    configuration.teams = {{"large", {"l1-secret", "l2-secret"}, 20, {}},
                           {"small", {"s1-secret"}, 1, {}}};
    return configuration;
}

} // namespace dandelionloom::test
