// The processes of a small deployment, their settings files, and HTTP calls to them.
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
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

using Json = nlohmann::json;

inline std::int64_t steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// The case could not run, which says nothing about the system.
struct CannotRun
{
    std::string reason;
};

/// Writes the record of the case: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path) : m_out(path, std::ios::trunc), m_start(steadyMs()) { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ",
                      static_cast<double>(steadyMs() - m_start) / 1000);
        m_out << time << text << std::endl;
    }
    /// Notes that the rule was broken.
    void broken(const std::string &text)
    {
        line("BROKEN " + text);
        ++m_breaks;
    }
    int breaks() const { return m_breaks; }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    std::int64_t m_start;
    std::atomic<int> m_breaks{0};
};

struct HttpMessage
{
    /// First line: request line or status line.
    std::string start;
    std::string method;
    std::string path;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

inline int connectTo(const std::string &address, int timeoutMs)
{
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&to), sizeof to) != 0
        && errno != EINPROGRESS) {
        ::close(descriptor);
        return -1;
    }
    pollfd entry{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t length = sizeof error;
    if (::poll(&entry, 1, timeoutMs) != 1
        || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        ::close(descriptor);
        return -1;
    }
    const int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return descriptor;
}

inline int listenOn(const std::string &ip, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0
        || ::listen(descriptor, 256) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

inline bool sendAll(int descriptor, const std::string &bytes, int timeoutMs = 2000)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
                ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        pollfd entry{descriptor, POLLOUT, 0};
        if (errno != EAGAIN || ::poll(&entry, 1, timeoutMs) != 1) {
            return false;
        }
    }
    return true;
}

