#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Adapters/Peers/EventLoop.h"
#include "Ports/DecisionLog.h"
#include "Ports/PeerTransport.h"
#include "Runtime/JobCalls.h"

namespace dandelionloom {

/// Finds the leader of the job journal and forwards calls to it. Used on the event loop's thread
/// only; answers of the transport are posted to that thread.
class LeaderClient
{
public:
    /// `addPeer` is called with each new control instance, to make it reachable by its name.
    LeaderClient(EventLoop &loop, PeerTransport &transport, DecisionLog &log,
                 std::function<void(const std::string &)> addPeer);
    ~LeaderClient();

    /// Starts to locate the leader periodically. From then on, calls fail immediately while no
    /// leader has answered lately, so that the caller can turn to another instance without a
    /// time-out.
    void start();
    void addControlInstance(const std::string &name);
    /// Sets the leader as this instance's own journal knows it; empty if it is unknown.
    void setKnownLeader(const std::string &name);
    /// Forwards the call to the leader and repeats it until it is answered or `deadline` passes.
    /// Calls of every kind can be repeated safely.
    void call(const JobCall &call, SteadyTimeMs deadline, JobReplyCallback reply);
    /// True if a leader has answered lately.
    bool isReady(SteadyTimeMs now) const;
    const std::string &leader() const { return m_leader; }

private:
    struct ForwardedCall
    {
        std::string body;
        std::string requestId;
        bool isSubmission = false;
        SteadyTimeMs deadline = 0;
        /// An attempt may have taken effect, so the call must not be reported as refused.
        bool inDoubt = false;
        std::uint32_t attempts = 0;
        /// Instance that the last attempt was sent to. Empty before the first attempt and between
        /// two attempts.
        std::string target;
        /// Number of attempts sent. The results of earlier ones than the last are not reported.
        std::uint64_t sent = 0;
        /// Attempts without a result yet.
        std::uint32_t openAttempts = 0;
        bool answered = false;
        JobReplyCallback reply;
    };

    /// Sends the call to the next target, or ends it if its deadline has passed.
    void sendAttempt(const std::shared_ptr<ForwardedCall> &forwarded);
    void retry(const std::shared_ptr<ForwardedCall> &forwarded);
    /// Sends the calls that wait for another instance to the known leader, in the order of their
    /// arrival. Otherwise they would wait for a time-out, and calls that arrive later would be
    /// answered first.
    void redirectToLeader();
    void answer(const std::shared_ptr<ForwardedCall> &forwarded, const JobCallAnswer &answer);
    /// `attempt` is the value of `sent` when the attempt was sent.
    void onAnswer(const std::shared_ptr<ForwardedCall> &forwarded, const std::string &target,
                  std::uint64_t attempt, const PeerResult &result);
    /// Asks once, and again after the interval.
    void locate();
    void sendLocate();
    void onLocated(const std::string &target, const PeerResult &result);
    /// Instance for the attempt that follows `attempts` earlier ones; empty if none is known.
    std::string target(std::uint32_t attempts) const;

    EventLoop &m_loop;
    PeerTransport &m_transport;
    DecisionLog &m_log;
    const std::function<void(const std::string &)> m_addPeer;
    std::shared_ptr<LeaderClient *> m_alive;
    std::set<std::string> m_controlInstances;
    /// Calls that were not answered, in the order of their arrival.
    std::list<std::shared_ptr<ForwardedCall>> m_unanswered;
    std::string m_leader;
    SteadyTimeMs m_leaderHeardAt = 0;
    bool m_wasReady = false;
    bool m_searching = false;
    std::uint32_t m_locateAttempts = 0;
    bool m_locating = false;
    /// An instance that the last answer named as the leader was asked at once, which happens once
    /// an interval.
    bool m_followedHint = false;
};

} // namespace dandelionloom
