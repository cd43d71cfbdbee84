#include "Soak/WorkerFleet.h"

#include <algorithm>
#include <stdexcept>

#include "Model/Time.h"

namespace dandelionloom::soak {

namespace {

constexpr Milliseconds tickInterval{10};
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t maxLeaseMs = 6000;
constexpr std::int64_t stopMs = 100;
constexpr std::int64_t startupMs = 300;
constexpr std::int64_t drainMs = 2000;
/// Calls without an answer after which a worker ends anyway.
constexpr std::uint32_t maxDeregistrations = 3;
constexpr std::int64_t maxWaitMs = 2000;
constexpr std::int64_t workerMilli = 16000;
constexpr std::int64_t workerMemoryMb = 32768;
constexpr int zones = 3;
/// Bounds of the delay of a start that is carried out late.
constexpr std::int64_t minLateMs = 2000;
constexpr std::int64_t maxLateMs = 8000;
constexpr int listHost = 400;
constexpr int firstWorkerHost = 401;

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

HttpResponse jsonResponse(int status, const Json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

HttpResponse workerResponse(int status, std::int64_t clockMs, std::int64_t born, Json body)
{
    body["clock_ms"] = clockMs;
    body["born"] = born;
    return jsonResponse(status, body);
}

} // namespace

WorkerFleet::WorkerFleet(EventLoop &loop, FleetOptions options, Findings &findings)
    : m_loop(loop), m_options(std::move(options)), m_findings(findings), m_client(loop, {}),
      m_random(m_options.seed)
{ }

std::string WorkerFleet::listAddress(const LoopbackNetwork &network, std::uint16_t port)
{
    return network.address(listHost) + ":" + std::to_string(port);
}

void WorkerFleet::start()
{
    m_listServer = std::make_unique<EventedHttpServer>(
            m_loop, HttpLimits{},
            [this](const HttpRequest &request, const EventedHttpServer::Respond &respond) {
                respond(request.method == "GET" ? list() : jsonResponse(409, {{"reason", "busy"}}));
            });
    const std::string address = listAddress(m_options.network, m_options.port);
    if (!isOk(m_listServer->listen(address))) {
        throw std::runtime_error("cannot listen on " + address);
    }
    for (std::size_t index = 0; index < m_options.workers; ++index) {
        auto worker = std::make_unique<Worker>();
        worker->id = "worker-" + std::to_string(index);
        worker->address = m_options.network.address(firstWorkerHost + static_cast<int>(index)) + ":"
                + std::to_string(m_options.port);
        worker->zone = "zone-" + std::to_string(index % zones);
        worker->control = index % m_options.controls.size();
        worker->server = std::make_unique<EventedHttpServer>(
                m_loop, HttpLimits{},
                [this, index](const HttpRequest &request,
                              const EventedHttpServer::Respond &respond) {
                    handle(index, request, respond);
                });
        if (!isOk(worker->server->listen(worker->address))) {
            throw std::runtime_error("cannot listen on " + worker->address);
        }
        m_workers.push_back(std::move(worker));
        boot(*m_workers.back());
    }
    tick();
}

void WorkerFleet::boot(Worker &worker)
{
    worker.up = true;
    worker.draining = false;
    ++worker.life;
    // Two lives that begin within a millisecond must differ.
    worker.born = std::max(wallTimeNow(), worker.born + 1);
    worker.bootedAt = steadyTimeNow();
    worker.sequence = 0;
    worker.fence = 0;
    worker.leaseUntil = 0;
    worker.running.clear();
    worker.highestEnded.clear();
    worker.ended.clear();
    worker.lastEnd = 0;
    worker.polls.clear();
    worker.nextBeatAt = 0;
    worker.beatInFlight = false;
}

void WorkerFleet::crash(std::size_t index)
{
    Worker &worker = *m_workers.at(index);
    worker.up = false;
    worker.running.clear();
    worker.ended.clear();
    worker.polls.clear();
}

void WorkerFleet::restart(std::size_t index)
{
    if (!m_workers.at(index)->up) {
        boot(*m_workers.at(index));
    }
}

void WorkerFleet::setCut(std::size_t index, bool cut)
{
    m_workers.at(index)->cut = cut;
    if (cut) {
        m_workers.at(index)->polls.clear();
    }
}

void WorkerFleet::leave(std::size_t index, std::size_t first, std::int64_t restartAfterMs)
{
    Worker &worker = *m_workers.at(index);
    if (!worker.up || worker.draining) {
        return;
    }
    worker.draining = true;
    worker.nextBeatAt = 0;
    const std::uint64_t life = worker.life;
    m_loop.startTimer(Milliseconds(drainMs + heartbeatMs),
                      [this, index, first, life, restartAfterMs] {
                          if (m_workers.at(index)->life != life || !m_workers.at(index)->up) {
                              return;
                          }
                          deregister(index, first, 0, restartAfterMs);
                      });
}

void WorkerFleet::endAfter(std::size_t index, std::int64_t delayMs, std::int64_t restartAfterMs)
{
    const std::uint64_t life = m_workers.at(index)->life;
    m_loop.startTimer(Milliseconds(delayMs), [this, index, life, restartAfterMs] {
        if (m_workers.at(index)->life != life) {
            return;
        }
        crash(index);
        m_loop.startTimer(Milliseconds(restartAfterMs), [this, index] { restart(index); });
    });
}

void WorkerFleet::deregister(std::size_t index, std::size_t control, std::uint32_t attempts,
                             std::int64_t restartAfterMs)
{
    const std::string &to = m_options.controls.at(control % m_options.controls.size());
    const std::uint64_t life = m_workers.at(index)->life;
    m_client.call(
            {to, "DELETE", "/v1/instances/" + m_workers.at(index)->id, {}, {}, Milliseconds(1000)},
            [this, index, control, attempts, restartAfterMs,
             life](const EventedHttpClient::Result &result) {
                if (m_workers.at(index)->life != life) {
                    return;
                }
                const bool acknowledged = isOk(result) && valueOf(result).status == 200;
                if (acknowledged || attempts >= maxDeregistrations) {
                    endAfter(index, 0, restartAfterMs);
                } else {
                    deregister(index, control + 1, attempts + 1, restartAfterMs);
                }
            });
}

void WorkerFleet::healAll()
{
    m_faults = {};
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        setCut(index, false);
        restart(index);
    }
}

void WorkerFleet::forbidJob(const std::string &job, SteadyTimeMs at)
{
    m_forbiddenJobs.try_emplace(job, at);
}

std::size_t WorkerFleet::runningTasksOf(const std::set<std::string> &jobs) const
{
    std::size_t count = 0;
    for (const auto &worker : m_workers) {
        count += static_cast<std::size_t>(
                std::count_if(worker->running.begin(), worker->running.end(),
                              [&](const auto &run) { return jobs.contains(jobOf(run.first)); }));
    }
    return count;
}

void WorkerFleet::tick()
{
    const SteadyTimeMs now = steadyTimeNow();
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        Worker &worker = *m_workers[index];
        if (!worker.up) {
            continue;
        }
        tickWorker(worker, now);
        if (now >= worker.nextBeatAt && !worker.beatInFlight && !worker.cut) {
            beat(index);
        }
    }
    m_loop.startTimer(tickInterval, [this] { tick(); });
}

