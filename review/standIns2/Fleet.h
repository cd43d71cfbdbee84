// Stand-ins for workers and for the platform that lists and services their machines.
#pragma once

#include "System.h"

struct Run
{
    std::uint64_t run = 0;
    std::int64_t startedAt = 0;
    std::int64_t workMs = 0;
    std::int64_t stopsAt = 0;
    std::string saved;
};

struct End
{
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::string saved;
};

/// A step whose tasks work only together, and produce a new checkpoint with each interval of work.
struct Gang
{
    std::size_t count = 0;
    std::int64_t workMs = 0;
    /// Work of the present run and the one that it resumed, in milliseconds.
    std::int64_t workedMs = 0;
    std::string saved;
    bool works = false;
    /// Checkpoints that members of the gang carried, by run and task.
    std::map<std::uint64_t, std::map<std::string, std::string>> carried;
};

/// One machine with the life of a worker that runs on it.
struct Machine
{
    std::string name;
    std::string pool;
    std::string ip;
    std::string rack;
    std::string state = "up";
    // The worker.
    std::string id;
    bool up = true;
    std::uint64_t life = 1;
    std::int64_t born = 0;
    std::int64_t bootedAt = 0;
    std::uint64_t sequence = 0;
    std::uint64_t fence = 0;
    std::int64_t leaseUntil = 0;
    std::map<std::string, Run> running;
    std::map<std::string, std::uint64_t> highestEnded;
    std::vector<End> ended;
    std::uint64_t lastEnd = 0;
    std::size_t control = 0;
    bool draining = false;
    // Orders of the platform.
    std::uint64_t machineFence = 0;
    std::set<std::int64_t> wavesDone;
    std::int64_t downUntil = 0;
};

/// Workers and the platform, as sound ones behave. All state is guarded by one mutex.
class Fleet
{
public:
    static constexpr std::int64_t heartbeatMs = 1500;
    static constexpr std::int64_t maxHoldMs = 6000;
    static constexpr std::int64_t stopMs = 100;
    static constexpr std::int64_t upkeepMs = 2000;
    static constexpr std::int64_t moveMs = 1500;
    static constexpr std::int64_t startupMs = 300;
    static constexpr std::int64_t tickMs = 10;
    static constexpr std::int64_t gangTimeoutMs = 3000;
    static constexpr std::int64_t checkpointMs = 500;
    static constexpr std::int64_t capacityMilli = 16000;

    Fleet(System &system, Record &record) : m_system(system), m_record(record) { }
    ~Fleet() { stop(); }

    Machine &add(const std::string &name, const std::string &pool, int host)
    {
        auto machine = std::make_unique<Machine>();
        machine->name = name;
        machine->pool = pool;
        machine->ip = m_system.ip(host);
        machine->rack = "r" + std::to_string(1 + m_machines.size() / 4) + "-1";
        machine->control = m_machines.size();
        m_machines.push_back(std::move(machine));
        Machine &added = *m_machines.back();
        boot(added, "i-" + name);
        return added;
    }

    void start(const std::string &cloudIp)
    {
        serve(cloudIp, m_system.port(), [this](int descriptor) { serveCloud(descriptor); });
        for (auto &machine : m_machines) {
            Machine *const each = machine.get();
            serve(each->ip, m_system.port(),
                  [this, each](int descriptor) { serveWorker(*each, descriptor); });
            m_threads.emplace_back([this, each] { beat(*each); });
        }
        m_threads.emplace_back([this] { tick(); });
    }
    void stop()
    {
        m_stopped = true;
        m_changed.notify_all();
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        while (m_connections > 0) {
            sleepMs(10);
        }
    }

    std::mutex &mutex() { return m_mutex; }
    std::vector<std::unique_ptr<Machine>> &machines() { return m_machines; }
    std::string address(const Machine &machine) const
    {
        return machine.ip + ":" + std::to_string(m_system.port());
    }

    /// May hold back the answer to an order of the platform and let it be carried out later:
    /// returns the delay, or 0 for the usual way.
    std::function<std::int64_t(const std::string &holder, const std::string &machine)> delayUpkeep;
    /// Called with the mutex held when a machine begins its upkeep.
    std::function<void(const Machine &, const std::string &holder, std::uint64_t fence)>
            onUpkeepBegins;
    /// Called with the mutex held before a run starts.
    std::function<void(const Machine &, const std::string &task, std::uint64_t run)> onStart;

