// Measures the processor time of five control instances under load, with simulated workers:
// measureControl [WORKERS] [JOBS_PER_SECOND] [SECONDS]
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "Program/ControlInstance.h"

using namespace dandelionloom;

namespace {

constexpr int instanceCount = 5;
constexpr int serviceCount = 4;
constexpr std::uint32_t tasksPerStep = 8;
constexpr std::int64_t taskMs = 540;
constexpr std::int64_t taskMilli = 2200;
constexpr std::uint16_t peerPort = 29711;
constexpr std::uint16_t callPort = 29712;
constexpr std::uint16_t metricsPort = 29713;
/// Workers announce themselves at this interval.
constexpr std::int64_t announceMs = 1500;

std::string addressOf(int index)
{
    return "127.0.3." + std::to_string(index + 1);
}

std::string zoneOf(int index)
{
    return "zone" + std::to_string(index % instanceCount);
}

PeerNetworkSettings peersOf(int index)
{
    PeerNetworkSettings peers;
    peers.name = addressOf(index);
    peers.availabilityZone = zoneOf(index);
    peers.controlPort = peerPort;
    peers.ownPort = peerPort;
    for (int seed = 0; seed < 3; ++seed) {
        peers.controlInstances.push_back(addressOf(seed));
    }
    return peers;
}

/// Workers that run each task for a fixed time. A worker exists in the process through which it is
/// called; relays keep their workers while none of them fails.
class SimulatedWorkers : public WorkerCalls
{
public:
    explicit SimulatedWorkers(EventLoop &loop) : m_loop(loop) { }

    void renew(const RenewOrder &order, std::uint64_t, RenewCallback done) override
    {
        Worker &worker = m_workers[order.worker];
        std::erase_if(worker.ended,
                      [&](const EndedRun &end) { return end.number <= order.ackCursor; });
        worker.renewal = std::move(done);
        const std::uint64_t number = ++worker.renewals;
        if (order.waitMs == 0 || !worker.ended.empty()) {
            answer(worker);
            return;
        }
        m_loop.startTimer(Milliseconds(order.waitMs), [this, number, id = order.worker] {
            if (m_workers[id].renewals == number) {
                answer(m_workers[id]);
            }
        });
    }
    void start(const StartOrder &order, std::uint64_t, OrderCallback done) override
    {
        Worker &worker = m_workers[order.worker];
        if (worker.running.emplace(order.task, order.run).second) {
            m_loop.startTimer(Milliseconds(taskMs), [this, id = order.worker, task = order.task] {
                finish(m_workers[id], task);
            });
        }
        m_loop.post([done = std::move(done)] { done(std::nullopt); });
    }
    void stop(const StopOrder &, std::uint64_t, OrderCallback done) override { done(std::nullopt); }
    void pace(const PaceOrder &, std::uint64_t, OrderCallback done) override { done(std::nullopt); }
    void advise(const AdviceOrder &, AdviseCallback done) override { done(std::nullopt); }

private:
    struct Worker
    {
        std::map<TaskKey, std::uint32_t> running;
        std::vector<EndedRun> ended;
        std::uint64_t lastEnd = 0;
        RenewCallback renewal;
        std::uint64_t renewals = 0;
    };

    void finish(Worker &worker, const TaskKey &task)
    {
        const auto run = worker.running.extract(task);
        worker.ended.push_back({++worker.lastEnd, task, run.mapped(), RunOutcome::Done, {}});
        answer(worker);
    }
    void answer(Worker &worker)
    {
        if (!worker.renewal) {
            return;
        }
        RenewAnswer lists;
        lists.clockMs = steadyTimeNow();
        lists.startTimeMs = 1;
        lists.ended = worker.ended;
        for (const auto &[task, run] : worker.running) {
            lists.running.push_back({task, run, {}, 50, 10});
        }
        const RenewCallback done = std::exchange(worker.renewal, nullptr);
        ++worker.renewals;
        m_loop.post([done, lists] { done(lists); });
    }

    EventLoop &m_loop;
    std::map<std::string, Worker> m_workers;
};

class NoInstances : public InstanceProvider
{
public:
    void list(ListCallback done) override { done(std::vector<ListedInstance>{}); }
    void beginMaintenance(const std::string &, std::uint64_t, const OrderAuthority &,
                          OrderCallback done) override
    {
        done(InstanceFault::Invalid);
    }
    void move(const std::string &, const std::string &, const OrderAuthority &,
              OrderCallback done) override
    {
        done(InstanceFault::Invalid);
    }
};

class NoProtocol : public JobProtocol
{
public:
    std::variant<TimedJobCall, HttpResponse> decode(const HttpRequest &) override
    {
        return HttpResponse{404, {}, {}};
    }
    HttpResponse encode(const JobCall &, const JobCallAnswer &) override { return {404, {}, {}}; }
};

double processorSeconds()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec)
            + static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) * 1e-6;
}