void WorkerFleet::tickWorker(Worker &worker, SteadyTimeMs now)
{
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto &[task, run] : worker.running) {
        if (worker.clock(now) >= worker.leaseUntil) {
            ends.emplace_back(task, "lapsed");
        } else if (run.stopsAt != 0 && now >= run.stopsAt) {
            ends.emplace_back(task, "stopped");
        } else if (run.endsAt != 0 && now >= run.endsAt) {
            ends.emplace_back(task, "done");
        }
    }
    for (const auto &[task, outcome] : ends) {
        endRun(worker, task, outcome);
    }
    std::vector<Poll> due;
    std::erase_if(worker.polls, [&](const Poll &poll) {
        if (now < poll.answerAt && worker.ended.empty()) {
            return false;
        }
        due.push_back(poll);
        return true;
    });
    for (const Poll &poll : due) {
        answerPoll(worker, poll);
    }
}

void WorkerFleet::beat(std::size_t index)
{
    Worker &worker = *m_workers.at(index);
    worker.beatInFlight = true;
    const Json body = {{"service", m_options.service},
                       {"address", worker.address},
                       {"zone", worker.zone},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", worker.draining ? "draining" : "ready"},
                       {"cold_remaining_ms", 0},
                       {"capacity", {{"cpu", workerMilli}, {"mem_mb", workerMemoryMb}, {"gpu", 0}}},
                       {"labels", {"kind-" + std::to_string(index % 2)}},
                       {"clock_ms", worker.clock(steadyTimeNow())},
                       {"sequence", ++worker.sequence},
                       {"born", worker.born}};
    m_client.call({m_options.controls.at(worker.control),
                   "PUT",
                   "/v1/instances/" + worker.id,
                   {},
                   body.dump(),
                   Milliseconds(1000)},
                  [this, index, life = worker.life](const EventedHttpClient::Result &result) {
                      Worker &sender = *m_workers.at(index);
                      if (sender.life != life) {
                          return;
                      }
                      const bool acknowledged = isOk(result) && valueOf(result).status == 200;
                      sender.beatInFlight = false;
                      sender.nextBeatAt = steadyTimeNow() + (acknowledged ? heartbeatMs : 50);
                      if (!acknowledged) {
                          sender.control = (sender.control + 1) % m_options.controls.size();
                      }
                  });
}