/// Reads one message with Content-Length. `buffer` keeps bytes of the next one. False at the end of
/// the connection or after the time-out.
inline bool readMessage(int descriptor, std::string &buffer, HttpMessage &message,
                        std::int64_t timeoutMs)
{
    const std::int64_t until = steadyMs() + timeoutMs;
    for (;;) {
        const auto end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            message = {};
            std::size_t line = buffer.find("\r\n");
            message.start = buffer.substr(0, line);
            while (line < end) {
                const std::size_t next = buffer.find("\r\n", line + 2);
                const std::string header = buffer.substr(line + 2, next - line - 2);
                const auto colon = header.find(':');
                std::string name = header.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(),
                               [](unsigned char c) { return std::tolower(c); });
                const auto value = header.find_first_not_of(' ', colon + 1);
                message.headers[name] = value == std::string::npos ? "" : header.substr(value);
                line = next;
            }
            const auto length = message.headers.find("content-length");
            const std::size_t size =
                    length == message.headers.end() ? 0 : std::stoul(length->second);
            if (buffer.size() >= end + 4 + size) {
                message.body = buffer.substr(end + 4, size);
                buffer.erase(0, end + 4 + size);
                const auto space = message.start.find(' ');
                const auto second = message.start.find(' ', space + 1);
                message.method = message.start.substr(0, space);
                message.path = message.start.substr(space + 1, second - space - 1);
                if (message.method.starts_with("HTTP/")) {
                    message.status = std::stoi(message.path);
                }
                return true;
            }
        }
        const std::int64_t left = until - steadyMs();
        pollfd entry{descriptor, POLLIN, 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char bytes[16384];
        const ssize_t count = ::recv(descriptor, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

/// Status 0: no response.
struct Answer
{
    int status = 0;
    std::string body;
};

inline Answer call(const std::string &address, const std::string &method, const std::string &path,
                   const std::string &body, std::int64_t timeoutMs, const std::string &host = {},
                   const std::string &headers = {})
{
    const int descriptor = connectTo(address, static_cast<int>(timeoutMs));
    if (descriptor < 0) {
        return {};
    }
    const std::string request = method + " " + path + " HTTP/1.1\r\nHost: "
            + (host.empty() ? address : host) + "\r\nContent-Type: application/json\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    HttpMessage response;
    const bool answered =
            sendAll(descriptor, request) && readMessage(descriptor, buffer, response, timeoutMs);
    ::close(descriptor);
    return answered ? Answer{response.status, response.body} : Answer{};
}

inline std::string renderAnswer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
            + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The processes of the system under test, each at a loopback address of its own.
class System
{
public:
    System(Record &record, int controls, int gateways) : m_record(record)
    {
        std::random_device random;
        char folder[] = "/tmp/review-2-XXXXXX";
        if (::mkdtemp(folder) == nullptr) {
            throw CannotRun{"no temporary folder"};
        }
        m_folder = folder;
        for (int attempt = 0; attempt < 50 && m_network.empty(); ++attempt) {
            const std::string network = "127." + std::to_string(20 + random() % 200) + "."
                    + std::to_string(random() % 250);
            m_port = 20000 + static_cast<int>(random() % 8000);
            if (isFree(network)) {
                m_network = network;
            }
        }
        if (m_network.empty()) {
            throw CannotRun{"no free ports"};
        }
        for (int index = 0; index < controls; ++index) {
            m_processes.push_back({"control", ip(10 + index), 0});
        }
        for (int index = 0; index < gateways; ++index) {
            m_processes.push_back({"gateway", ip(60 + index), 0});
        }
    }
    ~System()
    {
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            kill(index);
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(m_folder, ignored);
        }
    }

    std::string ip(int host) const { return m_network + "." + std::to_string(host); }
    int port() const { return m_port + 20; }
    const std::string &folder() const { return m_folder; }
    std::size_t size() const { return m_processes.size(); }
    /// Index of the process at this address; -1 if there is none.
    int indexOf(const std::string &ip) const
    {
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            if (m_processes[index].ip == ip) {
                return static_cast<int>(index);
            }
        }
        return -1;
    }
    std::string ipOf(std::size_t index) const { return m_processes[index].ip; }
    std::string control(std::size_t index) const
    {
        return m_processes[index].ip + ":" + std::to_string(m_port + 16);
    }
    std::vector<std::string> controls() const
    {
        std::vector<std::string> addresses;
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            if (m_processes[index].role == "control") {
                addresses.push_back(control(index));
            }
        }
        return addresses;
    }
    std::vector<std::string> fronts() const
    {
        std::vector<std::string> addresses;
        for (const Process &process : m_processes) {
            if (process.role == "gateway") {
                addresses.push_back(process.ip + ":" + std::to_string(m_port + 17));
            }
        }
        return addresses;
    }

    void setCloud(const std::string &address) { m_cloud = address; }

    void startAll()
    {
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            start(index, true);
        }
    }
    void start(std::size_t index, bool bootstrap)
    {
        Process &process = m_processes[index];
        const std::string name = process.role + "-" + std::to_string(index);
        const std::string settings = m_folder + "/" + name + ".toml";
        const std::string data = m_folder + "/" + name + ".data";
        if (process.role == "control") {
            std::filesystem::create_directories(data);
        }
        writeSettings(process, settings, data, bootstrap);
        const std::string variable = "DANDELIONLOOM_NODE_FILE=" + settings;
        const std::string log = m_folder + "/" + name + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const char *arguments[] = {"target/dandelionloom", process.role.c_str(), nullptr};
            const char *environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
            ::execve(arguments[0], const_cast<char **>(arguments),
                     const_cast<char **>(environment));
            ::_exit(127);
        }
        process.pid = pid;
        m_record.line("start " + name + " at " + process.ip);
    }
    void signal(std::size_t index, int number)
    {
        if (m_processes[index].pid > 0) {
            m_record.line("signal " + std::to_string(number) + " to " + m_processes[index].role
                          + " at " + m_processes[index].ip);
            ::kill(m_processes[index].pid, number);
        }
    }
    void kill(std::size_t index)
    {
        Process &process = m_processes[index];
        if (process.pid > 0) {
            m_record.line("kill " + process.role + " at " + process.ip);
            ::kill(process.pid, SIGKILL);
            ::waitpid(process.pid, nullptr, 0);
            process.pid = 0;
        }
    }
    /// Resident memory in bytes; 0 if the process does not run.
    std::size_t memoryOf(std::size_t index) const
    {
        std::ifstream in("/proc/" + std::to_string(m_processes[index].pid) + "/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        in >> total >> resident;
        return m_processes[index].pid > 0 && in
                ? resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE))
                : 0;
    }
    /// Index of the control instance that was the last to log that it leads; -1 if none does.
    int leader() const
    {
        int last = -1;
        std::int64_t lastTerm = -1;
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            if (m_processes[index].role != "control" || m_processes[index].pid == 0) {
                continue;
            }
            std::ifstream in(m_folder + "/control-" + std::to_string(index) + ".log");
            for (std::string line; std::getline(in, line);) {
                const Json entry = Json::parse(line, nullptr, false);
                if (entry.is_object() && entry.value("event", std::string()) == "lead"
                    && entry.value("term", std::int64_t{0}) > lastTerm) {
                    lastTerm = entry.value("term", std::int64_t{0});
                    last = static_cast<int>(index);
                }
            }
        }
        return last;
    }
    /// True if the process ended without being told to.
    bool hasEnded(std::size_t index)
    {
        Process &process = m_processes[index];
        if (process.pid > 0 && ::waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
            process.pid = 0;
            return true;
        }
        return false;
    }