[[noreturn]] void runControl(int index, const std::string &folder)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    NoProtocol protocol;
    JsonLineLog log(addressOf(index), STDERR_FILENO + 1000);
    ControlSettings settings;
    settings.peers = peersOf(index);
    settings.controlAddress = addressOf(index) + ":" + std::to_string(callPort);
    settings.metricsAddress = addressOf(index) + ":" + std::to_string(metricsPort);
    settings.dataFolder = folder;
    settings.bootstrap = true;
    settings.toleratedFailures = 2;
    settings.service.name = settings.peers.name;
    ControlInstance instance(settings, protocol, log, [](const std::string &) { _exit(1); });
    if (!isOk(instance.start([](EventLoop &loop) {
            return OutgoingClients{std::make_unique<SimulatedWorkers>(loop),
                                   std::make_unique<NoInstances>()};
        }))) {
        _exit(1);
    }
    // SIGUSR1 marks the begin of the measurement and SIGTERM its end.
    int signal = 0;
    double before = 0;
    SteadyTimeMs beganAt = 0;
    while (signal != SIGTERM) {
        sigwait(&signals, &signal);
        if (signal == SIGUSR1) {
            before = processorSeconds();
            beganAt = steadyTimeNow();
        }
    }
    const double seconds = static_cast<double>(steadyTimeNow() - beganAt) / 1000;
    std::cout << "  " << addressOf(index) << " (pid " << getpid()
              << "): " << (processorSeconds() - before) / seconds << " of a core\n"
              << std::flush;
    _exit(0);
}

/// Sends calls to the leader and counts their answers.
class LoadClient
{
public:
    LoadClient()
        : m_log("load", STDERR_FILENO + 1000), m_self(selfSettings()),
          m_transport(peerIdentity(m_self), m_self.name + ":0", {}, peerTransportOptions(), m_log,
                      m_metrics)
    {
        if (!isOk(m_transport.start())) {
            std::cerr << "the load can't open its listener\n";
            std::exit(EXIT_FAILURE);
        }
        m_leader = std::make_unique<LeaderClient>(
                m_loop, m_transport, m_log, [this](const std::string &name) {
                    m_transport.addPeer(controlAddress(m_self, name));
                });
        m_loop.start();
        m_loop.runAndWait([this] {
            for (int index = 0; index < instanceCount; ++index) {
                m_leader->addControlInstance(addressOf(index));
            }
            m_leader->start();
        });
    }
    ~LoadClient()
    {
        m_loop.runAndWait([this] { m_leader.reset(); });
        m_loop.stop();
    }
    LoadClient(const LoadClient &) = delete;
    LoadClient &operator=(const LoadClient &) = delete;

    bool isReady()
    {
        bool ready = false;
        m_loop.runAndWait([&] { ready = m_leader->isReady(steadyTimeNow()); });
        return ready;
    }
    void send(JobCall call)
    {
        m_loop.post([this, call = std::move(call)] {
            m_leader->call(call, steadyTimeNow() + 3000, [this](const JobCallAnswer &answer) {
                if (answer.outcome == JobCallOutcome::Done) {
                    ++m_done;
                    m_completed += answer.phase == JobPhase::Completed ? 1 : 0;
                } else {
                    ++m_failed;
                }
            });
        });
    }
    std::uint64_t done() const { return m_done; }
    std::uint64_t failed() const { return m_failed; }
    std::uint64_t completed() const { return m_completed; }

private:
    static PeerNetworkSettings selfSettings()
    {
        PeerNetworkSettings settings = peersOf(0);
        settings.name = "127.0.3.200";
        return settings;
    }

    JsonLineLog m_log;
    PrometheusMetrics m_metrics;
    const PeerNetworkSettings m_self;
    Http2PeerTransport m_transport;
    EventLoop m_loop;
    std::unique_ptr<LeaderClient> m_leader;
    std::atomic<std::uint64_t> m_done{0};
    std::atomic<std::uint64_t> m_failed{0};
    std::atomic<std::uint64_t> m_completed{0};
};

