// Support of the review's scripts: HTTP over loopback, processes of the system, and stand-ins for
// the workers, the machine list, the operator and the clients of a small deployment.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

inline std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Thrown if the case could not be set up; the script then exits with 2.
struct NotRun : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// The record of a case: what was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path), m_begin(nowMs()) { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << (nowMs() - m_begin) << " ms  " << text << std::endl;
    }
    std::int64_t begin() const { return m_begin; }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const std::int64_t m_begin;
};

// HTTP

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response
{
    /// 0: no response came.
    int status = 0;
    std::string body;
};

inline sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

/// Reads one message with Content-Length. Returns the first line, headers (lower case) and body.
inline bool readMessage(int fd, std::string &buffer, std::string &firstLine,
                        std::map<std::string, std::string> &headers, std::string &body,
                        std::int64_t deadline)
{
    const auto more = [&] {
        const std::int64_t left = deadline - nowMs();
        pollfd wait{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[16384];
        const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return false;
        }
    }
    std::istringstream head(buffer.substr(0, end));
    std::getline(head, firstLine);
    headers.clear();
    for (std::string line; std::getline(head, line);) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of("\r ") + 1);
        headers[name] = value;
    }
    const std::size_t length =
            headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (buffer.size() < end + 4 + length) {
        if (!more()) {
            return false;
        }
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

/// One call on a connection of its own, which is closed when the time is over.
inline Response call(const std::string &address, const std::string &method,
                     const std::string &path, const std::string &body = {},
                     const std::string &headers = {}, std::int64_t timeoutMs = 1000)
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress(address);
    Response response;
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0) {
        const std::string text = method + " " + path + " HTTP/1.1\r\n"
                + (headers.find("Host:") == std::string::npos ? "Host: " + address + "\r\n" : "")
                + headers + "Content-Type: application/json\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        std::string first;
        std::map<std::string, std::string> received;
        if (::send(fd, text.data(), text.size(), MSG_NOSIGNAL) > 0
            && readMessage(fd, buffer, first, received, response.body, deadline)) {
            response.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
        }
    }
    ::close(fd);
    return response;
}

/// HTTP server with a thread for each connection. A handler that returns nothing leaves the request
/// unanswered. While `cut` is set, bytes are swallowed, and their connections are reset afterwards.
class Server
{
public:
    using Handler = std::function<std::optional<Response>(const Request &)>;

    Server(const std::string &address, Handler handler)
        : m_address(address), m_handler(std::move(handler))
    { }
    ~Server() { stop(); }

    void start()
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in own = socketAddress(m_address);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
            || ::listen(m_fd, 128) != 0) {
            throw NotRun("cannot listen on " + m_address);
        }
        m_running = true;
        m_thread = std::thread([this] { accept(); });
    }

    /// Closes the listener and resets all connections.
    void stop()
    {
        if (!m_running.exchange(false)) {
            return;
        }
        m_thread.join();
        ::close(m_fd);
        while (m_connections > 0) {
            sleepMs(2);
        }
    }

    std::atomic<bool> cut = false;

private:
    void accept()
    {
        while (m_running) {
            pollfd wait{m_fd, POLLIN, 0};
            if (::poll(&wait, 1, 20) <= 0) {
                continue;
            }
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                ++m_connections;
                std::thread([this, fd] { serve(fd); }).detach();
            }
        }
    }

    void serve(int fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const linger reset{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        std::string buffer;
        bool swallowed = false;
        while (m_running) {
            pollfd wait{fd, POLLIN, 0};
            if (cut) {
                char bytes[4096];
                if (::poll(&wait, 1, 20) > 0 && ::recv(fd, bytes, sizeof bytes, 0) <= 0) {
                    break;
                }
                swallowed = true;
                continue;
            }
            if (swallowed) {
                break;
            }
            if (buffer.empty() && ::poll(&wait, 1, 20) <= 0) {
                continue;
            }
            Request request;
            std::string first;
            if (!readMessage(fd, buffer, first, request.headers, request.body, nowMs() + 1000)) {
                break;
            }
            std::istringstream words(first);
            words >> request.method >> request.path;
            const std::optional<Response> response = m_handler(request);
            if (!response) {
                // The connection stays open and silent until its peer closes it.
                char byte = 0;
                while (m_running) {
                    if (::poll(&wait, 1, 20) > 0 && ::recv(fd, &byte, 1, 0) <= 0) {
                        break;
                    }
                }
                break;
            }
            if (cut || !m_running) {
                swallowed = true;
                continue;
            }
            const std::string text = "HTTP/1.1 " + std::to_string(response->status)
                    + " X\r\nContent-Type: application/json\r\nContent-Length: "
                    + std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
            if (::send(fd, text.data(), text.size(), MSG_NOSIGNAL) <= 0) {
                break;
            }
        }
        ::close(fd);
        --m_connections;
    }

    const std::string m_address;
    const Handler m_handler;
    int m_fd = -1;
    std::atomic<bool> m_running = false;
    std::atomic<int> m_connections = 0;
    std::thread m_thread;
};