void WorkerFleet::handle(std::size_t index, const HttpRequest &request,
                         const EventedHttpServer::Respond &respond)
{
    Worker &worker = *m_workers.at(index);
    if (!worker.up || worker.cut) {
        return;
    }
    const auto expected = headerValue(request.headers, "X-Dandelionloom-Expect-Instance");
    const Json order = Json::parse(request.body, nullptr, false);
    const std::int64_t clockMs = worker.clock(steadyTimeNow());
    if (expected && *expected != worker.id) {
        respond(workerResponse(421, clockMs, worker.born, Json::object()));
        return;
    }
    if (!order.is_object()) {
        respond(workerResponse(400, clockMs, worker.born, Json::object()));
        return;
    }
    if (request.path == "/v1/run-start") {
        if (happens(m_faults.refused)) {
            respond(workerResponse(503, clockMs, worker.born, Json::object()));
            return;
        }
        if (happens(m_faults.late)) {
            const std::int64_t delayMs =
                    minLateMs
                    + static_cast<std::int64_t>(
                            m_random() % static_cast<std::uint64_t>(maxLateMs - minLateMs));
            m_loop.startTimer(Milliseconds(delayMs), [this, index, order, life = worker.life] {
                Worker &late = *m_workers.at(index);
                if (late.up && late.life == life) {
                    startRun(late, order);
                }
            });
            return;
        }
        HttpResponse response = startRun(worker, order);
        if (!happens(m_faults.lost)) {
            respond(std::move(response));
        }
        return;
    }
    if (request.path == "/v1/run-stop") {
        respond(stopRun(worker, order));
        return;
    }
    if (request.path == "/v1/hold") {
        poll(worker, order, respond);
        return;
    }
    respond(workerResponse(request.path == "/v1/pace" ? 200 : 404, clockMs, worker.born,
                           Json::object()));
}

HttpResponse WorkerFleet::startRun(Worker &worker, const Json &order)
{
    const SteadyTimeMs now = steadyTimeNow();
    const std::string task = order.at("task");
    const std::uint64_t run = order.at("run");
    const std::uint64_t fence = order.value("fencing_token", std::uint64_t{0});
    const std::int64_t deadlineMs = order.at("deadline_ms");
    const auto refuse = [&](const char *reason) {
        return workerResponse(409, worker.clock(now), worker.born, {{"reason", reason}});
    };
    if (fence < worker.fence) {
        return refuse("fence");
    }
    worker.fence = fence;
    if (deadlineMs <= worker.clock(now)) {
        return refuse("late");
    }
    worker.leaseUntil =
            std::max(worker.leaseUntil, std::min(deadlineMs, worker.clock(now) + maxLeaseMs));
    const auto there = worker.running.find(task);
    if (there != worker.running.end() && there->second.run == run) {
        return workerResponse(200, worker.clock(now), worker.born, Json::object());
    }
    if (there != worker.running.end() || run <= worker.highestEnded[task]) {
        return refuse("old");
    }
    if (static_cast<std::int64_t>(worker.running.size() + 1) * taskMilli > workerMilli) {
        return refuse("room");
    }
    checkStart(worker, task, run);
    ++m_starts;
    Run started;
    started.run = run;
    started.startedAt = now;
    started.workMs = std::stoll(order.at("spec").get<std::string>());
    started.endsAt = started.workMs == 0 ? 0 : now + started.workMs;
    worker.running[task] = started;
    return workerResponse(200, worker.clock(now), worker.born, Json::object());
}

void WorkerFleet::checkStart(const Worker &worker, const std::string &task, std::uint64_t run)
{
    const std::string name = task + " run " + std::to_string(run) + " on " + worker.id;
    for (const auto &other : m_workers) {
        const auto found = other->running.find(task);
        if (other->up && found != other->running.end()) {
            m_findings.add("TWICE",
                           name + " while run " + std::to_string(found->second.run) + " is on "
                                   + other->id);
        }
    }
    if (m_doneTasks.contains(task)) {
        m_findings.add("TWICE", name + " after an acknowledged end as done");
    }
    const auto forbidden = m_forbiddenJobs.find(jobOf(task));
    if (forbidden != m_forbiddenJobs.end() && steadyTimeNow() >= forbidden->second) {
        m_findings.add("UNASKED", name + " of an ended or refused job");
    }
}

