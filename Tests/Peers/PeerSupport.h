#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Adapters/Peers/Http2PeerTransport.h"

namespace dandelionloom::test {

/// Lets a test wait for state changes made by other threads.
class Signal
{
public:
    /// Runs the function under the lock and wakes all waiting threads.
    void change(const std::function<void()> &change)
    {
        const std::lock_guard lock(m_mutex);
        change();
        m_changed.notify_all();
    }

    /// Returns false if the condition did not become true within the limit.
    bool waitFor(const std::function<bool()> &condition, Milliseconds limit = Milliseconds(10000))
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, limit, condition);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
};

/// Records log messages.
class LogRecorder : public DecisionLog
{
public:
    void write(const Decision &) override { }
    void event(LogSeverity, const std::string &, const std::string &message) override
    {
        m_signal.change([&] { m_lines.push_back(message); });
    }

    bool waitForLine(const std::string &part)
    {
        return m_signal.waitFor([&] { return countMatching(part) > 0; });
    }
    std::size_t count(const std::string &part)
    {
        std::size_t result = 0;
        m_signal.change([&] { result = countMatching(part); });
        return result;
    }

private:
    std::size_t countMatching(const std::string &part) const
    {
        std::size_t result = 0;
        for (const std::string &line : m_lines) {
            result += line.find(part) == std::string::npos ? 0 : 1;
        }
        return result;
    }

    Signal m_signal;
    std::vector<std::string> m_lines;
};

/// Sums the counters by name and labels.
class MetricRecorder : public MetricSink
{
public:
    void count(const std::string &name, const std::string &labels, double amount) override
    {
        const std::lock_guard lock(m_mutex);
        m_counts[name + "{" + labels + "}"] += amount;
    }
    void gauge(const std::string &, const std::string &, double) override { }
    void observe(const std::string &, const std::string &, double) override { }

    double value(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        return m_counts[key];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, double> m_counts;
};

/// The peer transport of one entry instance, with its log and metrics.
struct PeerNode
{
    explicit PeerNode(const std::string &name, std::vector<PeerAddress> peers = {},
                      PeerTransportOptions options = {}, PeerIdentity identity = {},
                      const std::string &listenAddress = "127.0.0.1:0")
        : transport(withDefaults(std::move(identity), name), listenAddress, std::move(peers),
                    options, log, metrics)
    { }

    static PeerIdentity withDefaults(PeerIdentity identity, const std::string &name)
    {
        identity.name = name;
        identity.clusterId = identity.clusterId.empty() ? "cluster-1" : identity.clusterId;
        identity.group = identity.group.empty() ? "region-1" : identity.group;
        identity.credential = identity.credential.empty() ? "secret-1" : identity.credential;
        return identity;
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(transport.port()); }

    /// Makes a call and waits for the reply.
    PeerResult call(const std::string &peer, PeerMessageKind kind, const std::string &body,
                    Milliseconds timeout = Milliseconds(5000))
    {
        Signal signal;
        std::vector<PeerResult> replies;
        transport.call(peer, kind, body, timeout, [&](PeerResult result) {
            signal.change([&] { replies.push_back(std::move(result)); });
        });
        if (!signal.waitFor([&] { return !replies.empty(); }, Milliseconds(30000))) {
            throw std::runtime_error("a call was not answered within 30 s");
        }
        return replies.front();
    }

    LogRecorder log;
    MetricRecorder metrics;
    Http2PeerTransport transport;
};

/// TCP relay between clients and one server. Can discard the bytes from the server while the
/// connections stay open.
class ByteRelay
{
public:
    explicit ByteRelay(std::uint16_t targetPort);
    ~ByteRelay();

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    void dropResponses(bool dropped);
    std::size_t acceptedCount();

private:
    struct Pair
    {
        int client = -1;
        int server = -1;
    };
    void accept();
    void forward(std::size_t index, bool fromServer);
    void closePair(std::size_t index);

    const std::uint16_t m_targetPort;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    EventLoop m_loop;
    std::vector<Pair> m_pairs;
    std::vector<std::pair<EventLoop::WatchId, EventLoop::WatchId>> m_watches;
    bool m_droppingResponses = false;
};

} // namespace dandelionloom::test