// Workers

/// A run that a worker began, for the checks at the end.
struct RunEvent
{
    std::string task;
    std::uint64_t run = 0;
    std::string worker;
    std::int64_t begin = 0;
    /// -1 while it runs.
    std::int64_t end = -1;
    std::string how;
    /// Time at which `ack_cursor` reached the end; -1 before.
    std::int64_t notedAt = -1;
};

/// All runs of a case, in the order of their starts.
class Runs
{
public:
    explicit Runs(Record &record) : m_record(record) { }

    std::size_t begin(const std::string &task, std::uint64_t run, const std::string &worker)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({task, run, worker, nowMs(), -1, {}, -1});
        m_record.line(worker + " begins " + task + " run " + std::to_string(run));
        return m_runs.size() - 1;
    }
    void end(std::size_t index, const std::string &how)
    {
        const std::lock_guard lock(m_mutex);
        RunEvent &event = m_runs[index];
        event.end = nowMs();
        event.how = how;
        m_record.line(event.worker + " ends " + event.task + " run " + std::to_string(event.run)
                      + ": " + how);
    }
    void noted(std::size_t index)
    {
        const std::lock_guard lock(m_mutex);
        RunEvent &event = m_runs[index];
        if (event.notedAt < 0) {
            event.notedAt = nowMs();
            m_record.line("the end of " + event.task + " run " + std::to_string(event.run) + " on "
                          + event.worker + " is acknowledged");
        }
    }
    std::vector<RunEvent> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    Record &m_record;
    std::vector<RunEvent> m_runs;
};

/// What a worker does with a start order.
struct StartFault
{
    /// Answer with this status and do nothing; 0: no such answer.
    int refuseWith = 0;
    /// No answer; the order is carried out after this time; -1: it is carried out and answered now.
    std::int64_t lateByMs = -1;
};

struct WorkerOptions
{
    std::string id;
    std::string address;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    std::int64_t cpu = 16000;
    std::int64_t memMb = 32768;
};

/// A worker as PROTOCOL.md describes it. The run time of a task, in ms, is the spec of its job.
class Worker
{
public:
    static constexpr std::int64_t maxHoldMs = 6000;
    static constexpr std::int64_t stopMs = 100;
    static constexpr std::int64_t heartbeatMs = 1500;

    Worker(WorkerOptions options, std::vector<std::string> controls, Runs &runs, Record &record)
        : m_options(std::move(options)), m_controls(std::move(controls)), m_runs(runs),
          m_record(record)
    { }
    ~Worker() { crash(); }

    const std::string &id() const { return m_options.id; }

    /// Begins a new life. The first heartbeat follows after the delay.
    void start(std::int64_t firstBeatAfterMs = 0)
    {
        const std::lock_guard lock(m_lifeMutex);
        m_life = std::make_shared<Life>();
        m_life->born = wallMs();
        m_life->bootedAt = nowMs();
        m_state = "ready";
        m_server = std::make_unique<Server>(
                m_options.address, [this, life = m_life](const Request &request) {
                    return handle(*life, request);
                });
        m_server->start();
        m_record.line(id() + " starts, born " + std::to_string(m_life->born));
        m_ticker = std::thread([this, life = m_life] {
            while (!life->over) {
                tick(*life);
                sleepMs(2);
            }
        });
        m_beater = std::thread([this, life = m_life, firstBeatAfterMs] {
            std::int64_t next = nowMs() + firstBeatAfterMs;
            while (!life->over) {
                if (nowMs() >= next && m_beating) {
                    beat(*life);
                    next = nowMs() + heartbeatMs;
                }
                sleepMs(5);
            }
        });
    }

    /// Ends at once: nothing runs any more, and the port is closed.
    void crash()
    {
        const std::lock_guard lock(m_lifeMutex);
        if (!m_life || m_life->over) {
            return;
        }
        m_record.line(id() + " ends");
        {
            const std::lock_guard state(m_life->mutex);
            m_life->over = true;
            for (const auto &[task, run] : m_life->running) {
                m_runs.end(run.event, "gone");
            }
            m_life->running.clear();
            m_life->changed.notify_all();
        }
        m_ticker.join();
        m_beater.join();
        m_server->stop();
    }

    /// Reports the state until a control instance has acknowledged it.
    bool report(const std::string &state)
    {
        {
            const std::lock_guard lock(m_life->mutex);
            m_state = state;
        }
        for (int attempt = 0; attempt < 5; ++attempt) {
            if (beat(*m_life)) {
                return true;
            }
        }
        return false;
    }