HttpResponse WorkerFleet::stopRun(Worker &worker, const Json &order)
{
    const SteadyTimeMs now = steadyTimeNow();
    const std::string task = order.at("task");
    const std::uint64_t run = order.at("run");
    const std::uint64_t fence = order.value("fencing_token", std::uint64_t{0});
    if (fence < worker.fence) {
        return workerResponse(409, worker.clock(now), worker.born, {{"reason", "fence"}});
    }
    worker.fence = fence;
    worker.highestEnded[task] = std::max(worker.highestEnded[task], run);
    const auto there = worker.running.find(task);
    if (there != worker.running.end() && there->second.run <= run && there->second.stopsAt == 0) {
        there->second.stopsAt = now + stopMs;
    }
    return workerResponse(200, worker.clock(now), worker.born, Json::object());
}

void WorkerFleet::poll(Worker &worker, const Json &order, const EventedHttpServer::Respond &respond)
{
    const SteadyTimeMs now = steadyTimeNow();
    const std::uint64_t fence = order.value("fencing_token", std::uint64_t{0});
    if (fence < worker.fence) {
        respond(workerResponse(409, worker.clock(now), worker.born, {{"reason", "fence"}}));
        return;
    }
    worker.fence = fence;
    if (order.contains("deadline_ms")) {
        const std::int64_t deadlineMs = order.at("deadline_ms");
        worker.leaseUntil =
                std::max(worker.leaseUntil, std::min(deadlineMs, worker.clock(now) + maxLeaseMs));
    }
    acknowledge(worker, order.value("ack_cursor", std::uint64_t{0}));
    const std::int64_t waitMs =
            std::clamp<std::int64_t>(order.value("wait_ms", std::int64_t{0}), 0, maxWaitMs);
    const Poll waiting{now + waitMs, respond};
    if (waitMs == 0 || !worker.ended.empty()) {
        answerPoll(worker, waiting);
    } else {
        worker.polls.push_back(waiting);
    }
}

void WorkerFleet::acknowledge(Worker &worker, std::uint64_t cursor)
{
    // An end counts only if the lease did not lapse before the acknowledgement: without a lease the
    // leader may have given the task to another worker.
    const bool leased = worker.clock(steadyTimeNow()) < worker.leaseUntil;
    std::erase_if(worker.ended, [&](const End &end) {
        if (end.number <= cursor && end.outcome == "done" && leased) {
            m_doneTasks.insert(end.task);
        }
        return end.number <= cursor;
    });
}

void WorkerFleet::answerPoll(Worker &worker, const Poll &poll)
{
    const SteadyTimeMs now = steadyTimeNow();
    Json running = Json::array();
    for (const auto &[task, run] : worker.running) {
        const std::int64_t elapsed = now - run.startedAt;
        const std::int64_t percent = run.endsAt == 0
                ? (elapsed >= startupMs ? 100 : 0)
                : std::min<std::int64_t>(99, elapsed * 100 / run.workMs);
        running.push_back({task, run.run, "", percent, taskMilli});
    }
    Json ended = Json::array();
    for (const End &end : worker.ended) {
        ended.push_back({end.number, end.task, end.run, end.outcome, ""});
    }
    poll.respond(workerResponse(200, worker.clock(now), worker.born,
                                {{"running", running}, {"ended_runs", ended}}));
}

void WorkerFleet::endRun(Worker &worker, const std::string &task, const std::string &outcome)
{
    const Run run = worker.running.at(task);
    worker.running.erase(task);
    worker.highestEnded[task] = std::max(worker.highestEnded[task], run.run);
    worker.ended.push_back({++worker.lastEnd, task, run.run, outcome});
}

HttpResponse WorkerFleet::list() const
{
    Json machines = Json::array();
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        const Worker &worker = *m_workers[index];
        machines.push_back(
                {{"machine", "machine-" + std::to_string(index)},
                 {"pool", m_options.service},
                 {"state", worker.up ? "up" : "down"},
                 {"zone", worker.zone},
                 {"labels", {"kind-" + std::to_string(index % 2)}},
                 {"capacity", {{"cpu", workerMilli}, {"mem_mb", workerMemoryMb}, {"gpu", 0}}},
                 {"id", worker.up ? worker.id : std::string()}});
    }
    return jsonResponse(200, {{"machines", machines}, {"next_page_token", nullptr}});
}

bool WorkerFleet::happens(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

} // namespace dandelionloom::soak