private:
    struct Process
    {
        std::string role;
        std::string ip;
        pid_t pid = 0;
    };

    bool isFree(const std::string &network) const
    {
        for (const int port :
             {9464, m_port, m_port + 1, m_port + 16, m_port + 17, m_port + 18, m_port + 20}) {
            const int descriptor = listenOn(network + ".10", port);
            if (descriptor < 0) {
                return false;
            }
            ::close(descriptor);
        }
        return true;
    }
    void writeSettings(const Process &process, const std::string &path, const std::string &data,
                       bool bootstrap) const
    {
        std::ofstream out(path);
        std::string seeds;
        for (const std::string &address : controls()) {
            seeds += (seeds.empty() ? "\"" : ",\"") + address + "\"";
        }
        const char *const zones[] = {"zone-a", "zone-b", "zone-c"};
        const bool control = process.role == "control";
        out << "node_name = \"" << process.role << "-" << process.ip << "\"\nrole = \""
            << process.role << "\"\nmachine_class = \"" << (control ? "core" : "front")
            << "\"\nserves = [\"" << (control ? "control" : "front") << "\"]\nip = \"" << process.ip
            << "\"\nzone = \"" << zones[static_cast<std::size_t>(indexOf(process.ip)) % 3]
            << "\"\nregion = \"region-1\"\ninternal_port_range = [" << m_port << "," << m_port + 15
            << "]\nseeds = [" << seeds << "]\nbootstrap = " << (bootstrap ? "true" : "false")
            << "\nin_tolerance = " << (control ? "true" : "false")
            << "\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1500\n"
            << "config_mode = \"highest\"\norders = \"call\"\n";
        if (control) {
            out << "data_dir = \"" << data << "\"\n";
        }
        out << "[zones]\nzone-a = \"region-1\"\nzone-b = \"region-1\"\nzone-c = \"region-1\"\n"
            << "[bind_addrs]\n";
        if (control) {
            out << "control = \"" << process.ip << ":" << m_port + 16 << "\"\n";
        } else {
            out << "front = \"" << process.ip << ":" << m_port + 17 << "\"\nready = \""
                << process.ip << ":" << m_port + 18 << "\"\n";
        }
        out << "[limits]\ncpu_share = 0.39\ncpu_cores = 1\nmemory_mb = " << (control ? 256 : 260)
            << "\nmax_open_files = 4096\nlink_mbps = 1000.0\ndisk_mb = " << (control ? 128 : 0)
            << "\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\n"
            << "ack_timeout_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\n"
            << "loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n"
            << "max_stretch_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 6000\nstop_grace_ms = 400\n"
            << "gang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n"
            << "finish_s = 14\nstatus_s = 120\nremote_slowdown = 2\ncheckpoint_interval_s = 0.5\n"
            << "restore_ms = 250\nnotice_ms = 4500\nmigrate_s = 1.5\nmaintenance_s = 2\n"
            << "fencing_required = true\nlease_ms = 3000\nthaw_slack_ms = 300\npace_ms = 100\n"
            << "interference_ms = 4000\n[cloud]\naddress = \"" << m_cloud
            << "\"\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n";
    }

    Record &m_record;
    std::string m_folder;
    std::string m_network;
    std::string m_cloud;
    int m_port = 0;
    std::vector<Process> m_processes;
};