    /// Control instance for the next heartbeat or DELETE.
    void preferControl(std::size_t index) { m_next = index; }
    void setBeating(bool beating) { m_beating = beating; }

    /// DELETE, to the next control instance after a second without an answer.
    bool deregister()
    {
        for (int attempt = 0; attempt < 5; ++attempt) {
            const std::string to = m_controls[m_next % m_controls.size()];
            const Response response = call(to, "DELETE", "/v1/instances/" + id());
            m_record.line(id() + " DELETE to " + to + ": "
                          + (response.status == 0 ? "no answer in 1 s"
                                                  : std::to_string(response.status)));
            if (response.status / 100 == 2) {
                return true;
            }
            ++m_next;
        }
        return false;
    }

    void cut(bool on)
    {
        m_record.line(id() + (on ? " is cut off from the core" : " is reachable again"));
        m_server->cut = on;
        m_beating = !on;
        // Until each connection's thread has seen the flag.
        sleepMs(50);
    }

    std::int64_t usedCpu() const
    {
        const std::lock_guard lock(m_life->mutex);
        return m_life->usedCpu;
    }

    /// Consulted for each start, with the number of times that this run was ordered before.
    std::function<StartFault(const std::string &task, std::uint64_t run, int before)> startFault;
    /// Whether a start may carry this ticket; unset where no advice is needed.
    std::function<bool(const std::string &task, const std::string &ticket)> ticketHolds;
    /// Processor need of a task, by the id of its job.
    std::function<std::int64_t(const std::string &task)> cpuOf;

private:
    struct Running
    {
        std::uint64_t run = 0;
        std::int64_t endsAt = 0;
        std::int64_t stopsAt = -1;
        std::int64_t cpu = 0;
        std::int64_t workMs = 1;
        std::size_t event = 0;
    };
    struct Ended
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::size_t event = 0;
    };
    struct Life
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::atomic<bool> over = false;
        std::int64_t born = 0;
        std::int64_t bootedAt = 0;
        std::uint64_t sequence = 0;
        std::uint64_t fence = 0;
        std::int64_t leaseUntil = 0;
        std::int64_t usedCpu = 0;
        std::map<std::string, Running> running;
        std::map<std::string, std::uint64_t> highestOver;
        std::vector<Ended> ended;
        std::uint64_t lastNumber = 0;
        std::map<std::pair<std::string, std::uint64_t>, int> orders;

        std::int64_t clock() const { return nowMs() - bootedAt + 1000; }
    };

    bool beat(Life &life)
    {
        Json body;
        {
            const std::lock_guard lock(life.mutex);
            body = {{"service", m_options.service}, {"address", m_options.address},
                    {"zone", m_options.zone},       {"version", "v1"},
                    {"slots", 8},                   {"state", m_state},
                    {"cold_remaining_ms", 0},       {"labels", m_options.labels},
                    {"clock_ms", life.clock()},     {"sequence", ++life.sequence},
                    {"born", life.born}};
            body["capacity"] = {{"cpu", m_options.cpu}, {"mem_mb", m_options.memMb}, {"gpu", 0}};
            if (m_state == "draining") {
                body["remaining_ms"] = 2000;
            }
        }
        const std::string to = m_controls[m_next % m_controls.size()];
        const Response response = call(to, "PUT", "/v1/instances/" + id(), body.dump());
        if (response.status / 100 != 2) {
            m_record.line(id() + " heartbeat to " + to + ": "
                          + (response.status == 0 ? "no answer in 1 s"
                                                  : std::to_string(response.status)));
            ++m_next;
            return false;
        }
        if (m_state != m_recordedState || life.born != m_recordedBorn) {
            m_recordedState = m_state;
            m_recordedBorn = life.born;
            m_record.line(id() + " " + std::string(m_state) + ", born " + std::to_string(life.born)
                          + ": acknowledged by " + to);
        }
        return true;
    }

    void end(Life &life, const std::string &task, const std::string &how)
    {
        const Running run = life.running.at(task);
        life.running.erase(task);
        life.usedCpu -= run.cpu;
        life.highestOver[task] = std::max(life.highestOver[task], run.run);
        m_runs.end(run.event, how);
        life.ended.push_back({++life.lastNumber, task, run.run, how, run.event});
        life.changed.notify_all();
    }

    void tick(Life &life)
    {
        const std::lock_guard lock(life.mutex);
        const std::int64_t now = nowMs();
        std::vector<std::pair<std::string, std::string>> over;
        for (const auto &[task, run] : life.running) {
            if (life.clock() > life.leaseUntil) {
                over.emplace_back(task, "lapsed");
            } else if (run.stopsAt >= 0 && now >= run.stopsAt) {
                over.emplace_back(task, "stopped");
            } else if (now >= run.endsAt) {
                over.emplace_back(task, "done");
            }
        }
        if (!life.over) {
            for (const auto &[task, how] : over) {
                end(life, task, how);
            }
        }
    }

    Response reply(const Life &life, int status, Json body = Json::object()) const
    {
        body["clock_ms"] = life.clock();
        body["born"] = life.born;
        return {status, body.dump()};
    }

    void extendLease(Life &life, std::int64_t until)
    {
        life.leaseUntil = std::max(life.leaseUntil, std::min(until, life.clock() + maxHoldMs));
    }

    Response startRun(Life &life, const Json &order)
    {
        const std::lock_guard lock(life.mutex);
        const std::string task = order.at("task");
        const std::uint64_t run = order.at("run");
        const std::uint64_t fence = order.value("fencing_token", 0);
        const std::int64_t deadline = order.at("deadline_ms");
        if (life.over) {
            return {503, "{}"};
        }
        if (fence < life.fence) {
            return reply(life, 409, {{"reason", "fence"}});
        }
        life.fence = fence;
        if (deadline <= life.clock()) {
            return reply(life, 409, {{"reason", "late"}});
        }
        extendLease(life, deadline);
        const auto there = life.running.find(task);
        if (there != life.running.end() && there->second.run == run) {
            return reply(life, 200);
        }
        if (there != life.running.end() || run <= life.highestOver[task]) {
            return reply(life, 409, {{"reason", "old"}});
        }
        if (ticketHolds && !ticketHolds(task, order.value("ticket", std::string()))) {
            return reply(life, 409, {{"reason", "ticket"}});
        }
        const std::int64_t cpu = cpuOf ? cpuOf(task) : 1000;
        if (life.usedCpu + cpu > m_options.cpu) {
            return reply(life, 409, {{"reason", "room"}});
        }
        Running started;
        started.run = run;
        started.cpu = cpu;
        started.workMs = std::max<std::int64_t>(std::stoll(order.at("spec").get<std::string>()), 1);
        started.endsAt = nowMs() + started.workMs;
        started.event = m_runs.begin(task, run, id());
        life.usedCpu += cpu;
        life.running[task] = started;
        return reply(life, 200);
    }

    std::optional<Response> handle(Life &life, const Request &request)
    {
        const auto expected = request.headers.find("x-dandelionloom-expect-instance");
        if (expected != request.headers.end() && expected->second != id()) {
            return reply(life, 421);
        }
        const Json order = Json::parse(request.body, nullptr, false);
        if (order.is_discarded()) {
            return reply(life, 400);
        }
        if (request.path == "/v1/run-start") {
            const std::string task = order.at("task");
            const std::uint64_t run = order.at("run");
            StartFault fault;
            if (startFault) {
                const std::lock_guard lock(life.mutex);
                fault = startFault(task, run, life.orders[{task, run}]++);
            }
            const std::string name = id() + " gets start of " + task + " run " + std::to_string(run);
            if (fault.refuseWith != 0) {
                m_record.line(name + ": answers " + std::to_string(fault.refuseWith)
                              + " and does nothing");
                return reply(life, fault.refuseWith);
            }
            if (fault.lateByMs >= 0) {
                m_record.line(name + ": no answer, carried out " + std::to_string(fault.lateByMs)
                              + " ms later");
                std::thread([this, late = fault.lateByMs, order, name, current = m_life] {
                    sleepMs(late);
                    const Response response = startRun(*current, order);
                    m_record.line(name + ", carried out late: " + std::to_string(response.status)
                                  + " " + response.body);
                }).detach();
                return std::nullopt;
            }
            const Response response = startRun(life, order);
            m_record.line(name + ": " + std::to_string(response.status)
                          + (response.status == 200 ? "" : " " + response.body));
            return response;
        }
        std::unique_lock lock(life.mutex);
        const std::uint64_t fence = order.value("fencing_token", 0);
        if (fence < life.fence) {
            return reply(life, 409, {{"reason", "fence"}});
        }
        life.fence = fence;
        if (request.path == "/v1/run-stop") {
            const std::string task = order.at("task");
            const std::uint64_t run = order.at("run");
            const auto there = life.running.find(task);
            const bool runs = there != life.running.end() && there->second.run == run;
            if (runs && there->second.stopsAt < 0) {
                there->second.stopsAt = nowMs() + stopMs;
            }
            life.highestOver[task] = std::max(life.highestOver[task], run);
            if (m_stopsRecorded[task]++ < 5) {
                m_record.line(id() + " gets stop of " + task + " run " + std::to_string(run)
                              + (runs ? "" : ", which isn't there") + ": 200");
            }
            return reply(life, 200);
        }
        if (request.path == "/v1/pace") {
            return reply(life, 200);
        }
        if (request.path != "/v1/hold") {
            return reply(life, 404);
        }
        if (order.contains("deadline_ms")) {
            extendLease(life, order.at("deadline_ms"));
        }
        const std::uint64_t cursor = order.value("ack_cursor", 0);
        std::erase_if(life.ended, [&](const Ended &ended) {
            if (ended.number <= cursor) {
                m_runs.noted(ended.event);
            }
            return ended.number <= cursor;
        });
        const std::int64_t wait = std::min<std::int64_t>(order.value("wait_ms", 0), 2000);
        life.changed.wait_for(lock, std::chrono::milliseconds(wait),
                              [&] { return life.over || !life.ended.empty(); });
        Json running = Json::array();
        for (const auto &[task, run] : life.running) {
            const std::int64_t left = std::max<std::int64_t>(run.endsAt - nowMs(), 0);
            running.push_back({task, run.run, "", 99 - 99 * left / run.workMs, run.cpu});
        }
        Json ended = Json::array();
        for (const Ended &entry : life.ended) {
            ended.push_back({entry.number, entry.task, entry.run, entry.how, ""});
        }
        return reply(life, 200, {{"running", running}, {"ended_runs", ended}});
    }

    const WorkerOptions m_options;
    const std::vector<std::string> m_controls;
    Runs &m_runs;
    Record &m_record;
    std::mutex m_lifeMutex;
    std::shared_ptr<Life> m_life;
    std::unique_ptr<Server> m_server;
    std::thread m_ticker;
    std::thread m_beater;
    std::string m_state = "ready";
    std::string m_recordedState;
    std::int64_t m_recordedBorn = 0;
    std::atomic<bool> m_beating = true;
    std::atomic<std::size_t> m_next = 0;
    std::map<std::string, int> m_stopsRecorded;
};

