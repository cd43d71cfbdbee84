#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>

#include "Adapters/Metrics/PrometheusMetrics.h"
#include "Adapters/Peers/PeerSockets.h"
#include "Peers/PeerSupport.h"
#include "Program/ControlInstance.h"
#include "Support/TemporaryFolder.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

/// Times that each renewal and each of its answers take of the event loop, as on an instance with a
/// slow processor.
struct WorkerCosts
{
    int workers = 0;
    std::int64_t renewalMs = 0;
    std::int64_t answerMs = 0;
};
constexpr Milliseconds callTimeout{2000};

class NoJobProtocol : public JobProtocol
{
public:
    std::variant<TimedJobCall, HttpResponse> decode(const HttpRequest &) override
    {
        return HttpResponse{404, {}, {}};
    }
    HttpResponse encode(const JobCall &, const JobCallAnswer &) override { return {404, {}, {}}; }
};

class NoInstanceProvider : public InstanceProvider
{
public:
    void list(ListCallback done) override { done(InstanceFault::NotSent); }
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
};

/// Times that the workers measure, in milliseconds of the steady clock.
struct Measured
{
    std::atomic<std::int64_t> renewing{0};
    std::atomic<int> started{0};
    /// Longest time from one renewal to the next, of any worker, once all tasks run.
    std::atomic<std::int64_t> longestGap{0};
    int callsAnswered = 0;
    /// Lines that the control instance has logged.
    std::string log;
};

void spin(std::int64_t milliseconds)
{
    const SteadyTimeMs begin = steadyTimeNow();
    while (steadyTimeNow() - begin < milliseconds) { }
}

/// Workers that run each task for good, and whose renewals are answered at once but cost time.
class SlowWorkers : public WorkerCalls
{
public:
    SlowWorkers(EventLoop &loop, WorkerCosts costs, Measured &measured)
        : m_loop(loop), m_costs(costs), m_measured(measured)
    { }

    void renew(const RenewOrder &order, std::uint64_t, RenewCallback done) override
    {
        spin(m_costs.renewalMs);
        m_measured.renewing += m_costs.renewalMs;
        const SteadyTimeMs now = steadyTimeNow();
        if (m_lastRenewalAt != 0 && isSlow()) {
            m_measured.longestGap =
                    std::max<std::int64_t>(m_measured.longestGap, now - m_lastRenewalAt);
        }
        m_lastRenewalAt = now;
        RenewAnswer answer;
        answer.clockMs = steadyTimeNow();
        answer.startTimeMs = 1;
        for (const auto &[task, run] : m_running[order.worker]) {
            answer.running.push_back({task, run, {}, 100, 10});
        }
        m_loop.post([done = std::move(done), answer, cost = isSlow() ? m_costs.answerMs : 0] {
            spin(cost);
            done(answer);
        });
    }
    void start(const StartOrder &order, std::uint64_t, OrderCallback done) override
    {
        m_running[order.worker].emplace(order.task, order.run);
        ++m_measured.started;
        m_loop.post([done = std::move(done)] { done(std::nullopt); });
    }
    void stop(const StopOrder &, std::uint64_t, OrderCallback done) override { done(std::nullopt); }
    void pace(const PaceOrder &, std::uint64_t, OrderCallback done) override { done(std::nullopt); }
    void advise(const AdviceOrder &, AdviseCallback done) override { done(std::nullopt); }

private:
    /// Answers take their time once all tasks run.
    bool isSlow() const { return m_measured.started == m_costs.workers; }

    EventLoop &m_loop;
    const WorkerCosts m_costs;
    Measured &m_measured;
    SteadyTimeMs m_lastRenewalAt = 0;
    std::map<std::string, std::map<TaskKey, std::uint32_t>> m_running;
};

struct LogFile
{
    explicit LogFile(std::string filePath)
        : path(std::move(filePath)),
          descriptor(::open(path.c_str(), O_CREAT | O_WRONLY, S_IRUSR | S_IWUSR))
    {
        CPPUNIT_ASSERT(descriptor >= 0);
    }
    ~LogFile() { ::close(descriptor); }
    LogFile(const LogFile &) = delete;
    LogFile &operator=(const LogFile &) = delete;

    std::string read() const
    {
        std::ifstream lines(path);
        return {std::istreambuf_iterator<char>(lines), std::istreambuf_iterator<char>()};
    }

    const std::string path;
    const int descriptor;
};

std::uint16_t freePort()
{
    const auto listener = listenOn(*parseSocketAddress("127.0.1.1:0"));
    CPPUNIT_ASSERT(isOk(listener));
    const std::uint16_t port = portOf(localAddress(valueOf(listener)));
    ::close(valueOf(listener));
    return port;
}

JobCall configuration()
{
    JobCall call;
    call.kind = JobCallKind::ChangeConfiguration;
    call.configuration.version = 1;
    call.configuration.services.push_back({"pricing", true, false});
    QueueConfig queue;
    queue.name = "quotes";
    queue.host = "host";
    queue.pathPrefix = "/quotes/";
    queue.service = "pricing";
    call.configuration.queues.push_back(queue);
    return call;
}

JobCall announcement(int worker)
{
    JobCall call;
    call.kind = JobCallKind::AnnounceWorker;
    call.worker.id = "w" + std::to_string(worker);
    call.worker.startTimeMs = 1;
    call.worker.service = "pricing";
    call.worker.address = "10.0.0." + std::to_string(worker + 1) + ":80";
    call.worker.capacity = {16000, 65536, 0};
    call.sequence = 1;
    return call;
}