JobCall configurationCall()
{
    JobCall call;
    call.kind = JobCallKind::ChangeConfiguration;
    call.configuration.version = 1;
    for (int service = 0; service < serviceCount; ++service) {
        const std::string name = "s" + std::to_string(service);
        call.configuration.services.push_back({name, true, false});
        QueueConfig queue;
        queue.name = "q" + std::to_string(service);
        queue.host = "host";
        queue.pathPrefix = "/" + queue.name + "/";
        queue.service = name;
        queue.timeoutMs = 3000;
        queue.maxAttempts = 3;
        queue.stretch = 1.6;
        queue.targetLatencyMs = 600;
        call.configuration.queues.push_back(queue);
    }
    return call;
}

JobCall announcementCall(int worker)
{
    JobCall call;
    call.kind = JobCallKind::AnnounceWorker;
    call.worker.id = "i-" + std::to_string(100000 + worker);
    call.worker.startTimeMs = 1;
    call.worker.service = "s" + std::to_string(worker % serviceCount);
    call.worker.address =
            "10.0." + std::to_string(worker / 250) + "." + std::to_string(worker % 250 + 1) + ":80";
    call.worker.availabilityZone = zoneOf(worker / serviceCount);
    call.worker.capacity = {16000, 65536, 0};
    call.sequence = 1;
    return call;
}

JobCall submission(std::uint64_t number)
{
    JobCall call;
    call.kind = JobCallKind::Submit;
    call.host = "host";
    call.path = "/q" + std::to_string(number % serviceCount) + "/00000000"
            + std::to_string(10000000 + number);
    call.requestId = "load/" + std::to_string(number);
    call.spec.payload = std::string(250, 'x');
    StepSpec step;
    step.count = tasksPerStep;
    step.need = {taskMilli, 512, 0};
    step.estimateMs = taskMs;
    call.spec.steps.push_back(step);
    if (number % 5 < 3) {
        step.dependsOn = {0};
        call.spec.steps.push_back(step);
    }
    return call;
}

void waitUntil(SteadyTimeMs time)
{
    std::this_thread::sleep_for(Milliseconds(std::max<SteadyTimeMs>(time - steadyTimeNow(), 0)));
}

void runLoad(const std::vector<pid_t> &controls, int workers, int jobsPerSecond, int seconds)
{
    LoadClient load;
    while (!load.isReady()) {
        waitUntil(steadyTimeNow() + 50);
    }
    // The five instances have become voters, and leadership has settled.
    waitUntil(steadyTimeNow() + 4000);
    load.send(configurationCall());
    for (int worker = 0; worker < workers; ++worker) {
        load.send(announcementCall(worker));
    }
    waitUntil(steadyTimeNow() + 3000);
    for (const pid_t control : controls) {
        kill(control, SIGUSR1);
    }
    const std::uint64_t before = load.done();
    const SteadyTimeMs begin = steadyTimeNow();
    const std::uint64_t jobs = static_cast<std::uint64_t>(jobsPerSecond) * seconds;
    for (std::uint64_t job = 0; job < jobs; ++job) {
        waitUntil(begin + static_cast<SteadyTimeMs>(job * 1000 / jobsPerSecond));
        load.send(submission(job));
    }
    waitUntil(begin + seconds * 1000);
    for (const pid_t control : controls) {
        kill(control, SIGTERM);
        waitpid(control, nullptr, 0);
    }
    std::cout << "  " << jobs << " jobs, " << load.done() - before << " answered, " << load.failed()
              << " failed\n";
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const auto argument = [&](int index, int fallback) {
        return argumentCount > index ? std::atoi(arguments[index]) : fallback;
    };
    const int workers = argument(1, 1100);
    const int jobsPerSecond = argument(2, 180);
    const int seconds = argument(3, 10);
    std::cout << workers << " workers, " << jobsPerSecond << " jobs a second for " << seconds
              << " s, announcements at " << 1000 * workers / announceMs << " a second left out\n"
              << std::flush;
    const std::filesystem::path folder =
            std::filesystem::temp_directory_path() / ("measureControl-" + std::to_string(getpid()));
    std::vector<pid_t> controls;
    for (int index = 0; index < instanceCount; ++index) {
        const std::string data = (folder / std::to_string(index)).string();
        std::filesystem::create_directories(data);
        const pid_t child = fork();
        if (child == 0) {
            runControl(index, data);
        }
        controls.push_back(child);
    }
    runLoad(controls, workers, jobsPerSecond, seconds);
    std::filesystem::remove_all(folder);
    return EXIT_SUCCESS;
}