// The system's processes

class Process
{
public:
    Process(std::string name, std::string role, std::string settings, std::string log)
        : m_name(std::move(name)), m_role(std::move(role)), m_settings(std::move(settings)),
          m_log(std::move(log))
    { }
    ~Process() { kill(); }

    void start()
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const std::string variable = "DANDELIONLOOM_NODE_FILE=" + m_settings;
            const char *const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
            ::execle("target/dandelionloom", "target/dandelionloom", m_role.c_str(), nullptr,
                     environment);
            ::_exit(127);
        }
    }
    void signal(int number) const { ::kill(m_pid, number); }
    bool running() { return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == 0; }
    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::kill(m_pid, SIGCONT);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }
    const std::string &name() const { return m_name; }

private:
    const std::string m_name;
    const std::string m_role;
    const std::string m_settings;
    const std::string m_log;
    pid_t m_pid = -1;
};

/// A small deployment: three control instances, two gateways, and one service.
class Deployment
{
public:
    static constexpr const char *host = "host.example";
    static constexpr const char *prefix = "/queue/";
    static constexpr const char *service = "service-a";
    static constexpr std::int64_t adviceDecisionMs = 20;
    static constexpr std::int64_t advicePerWorkerMs = 2;
    static constexpr std::int64_t adviceValidMs = 3000;