    /// Other machines that run the task now. The mutex must be held.
    std::vector<std::string> runningElsewhere(const Machine &machine, const std::string &task) const
    {
        std::vector<std::string> others;
        for (const auto &other : m_machines) {
            const auto run = other->running.find(task);
            if (other->up && other.get() != &machine && run != other->running.end()) {
                others.push_back(other->name + " (run " + std::to_string(run->second.run) + ")");
            }
        }
        return others;
    }
    /// Gangs by the name of their step, "ID.K.STEP". Their checkpoints are "c" and the work so far.
    std::map<std::string, Gang> gangs;
    /// Called with the mutex held when a member of a gang is told to start.
    std::function<void(const Gang &, const std::string &task, std::uint64_t run)> onGangStart;

    /// The worker on the machine crashes; another one is there after the given time.
    void crash(Machine &machine, std::int64_t downMs)
    {
        const std::lock_guard lock(m_mutex);
        m_record.line(machine.name + " crashes with " + std::to_string(machine.running.size())
                      + " tasks");
        machine.up = false;
        machine.running.clear();
        machine.downUntil = steadyMs() + downMs;
    }
    bool isNotedDone(const std::string &task) const { return m_notedDone.contains(task); }
    std::size_t countRunning()
    {
        const std::lock_guard lock(m_mutex);
        std::size_t count = 0;
        for (const auto &machine : m_machines) {
            count += machine->running.size();
        }
        return count;
    }

private:
    std::int64_t clock(const Machine &machine) const
    {
        return steadyMs() - machine.bootedAt + 1000;
    }

    void boot(Machine &machine, const std::string &id)
    {
        machine.id = id;
        machine.up = true;
        ++machine.life;
        machine.born = std::max(wallMs(), machine.born + 1);
        machine.bootedAt = steadyMs();
        machine.sequence = 0;
        machine.fence = 0;
        machine.leaseUntil = 0;
        machine.running.clear();
        machine.highestEnded.clear();
        machine.ended.clear();
        machine.lastEnd = 0;
        machine.draining = false;
    }

    void serve(const std::string &ip, int port, std::function<void(int)> handler)
    {
        const int listener = listenOn(ip, port);
        if (listener < 0) {
            throw CannotRun{"cannot listen on " + ip};
        }
        m_threads.emplace_back([this, listener, handler = std::move(handler)] {
            while (!m_stopped) {
                pollfd entry{listener, POLLIN, 0};
                if (::poll(&entry, 1, 50) != 1) {
                    continue;
                }
                const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (descriptor < 0) {
                    continue;
                }
                ++m_connections;
                std::thread([this, descriptor, handler] {
                    handler(descriptor);
                    ::close(descriptor);
                    --m_connections;
                }).detach();
            }
            ::close(listener);
        });
    }

    /// Waits for the next request of a connection.
    bool next(int descriptor, std::string &buffer, HttpMessage &request)
    {
        while (!m_stopped) {
            if (readMessage(descriptor, buffer, request, 100)) {
                return true;
            }
            char byte = 0;
            const ssize_t count = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (count == 0 || (count < 0 && errno != EAGAIN)) {
                return false;
            }
        }
        return false;
    }

    void beat(Machine &machine)
    {
        std::int64_t nextAt = 0;
        std::uint64_t life = 0;
        while (!m_stopped) {
            sleepMs(10);
            std::string body;
            std::string path;
            std::string to;
            {
                const std::lock_guard lock(m_mutex);
                if (!machine.up || (machine.life == life && steadyMs() < nextAt)) {
                    continue;
                }
                life = machine.life;
                path = "/v1/instances/" + machine.id;
                body = Json{{"service", machine.pool},
                            {"address", address(machine)},
                            {"zone", "zone-a"},
                            {"version", "v1"},
                            {"slots", 8},
                            {"state", machine.draining ? "draining" : "ready"},
                            {"cold_remaining_ms", 0},
                            {"capacity", {{"cpu", capacityMilli}, {"mem_mb", 32768}, {"gpu", 0}}},
                            {"labels", {"a", machine.rack}},
                            {"clock_ms", clock(machine)},
                            {"born", machine.born},
                            {"sequence", ++machine.sequence}}
                               .dump();
                const auto controls = m_system.controls();
                to = controls[machine.control % controls.size()];
            }
            const Answer answer = call(to, "PUT", path, body, 1000);
            nextAt = steadyMs() + (answer.status == 200 ? heartbeatMs : 100);
            if (answer.status != 200) {
                ++machine.control;
            }
        }
    }

