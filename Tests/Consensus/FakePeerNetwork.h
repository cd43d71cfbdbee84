#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "Ports/PeerTransport.h"

namespace dandelionloom::test {

/// Connects the transports of several replicas in one process. Links can be cut in one direction.
class FakePeerNetwork
{
public:
    FakePeerNetwork();
    ~FakePeerNetwork();

    /// Creates the transport of an instance. It replaces the handlers of an earlier one.
    std::unique_ptr<PeerTransport> transport(const std::string &name);
    /// Sets whether an instance accepts connections.
    void setUp(const std::string &name, bool up);
    void cut(const std::string &from, const std::string &to);
    /// Makes calls in one direction fail as if the address of `to` were unknown. Answers to calls
    /// in the other direction arrive.
    void forgetAddress(const std::string &from, const std::string &to);
    void isolate(const std::string &name);
    void heal();
    /// Number of calls of a kind that reached a handler at `to`.
    std::size_t delivered(const std::string &to, PeerMessageKind kind) const;

private:
    class Transport;
    using HandlerTable = std::map<PeerMessageKind, PeerTransport::Handler>;

    void run();
    void at(SteadyTimeMs time, std::function<void()> task);
    void call(const std::string &from, const std::string &to, PeerMessageKind kind,
              std::string body, Milliseconds timeout, PeerTransport::Reply reply);
    bool isCut(const std::string &from, const std::string &to) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<SteadyTimeMs, std::function<void()>> m_tasks;
    bool m_stopped = false;
    std::map<std::string, std::shared_ptr<HandlerTable>> m_handlers;
    std::set<std::string> m_down;
    std::set<std::string> m_isolated;
    std::set<std::pair<std::string, std::string>> m_cut;
    std::set<std::pair<std::string, std::string>> m_unknown;
    std::map<std::pair<std::string, PeerMessageKind>, std::size_t> m_delivered;
    std::thread m_thread;
};

} // namespace dandelionloom::test