    /// Workers that the queue's policy allows; empty for a queue without advice.
    std::set<std::string> permitted;

    Deployment(Record &record) : m_record(record), m_runs(record)
    {
        ::signal(SIGPIPE, SIG_IGN);
        char folder[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(folder) == nullptr || ::access("target/dandelionloom", X_OK) != 0) {
            throw NotRun("expected target/dandelionloom and a temporary folder");
        }
        m_folder = folder;
        std::mt19937 random(std::random_device{}());
        m_net = "127." + std::to_string(20 + random() % 200) + "."
                + std::to_string(1 + random() % 250) + ".";
        m_internal = 21000 + static_cast<int>(random() % 8000);
        m_control = m_internal + 100;
        m_front = m_internal + 101;
        m_ready = m_internal + 102;
        m_worker = m_internal + 103;
        m_advice = std::make_unique<Server>(
                m_net + "201:" + std::to_string(m_worker),
                [this](const Request &request) { return advise(request); });
        m_advice->start();
        m_cloud = std::make_unique<Server>(
                m_net + "200:" + std::to_string(m_worker),
                [this](const Request &request) { return cloud(request); });
        m_cloud->start();
        for (int index = 0; index < 3; ++index) {
            add("control", "core", index, 11 + index);
        }
        for (int index = 0; index < 2; ++index) {
            add("gateway", "front", index, 21 + index);
        }
    }