JobCall submission(int workerCount)
{
    JobCall call;
    call.kind = JobCallKind::Submit;
    call.host = "host";
    call.path = "/quotes/a";
    StepSpec step;
    step.count = static_cast<std::uint32_t>(workerCount);
    step.need = {1000, 512, 0};
    step.longRunning = true;
    step.maxPerWorker = 1;
    call.spec.steps.push_back(step);
    return call;
}

} // namespace

class SlowStepsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlowStepsTest);
    CPPUNIT_TEST(noIdlePause);
    CPPUNIT_TEST(stepsAmongAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a leader that stands idle after a long step while work waits
    /// (chamdakam-loom-large scale-1: it paused for three quarters of its time, and jobs began
    /// after 5.7 s). Calls must still be answered between the steps.
    void noIdlePause()
    {
        // A step that renews all workers takes 30 ms.
        Measured measured;
        const auto share = playFor2Seconds({10, 3, 0}, measured);
        std::cout << " " << share << " of the time in renewals";
        CPPUNIT_ASSERT(share > 0.5);
        CPPUNIT_ASSERT(measured.callsAnswered >= 10);
    }

    /// Guards against a leader that places nothing until it has handled all answers that have
    /// arrived (chamdakam-loom-large scale-2: 1.7 s from one step to the next, while workers stood
    /// idle and budgets were judged by views of that age), and against a log that doesn't tell why
    /// calls of such a leader end late.
    void stepsAmongAnswers()
    {
        // The answers of all workers take 0.6 s.
        Measured measured;
        playFor2Seconds({100, 0, 6}, measured);
        std::cout << " longest gap " << measured.longestGap << " ms";
        CPPUNIT_ASSERT(measured.longestGap > 0);
        CPPUNIT_ASSERT(measured.longestGap < 300);
        CPPUNIT_ASSERT(measured.callsAnswered >= 2);
        CPPUNIT_ASSERT(measured.log.find("\"loop-late\"") != std::string::npos);
    }

private:
    /// Runs one control instance with such workers. Returns the share of the time in renewals.
    static double playFor2Seconds(const WorkerCosts &costs, Measured &measured)
    {
        TemporaryFolder folder;
        NoJobProtocol protocol;
        const LogFile logFile(folder.path() + "/control.log");
        JsonLineLog log{"control", logFile.descriptor};
        ControlSettings settings;
        settings.peers.name = "127.0.1.1";
        settings.peers.availabilityZone = "zone";
        settings.peers.controlPort = freePort();
        settings.peers.ownPort = settings.peers.controlPort;
        settings.peers.controlInstances = {settings.peers.name};
        settings.controlAddress = "127.0.1.1:" + std::to_string(freePort());
        settings.metricsAddress = "127.0.1.1:" + std::to_string(freePort());
        settings.dataFolder = folder.path() + "/data";
        settings.bootstrap = true;
        settings.toleratedFailures = 0;
        settings.service.name = settings.peers.name;
        ControlInstance instance(settings, protocol, log, [](const std::string &) {});
        CPPUNIT_ASSERT(isOk(instance.start([&](EventLoop &loop) {
            return OutgoingClients{std::make_unique<SlowWorkers>(loop, costs, measured),
                                   std::make_unique<NoInstanceProvider>()};
        })));
        PeerNetworkSettings caller = settings.peers;
        caller.name = "127.0.1.200";
        PrometheusMetrics metrics;
        Http2PeerTransport transport(peerIdentity(caller), caller.name + ":0",
                                     {controlAddress(settings.peers, settings.peers.name)},
                                     peerTransportOptions(), log, metrics);
        CPPUNIT_ASSERT(isOk(transport.start()));
        callUntilDone(transport, configuration());
        for (int worker = 0; worker < costs.workers; ++worker) {
            callUntilDone(transport, announcement(worker));
        }
        callUntilDone(transport, submission(costs.workers));
        const SteadyTimeMs limit = steadyTimeNow() + 20000;
        while (measured.started < costs.workers) {
            CPPUNIT_ASSERT(steadyTimeNow() < limit);
            callUntilDone(transport, announcement(0));
        }
        // Answered calls mark the time, and show that they are answered between the steps.
        const SteadyTimeMs begin = steadyTimeNow();
        const std::int64_t before = measured.renewing;
        while (steadyTimeNow() - begin < 2000) {
            callUntilDone(transport, announcement(0));
            ++measured.callsAnswered;
        }
        const auto share = static_cast<double>(measured.renewing - before)
                / static_cast<double>(steadyTimeNow() - begin);
        std::cout << " " << measured.callsAnswered << " calls answered,";
        transport.stop();
        log.flush();
        log.flush();
        measured.log = logFile.read();
        return share;
    }

    /// Repeats the call until the leader has carried it out.
    static void callUntilDone(PeerTransport &transport, const JobCall &call)
    {
        const SteadyTimeMs limit = steadyTimeNow() + 20000;
        JobCallOutcome outcome = JobCallOutcome::NotLeader;
        while (outcome != JobCallOutcome::Done) {
            CPPUNIT_ASSERT(steadyTimeNow() < limit);
            Signal signal;
            bool answered = false;
            transport.call("127.0.1.1", PeerMessageKind::JobCall, packMessage(call), callTimeout,
                           [&](const PeerResult &result) {
                               signal.change([&] {
                                   answered = true;
                                   if (isOk(result)) {
                                       const auto answer =
                                               unpackMessage<JobCallAnswer>(valueOf(result));
                                       outcome = isOk(answer) ? valueOf(answer).outcome : outcome;
                                   }
                               });
                           });
            CPPUNIT_ASSERT(signal.waitFor([&] { return answered; }));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowStepsTest);