    void serveWorker(Machine &machine, int descriptor)
    {
        std::string buffer;
        HttpMessage request;
        std::uint64_t life = 0;
        {
            const std::lock_guard lock(m_mutex);
            life = machine.life;
        }
        while (next(descriptor, buffer, request)) {
            std::string answer;
            {
                std::unique_lock lock(m_mutex);
                if (!machine.up || machine.life != life) {
                    // The connection belonged to a process that has ended.
                    linger reset{1, 0};
                    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                    return;
                }
                answer = handleWorker(machine, request, lock);
                if (!machine.up || machine.life != life) {
                    linger reset{1, 0};
                    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                    return;
                }
            }
            if (!sendAll(descriptor, answer)) {
                return;
            }
        }
    }

    std::string workerAnswer(const Machine &machine, int status, Json body)
    {
        body["clock_ms"] = clock(machine);
        body["born"] = machine.born;
        return renderAnswer(status, body.dump());
    }

    std::string handleWorker(Machine &machine, const HttpMessage &request,
                             std::unique_lock<std::mutex> &lock)
    {
        const auto expected = request.headers.find("x-dandelionloom-expect-instance");
        const Json order = Json::parse(request.body, nullptr, false);
        if (expected != request.headers.end() && expected->second != machine.id) {
            m_record.line(machine.name + " 421 to " + request.path + " for " + expected->second);
            return workerAnswer(machine, 421, Json::object());
        }
        if (request.path == "/v1/run-start") {
            return startRun(machine, order);
        }
        if (!order.is_object()) {
            return workerAnswer(machine, 400, Json::object());
        }
        const std::uint64_t fence = order.value("fencing_token", std::uint64_t{0});
        if (fence < machine.fence) {
            return workerAnswer(machine, 409, {{"reason", "fence"}});
        }
        machine.fence = fence;
        if (request.path == "/v1/run-stop") {
            const std::string task = order.at("task");
            const std::uint64_t run = order.at("run");
            m_record.line(machine.name + " stop " + task + " run " + std::to_string(run));
            machine.highestEnded[task] = std::max(machine.highestEnded[task], run);
            const auto there = machine.running.find(task);
            if (there != machine.running.end() && there->second.run <= run
                && there->second.stopsAt == 0) {
                there->second.stopsAt = steadyMs() + stopMs;
            }
            return workerAnswer(machine, 200, Json::object());
        }
        if (request.path == "/v1/pace") {
            return workerAnswer(machine, 200, Json::object());
        }
        if (request.path != "/v1/hold") {
            return workerAnswer(machine, 404, Json::object());
        }
        if (order.contains("deadline_ms")) {
            extendLease(machine, order.at("deadline_ms"));
        }
        const std::uint64_t cursor = order.value("ack_cursor", std::uint64_t{0});
        std::erase_if(machine.ended, [&](const End &end) {
            if (end.number <= cursor && end.how == "done" && clock(machine) < machine.leaseUntil) {
                m_notedDone.insert(end.task);
            }
            return end.number <= cursor;
        });
        const std::uint64_t life = machine.life;
        const std::int64_t until = steadyMs()
                + std::clamp<std::int64_t>(order.value("wait_ms", std::int64_t{0}), 0, 2000);
        while (machine.ended.empty() && machine.up && machine.life == life && !m_stopped
               && steadyMs() < until) {
            m_changed.wait_for(lock, std::chrono::milliseconds(20));
        }
        Json running = Json::array();
        for (const auto &[task, run] : machine.running) {
            const std::int64_t elapsed = steadyMs() - run.startedAt;
            const std::int64_t percent = run.workMs == 0
                    ? (elapsed >= startupMs ? 100 : 0)
                    : std::min<std::int64_t>(99, elapsed * 100 / run.workMs);
            running.push_back({task, run.run, run.saved, percent, 1000});
        }
        Json ended = Json::array();
        for (const End &end : machine.ended) {
            ended.push_back({end.number, end.task, end.run, end.how, end.saved});
        }
        return workerAnswer(machine, 200, {{"running", running}, {"ended_runs", ended}});
    }

    void extendLease(Machine &machine, std::int64_t deadlineMs)
    {
        machine.leaseUntil =
                std::max(machine.leaseUntil, std::min(deadlineMs, clock(machine) + maxHoldMs));
    }