    ~Deployment()
    {
        m_workers.clear();
        m_processes.clear();
        m_cloud.reset();
        m_advice.reset();
        const char *const keep = std::getenv("KEEP");
        if (keep == nullptr) {
            const std::string command = "rm -rf '" + m_folder + "'";
            if (std::system(command.c_str()) != 0) {
                std::cerr << "could not remove " << m_folder << "\n";
            }
        } else {
            std::cerr << m_folder << "\n";
        }
    }

    Worker &addWorker(const std::string &id, const std::string &kind)
    {
        const int number = static_cast<int>(m_workers.size()) + 1;
        WorkerOptions options;
        options.id = id;
        options.address = m_net + std::to_string(100 + number) + ":" + std::to_string(m_worker);
        options.service = service;
        options.zone = zoneOf(number % 3);
        options.labels = {kind, "r1-" + std::to_string(number)};
        m_workers.push_back(std::make_unique<Worker>(options, m_controls, m_runs, m_record));
        m_workers.back()->preferControl(static_cast<std::size_t>(number) % 3);
        m_workers.back()->cpuOf = [this](const std::string &task) {
            const std::lock_guard lock(m_mutex);
            return m_cpuOfJob[task.substr(0, task.find('.'))];
        };
        m_workers.back()->ticketHolds = [this, id](const std::string &task,
                                                   const std::string &ticket) {
            const std::lock_guard lock(m_mutex);
            const auto given = m_tickets.find({task.substr(0, task.rfind('.')), id, ticket});
            return permitted.empty()
                    || (given != m_tickets.end() && nowMs() - given->second < adviceValidMs);
        };
        return *m_workers.back();
    }

    /// Starts everything, sends the configuration, and waits until a job is served.
    void start()
    {
        for (const auto &process : m_processes) {
            process->start();
        }
        Json route = {{"name", "route-a"},      {"host", host},
                            {"path_prefix", prefix},  {"route_type", "unsafe"},
                            {"timeout_ms", 3000},     {"target_latency_ms", 600},
                            {"priority", 0},          {"service", service},
                            {"max_attempts", 3},      {"stretch", 2.0}};
        if (!permitted.empty()) {
            route["advice"] = {{"decision_ms", adviceDecisionMs},
                               {"per_worker_ms", advicePerWorkerMs},
                               {"valid_ms", adviceValidMs}};
        }
        const Json pool = {{"name", service},         {"health_path", "/healthz"},
                           {"max_connections", 64},   {"protocol", "h1"},
                           {"tls", false},            {"admission_control", true},
                           {"standby", false}};
        const Json configuration = {{"version", 1},
                                    {"routes", Json::array({route})},
                                    {"services", Json::array({pool})},
                                    {"limits",
                                     {{"max_header_bytes", 16384},
                                      {"max_body_bytes", 262144},
                                      {"header_timeout_ms", 3000},
                                      {"idle_timeout_ms", 15000}}}};
        const std::int64_t deadline = nowMs() + 20000;
        bool configured = false;
        for (std::size_t turn = 0; !configured && nowMs() < deadline; ++turn) {
            sleepMs(200);
            configured =
                    call(m_controls[turn % 3], "PUT", "/v1/config", configuration.dump()).status
                    == 200;
        }
        if (!configured) {
            throw NotRun("the configuration was not acknowledged within 20 s");
        }
        m_record.line("the configuration is acknowledged");
        for (const auto &worker : m_workers) {
            worker->start();
        }
        sleepMs(3000);
        const std::string job = submit(1, 1000, 100);
        if (!waitFor(job, "completed", 5000)) {
            throw NotRun("the first job was not completed within 5 s");
        }
    }

    /// Hands a job of one step in and returns its id. Throws NotRun if it is not accepted.
    std::string submit(int count, std::int64_t cpu, std::int64_t workMs,
                       const std::string &label = {}, bool lasts = false)
    {
        char id[17];
        ++m_jobs;
        std::snprintf(id, sizeof id, "%08x%08x", 0xabcd0000U + m_jobs, m_jobs);
        {
            const std::lock_guard lock(m_mutex);
            m_cpuOfJob[id] = cpu;
        }
        Json step = {{"count", count}, {"cpu", cpu}, {"mem_mb", 256}, {"estimate_ms", workMs}};
        if (!label.empty()) {
            step["required_label"] = label;
        }
        if (lasts) {
            step["long_running"] = true;
        }
        const Json body = {{"spec", std::to_string(workMs)}, {"steps", Json::array({step})}};
        for (int attempt = 0; attempt < 4; ++attempt) {
            const Response response = request("POST", id, body.dump());
            m_record.line("client submits " + std::string(id) + ": " + std::to_string(count)
                          + " tasks of " + std::to_string(cpu) + " and " + std::to_string(workMs)
                          + " ms" + (label.empty() ? "" : ", label " + label)
                          + (lasts ? ", which last" : "") + ": "
                          + std::to_string(response.status));
            if (response.status == 200) {
                return id;
            }
            sleepMs(500);
        }
        throw NotRun("a job was not accepted");
    }

