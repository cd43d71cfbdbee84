#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Adapters/Peers/EventLoop.h"
#include "Ports/DecisionLog.h"
#include "Ports/PeerTransport.h"
#include "Runtime/JobCalls.h"

namespace dandelionloom {

/// Finds the leader of the job journal and carries calls to it. Used on one event loop's thread;
/// answers of the transport are posted to it.
class LeaderClient
{
public:
    /// `addPeer` makes an instance callable by its name before its first use.
    LeaderClient(EventLoop &loop, PeerTransport &transport, DecisionLog &log,
                 std::function<void(const std::string &)> addPeer);
    ~LeaderClient();

    /// Starts looking for the leader every so often. From then on a call is answered at once when
    /// no leader has answered for a while: waiting would only keep the caller from a better place.
    void start();
    void addControlInstance(const std::string &name);
    /// What the own journal knows, on an instance that keeps one.
    void learnLeader(const std::string &name);
    /// Carries the call to the leader, trying again while it is certain that nothing was done or
    /// the call may be repeated, until `deadline`.
    void call(const JobCall &call, SteadyTimeMs deadline, JobReply reply);
    /// True if a leader has answered lately.
    bool isReady(SteadyTimeMs now) const;
    const std::string &leader() const { return m_leader; }

private:
    struct Attempt
    {
        std::string body;
        std::string requestId;
        SteadyTimeMs deadline = 0;
        /// An attempt may have taken effect: it must not be answered as refused any more.
        bool uncertain = false;
        std::uint32_t tries = 0;
        JobReply reply;
    };

    void attempt(const std::shared_ptr<Attempt> &attempt);
    void retry(const std::shared_ptr<Attempt> &attempt);
    void onAnswer(const std::shared_ptr<Attempt> &attempt, const std::string &target,
                  const PeerResult &result);
    void locate();
    void onLocated(const std::string &target, const PeerResult &result);
    std::string target(std::uint32_t tries) const;

    EventLoop &m_loop;
    PeerTransport &m_transport;
    DecisionLog &m_log;
    const std::function<void(const std::string &)> m_addPeer;
    std::shared_ptr<LeaderClient *> m_alive;
    std::set<std::string> m_instances;
    std::string m_leader;
    SteadyTimeMs m_answeredAt = 0;
    bool m_wasReady = false;
    bool m_looking = false;
    std::uint32_t m_nextProbe = 0;
    bool m_locating = false;
};

} // namespace dandelionloom