    /// `spec` holds the run time in milliseconds; 0 for a task that lasts.
    std::string startRun(Machine &machine, const Json &order)
    {
        const std::string task = order.at("task");
        const std::uint64_t run = order.at("run");
        const std::uint64_t fence = order.value("fencing_token", std::uint64_t{0});
        const std::int64_t deadlineMs = order.at("deadline_ms");
        const std::string name = machine.name + " start " + task + " run " + std::to_string(run)
                + " fence " + std::to_string(fence);
        const auto refuse = [&](const char *reason) {
            m_record.line(name + " refused: " + reason);
            return workerAnswer(machine, 409, {{"reason", reason}});
        };
        if (fence < machine.fence) {
            return refuse("fence");
        }
        machine.fence = fence;
        extendLease(machine, deadlineMs);
        if (deadlineMs <= clock(machine)) {
            return refuse("late");
        }
        const auto there = machine.running.find(task);
        if (there != machine.running.end() && there->second.run == run) {
            return workerAnswer(machine, 200, Json::object());
        }
        if (there != machine.running.end() || run <= machine.highestEnded[task]) {
            return refuse("old");
        }
        if (static_cast<std::int64_t>(machine.running.size() + 1) * taskMilli > capacityMilli) {
            return refuse("room");
        }
        if (!quiet) {
            m_record.line(name);
        }
        if (onStart) {
            onStart(machine, task, run);
        }
        Run started;
        started.run = run;
        started.startedAt = steadyMs();
        started.workMs = std::strtoll(order.at("spec").get<std::string>().c_str(), nullptr, 10);
        if (Gang *const gang = gangOf(task)) {
            const std::string checkpoint = order.value("last_checkpoint", std::string());
            m_record.line(task + " run " + std::to_string(run) + " carries the checkpoint \""
                          + checkpoint + "\"");
            gang->carried[run][task] = checkpoint;
            started.workMs = 0;
            if (onGangStart) {
                onGangStart(*gang, task, run);
            }
        }
        machine.running[task] = started;
        return workerAnswer(machine, 200, Json::object());
    }

    Gang *gangOf(const std::string &task)
    {
        const auto found = gangs.find(task.substr(0, task.rfind('.')));
        return found == gangs.end() ? nullptr : &found->second;
    }

    /// Lets the gangs work whose members are all present, and ends the others in time.
    void tickGangs(std::int64_t now)
    {
        for (auto &[step, gang] : gangs) {
            std::vector<std::pair<Machine *, std::string>> members;
            std::set<std::uint64_t> runs;
            bool waitsTooLong = false;
            for (auto &machine : m_machines) {
                for (const auto &[task, run] : machine->running) {
                    if (task.substr(0, task.rfind('.')) == step) {
                        members.emplace_back(machine.get(), task);
                        runs.insert(run.run);
                        waitsTooLong = waitsTooLong || now - run.startedAt > gangTimeoutMs;
                    }
                }
            }
            if (members.empty()) {
                continue;
            }
            std::string how;
            if (members.size() == gang.count && runs.size() == 1) {
                if (!gang.works) {
                    gang.works = true;
                    m_record.line("all members of " + step + " work");
                }
                gang.workedMs += tickMs;
                if (gang.workedMs % checkpointMs < tickMs) {
                    gang.saved = "c" + std::to_string(gang.workedMs);
                }
                how = gang.workedMs >= gang.workMs ? "done" : "";
            } else if (gang.works) {
                how = "broken";
            } else if (waitsTooLong) {
                how = "alone";
            }
            if (how.empty()) {
                continue;
            }
            gang.works = false;
            for (const auto &[machine, task] : members) {
                endRun(*machine, task, how, gang.saved);
            }
        }
    }

    void endRun(Machine &machine, const std::string &task, const std::string &how,
                const std::string &saved = {})
    {
        const std::uint64_t run = machine.running.at(task).run;
        machine.running.erase(task);
        machine.highestEnded[task] = std::max(machine.highestEnded[task], run);
        machine.ended.push_back({++machine.lastEnd, task, run, how, saved});
        if (!quiet) {
            m_record.line(machine.name + " end " + task + " run " + std::to_string(run) + " " + how
                          + (saved.empty() ? "" : " saved " + saved));
        }
    }

    void tick()
    {
        while (!m_stopped) {
            sleepMs(tickMs);
            const std::lock_guard lock(m_mutex);
            const std::int64_t now = steadyMs();
            for (auto &machine : m_machines) {
                if (!machine->up) {
                    if (machine->downUntil != 0 && now >= machine->downUntil) {
                        machine->downUntil = 0;
                        machine->state = "up";
                        boot(*machine, "i-" + machine->name + "-" + std::to_string(machine->life));
                        m_record.line(machine->name + " is up again as " + machine->id);
                    }
                    continue;
                }
                std::vector<std::pair<std::string, std::string>> ends;
                for (const auto &[task, run] : machine->running) {
                    if (clock(*machine) >= machine->leaseUntil) {
                        ends.emplace_back(task, "lapsed");
                    } else if (run.stopsAt != 0 && now >= run.stopsAt) {
                        ends.emplace_back(task, "stopped");
                    } else if (run.workMs != 0 && now >= run.startedAt + run.workMs) {
                        ends.emplace_back(task, "done");
                    }
                }
                for (const auto &[task, how] : ends) {
                    endRun(*machine, task, how);
                }
            }
            tickGangs(now);
            m_changed.notify_all();
        }
    }