    int cancel(const std::string &job)
    {
        const int status = request("DELETE", job, {}).status;
        m_record.line("client cancels " + job + ": " + std::to_string(status));
        return status;
    }

    std::string state(const std::string &job)
    {
        const Response response = request("GET", job, {});
        const Json body = Json::parse(response.body, nullptr, false);
        return response.status == 200 && body.is_object() ? body.value("state", std::string())
                                                          : std::to_string(response.status);
    }

    /// Number of pending jobs that the queue gives; -1 without an answer.
    int pending()
    {
        const Response response = request("GET", {}, {});
        const Json body = Json::parse(response.body, nullptr, false);
        return response.status == 200 && body.is_object() ? body.value("pending", -1) : -1;
    }

    bool waitFor(const std::string &job, const std::string &wanted, std::int64_t limitMs)
    {
        const std::int64_t deadline = nowMs() + limitMs;
        while (nowMs() < deadline) {
            if (state(job) == wanted) {
                m_record.line("client is told that " + job + " is " + wanted);
                return true;
            }
            sleepMs(100);
        }
        return false;
    }

    /// Index of the control instance that became leader last, by its metrics.
    std::size_t leader() const
    {
        for (std::size_t index = 0; index < 3; ++index) {
            const Response response = call(m_net + std::to_string(11 + index) + ":9464", "GET",
                                           "/metrics");
            if (response.body.find("\ndandelionloom_job_leaderships_total ") != std::string::npos
                || response.body.starts_with("dandelionloom_job_leaderships_total ")) {
                return index;
            }
        }
        throw NotRun("no control instance says that it became leader");
    }

    Process &control(std::size_t index) { return *m_processes[index]; }
    Runs &runs() { return m_runs; }

    /// Names of processes that have ended by themselves.
    std::string ended()
    {
        std::string names;
        for (const auto &process : m_processes) {
            names += process->running() ? "" : process->name() + " ";
        }
        return names;
    }

private:
    static std::string zoneOf(int index) { return std::string("zone-") + "abc"[index]; }

    Response request(const std::string &method, const std::string &job, const std::string &body)
    {
        const std::string gateway =
                m_net + std::to_string(21 + m_requests++ % 2) + ":" + std::to_string(m_front);
        return call(gateway, method, prefix + job, body,
                    std::string("Host: ") + host + "\r\nX-Dandelionloom-Deadline-Ms: 3000\r\n",
                    3000);
    }