    void serveCloud(int descriptor)
    {
        std::string buffer;
        HttpMessage request;
        while (next(descriptor, buffer, request)) {
            std::string answer;
            if (request.path.starts_with("/v1/machines")) {
                const std::lock_guard lock(m_mutex);
                answer = renderAnswer(200, list().dump());
            } else {
                answer = handleOrder(request);
            }
            // An empty answer: the call gets none.
            if (!answer.empty() && !sendAll(descriptor, answer)) {
                return;
            }
        }
    }

    Json list()
    {
        Json machines = Json::array();
        for (const auto &machine : m_machines) {
            machines.push_back(
                    {{"machine", machine->name},
                     {"pool", machine->pool},
                     {"state", machine->state},
                     {"zone", "zone-a"},
                     {"labels", {"a", machine->rack}},
                     {"capacity", {{"cpu", capacityMilli}, {"mem_mb", 32768}, {"gpu", 0}}},
                     {"id", machine->id}});
        }
        return {{"machines", machines}, {"next_page_token", ""}};
    }

    std::string handleOrder(const HttpMessage &request)
    {
        const Json order = Json::parse(request.body, nullptr, false);
        const auto header = [&](const char *name) {
            const auto found = request.headers.find(name);
            return found == request.headers.end() ? std::string() : found->second;
        };
        const std::string holder = header("x-dandelionloom-lease-holder");
        const std::uint64_t fence = std::stoull("0" + header("x-dandelionloom-fencing-token"));
        const std::string name = order.value("machine", std::string());
        const bool upkeep = request.path == "/v1/machine-upkeep";
        m_record.line("platform gets " + request.path + " " + request.body + " of " + holder
                      + " fence " + std::to_string(fence));
        const std::int64_t delay = upkeep && delayUpkeep ? delayUpkeep(holder, name) : 0;
        if (delay > 0) {
            m_record.line("platform leaves the order for " + name
                          + " unanswered and carries it out " + std::to_string(delay)
                          + " ms later");
            ++m_connections;
            std::thread([this, order, holder, fence, delay, upkeep] {
                const std::int64_t at = steadyMs() + delay;
                while (!m_stopped && steadyMs() < at) {
                    sleepMs(5);
                }
                if (!m_stopped) {
                    m_record.line("platform carries out the late order");
                    carryOut(order, holder, fence, upkeep);
                }
                --m_connections;
            }).detach();
            return {};
        }
        return carryOut(order, holder, fence, upkeep);
    }

    std::string carryOut(const Json &order, const std::string &holder, std::uint64_t fence,
                         bool upkeep)
    {
        const std::lock_guard lock(m_mutex);
        const std::string name = order.value("machine", std::string());
        const auto answer = [&](int status, const Json &body) {
            m_record.line("platform: " + name + " " + std::to_string(status) + " " + body.dump());
            return renderAnswer(status, body.dump());
        };
        for (auto &machine : m_machines) {
            if (machine->name != name) {
                continue;
            }
            if (fence < machine->machineFence) {
                return answer(409, {{"reason", "fence"}});
            }
            machine->machineFence = fence;
            const std::int64_t wave = upkeep ? order.at("wave").get<std::int64_t>() : 0;
            if (upkeep && machine->wavesDone.contains(wave)) {
                return answer(200, Json::object());
            }
            if (machine->state != "up") {
                return answer(409, {{"reason", "busy"}});
            }
            if (upkeep) {
                if (onUpkeepBegins) {
                    onUpkeepBegins(*machine, holder, fence);
                }
                machine->wavesDone.insert(wave);
                machine->state = "upkeep";
                machine->downUntil = steadyMs() + upkeepMs;
            } else {
                machine->pool = order.at("pool");
                machine->state = "moving";
                machine->downUntil = steadyMs() + moveMs;
            }
            for (const auto &[task, run] : machine->running) {
                m_record.line(name + " ends " + task + " run " + std::to_string(run.run)
                              + " with the worker");
            }
            machine->up = false;
            machine->running.clear();
            return answer(200, Json::object());
        }
        return answer(400, {{"reason", "no such machine"}});
    }

    System &m_system;
    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::set<std::string> m_notedDone;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_connections{0};

public:
    /// Processor time of each task.
    std::int64_t taskMilli = 4000;
    /// Leaves starts and ends of runs out of the record, for cases with thousands of them.
    bool quiet = false;
};