    std::optional<Response> cloud(const Request &request)
    {
        if (request.method != "GET" || request.path.substr(0, 12) != "/v1/machines") {
            return Response{409, R"({"reason":"busy"})"};
        }
        Json machines = Json::array();
        int number = 0;
        for (const auto &worker : m_workers) {
            ++number;
            machines.push_back({{"machine", "m-" + std::to_string(number)},
                                {"pool", service},
                                {"state", "up"},
                                {"zone", zoneOf(number % 3)},
                                {"labels", {"r1-" + std::to_string(number)}},
                                {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}}},
                                {"id", worker->id()}});
        }
        return Response{200, Json{{"machines", machines}, {"next_page_token", nullptr}}.dump()};
    }

    std::optional<Response> advise(const Request &request)
    {
        const Json order = Json::parse(request.body, nullptr, false);
        if (request.path != "/v1/advise" || !order.is_object()) {
            return Response{400, "{}"};
        }
        const std::lock_guard oneCall(m_adviceMutex);
        const std::string step = order.at("step");
        const std::vector<std::string> asked = order.at("workers");
        sleepMs(adviceDecisionMs + advicePerWorkerMs * static_cast<std::int64_t>(asked.size()));
        Json good = Json::array();
        const std::lock_guard lock(m_mutex);
        for (const std::string &worker : asked) {
            if (permitted.contains(worker)) {
                const std::string ticket = "t-" + std::to_string(++m_lastTicket);
                m_tickets[{step, worker, ticket}] = nowMs();
                good.push_back({worker, ticket});
            }
        }
        if (m_adviceRecorded[step]++ < 5) {
            std::string names;
            for (const std::string &worker : asked) {
                names += " " + worker;
            }
            m_record.line("advice on " + step + " is asked for" + names + ": "
                          + std::to_string(good.size()) + " may run it");
        }
        return Response{200, Json{{"good", good}, {"valid_ms", adviceValidMs}}.dump()};
    }

    void add(const std::string &role, const std::string &machineClass, int index, int last)
    {
        const std::string ip = m_net + std::to_string(last);
        const std::string name = machineClass + "-" + std::to_string(index + 1);
        std::string seeds;
        for (int seed = 11; seed <= 13; ++seed) {
            seeds += (seed > 11 ? "," : "") + ("\"" + m_net + std::to_string(seed)) + ":"
                    + std::to_string(m_control) + "\"";
        }
        const std::string file = m_folder + "/" + name + ".toml";
        std::ofstream out(file);
        out << "node_name = \"" << name << "\"\nrole = \"" << role << "\"\nmachine_class = \""
            << machineClass << "\"\nserves = [\"" << (role == "gateway" ? "front" : "control")
            << "\"]\nip = \"" << ip << "\"\nzone = \"" << zoneOf(index)
            << "\"\nregion = \"region\"\ninternal_port_range = [" << m_internal << ","
            << m_internal + 15 << "]\nseeds = [" << seeds
            << "]\nbootstrap = true\nin_tolerance = " << (role == "control" ? "true" : "false")
            << "\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1500\n"
            << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\","
               "\"advice\",\"upkeep\",\"sharing\"]\nconfig_mode = \"highest\"\norders = \"call\"\n"
            << "advice = \"" << m_net << "201:" << m_worker << "\"\n";
        if (role == "control") {
            const std::string data = m_folder + "/data-" + name;
            ::mkdir(data.c_str(), 0755);
            out << "data_dir = \"" << data << "\"\n";
        }
        out << "[zones]\nzone-a = \"region\"\nzone-b = \"region\"\nzone-c = \"region\"\n"
            << "[bind_addrs]\n";
        if (role == "control") {
            m_controls.push_back(ip + ":" + std::to_string(m_control));
            out << "control = \"" << m_controls.back() << "\"\n";
        } else {
            out << "front = \"" << ip << ":" << m_front << "\"\nready = \"" << ip << ":" << m_ready
                << "\"\n";
        }
        out << "[limits]\ncpu_share = 0.39\ncpu_cores = 1\nmemory_mb = 256\nmax_open_files = 4096\n"
            << "link_mbps = 1000.0\ndisk_mb = " << (role == "control" ? 128 : 0) << "\n"
            << "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\n"
               "ack_timeout_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\n"
               "loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n"
               "max_stretch_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 6000\nstop_grace_ms = 400\n"
               "gang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n"
               "finish_s = 14\nstatus_s = 120\nremote_slowdown = 2\ncheckpoint_interval_s = 0.5\n"
               "restore_ms = 250\nnotice_ms = 4500\nmigrate_s = 1.5\nmaintenance_s = 2\n"
               "fencing_required = true\nlease_ms = 3000\nthaw_slack_ms = 300\npace_ms = 100\n"
               "interference_ms = 4000\n"
            << "[cloud]\naddress = \"" << m_net << "200:" << m_worker
            << "\"\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n";
        m_processes.push_back(
                std::make_unique<Process>(name, role, file, m_folder + "/" + name + ".log"));
    }

    Record &m_record;
    Runs m_runs;
    std::string m_folder;
    std::string m_net;
    int m_internal = 0;
    int m_control = 0;
    int m_front = 0;
    int m_ready = 0;
    int m_worker = 0;
    std::unique_ptr<Server> m_cloud;
    std::unique_ptr<Server> m_advice;
    std::vector<std::string> m_controls;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::mutex m_mutex;
    std::mutex m_adviceMutex;
    std::map<std::string, std::int64_t> m_cpuOfJob;
    std::map<std::tuple<std::string, std::string, std::string>, std::int64_t> m_tickets;
    std::map<std::string, int> m_adviceRecorded;
    unsigned m_lastTicket = 0;
    unsigned m_jobs = 0;
    std::atomic<unsigned> m_requests = 0;
};

/// The first two runs of one task that overlap, or of which one began after the other had ended
/// `done` and that end was acknowledged; empty if there are none.
inline std::string ranTwice(const std::vector<RunEvent> &runs)
{
    for (const RunEvent &first : runs) {
        for (const RunEvent &second : runs) {
            if (&first == &second || first.task != second.task || second.begin < first.begin) {
                continue;
            }
            const std::string both = first.task + ": run " + std::to_string(first.run) + " on "
                    + first.worker + " and run " + std::to_string(second.run) + " on "
                    + second.worker;
            if (first.end < 0 || second.begin < first.end) {
                return both + " at the same time";
            }
            if (first.how == "done" && first.notedAt >= 0) {
                return both + ", after the first had ended done and this was acknowledged";
            }
        }
    }
    return {};
}

} // namespace review
