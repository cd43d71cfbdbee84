#include "Runtime/LeaderClient.h"

#include <algorithm>
#include <iterator>

namespace dandelionloom {

namespace {

/// Pause between attempts. Short against an election of 0.6 to 1.2 s; an attempt costs a few bytes.
constexpr Milliseconds retryPause{80};

/// Time-out of one attempt, after which another instance is tried. It exceeds two syncs of a slow
/// disk and two network round trips many times.
constexpr std::int64_t attemptTimeoutMs = 900;

constexpr Milliseconds locateInterval{400};
/// The interval while no leader answers. All calls are refused until it is found.
constexpr Milliseconds searchInterval{200};
constexpr Milliseconds locateTimeout{350};

/// Delay that is suggested to refused callers. By then an election is over, and the load balancer
/// has seen a first failed health check of this instance.
constexpr std::int64_t refusalRetryAfterMs = 1000;

/// Time without an answer of a leader after which calls are refused, because callers are better
/// served by another instance.
constexpr std::int64_t leaderSilenceLimitMs = 1500;

} // namespace

LeaderClient::LeaderClient(EventLoop &loop, PeerTransport &transport, DecisionLog &log,
                           std::function<void(const std::string &)> addPeer)
    : m_loop(loop), m_transport(transport), m_log(log), m_addPeer(std::move(addPeer)),
      m_alive(std::make_shared<LeaderClient *>(this))
{ }

LeaderClient::~LeaderClient()
{
    m_alive.reset();
}

void LeaderClient::start()
{
    m_searching = true;
    locate();
}

void LeaderClient::addControlInstance(const std::string &name)
{
    if (!name.empty() && m_controlInstances.insert(name).second) {
        m_addPeer(name);
    }
}

void LeaderClient::setKnownLeader(const std::string &name)
{
    if (!name.empty()) {
        addControlInstance(name);
    }
    const bool changed = m_leader != name;
    m_leader = name;
    if (changed) {
        redirectToLeader();
    }
}

bool LeaderClient::isReady(SteadyTimeMs now) const
{
    return m_leaderHeardAt != 0 && now - m_leaderHeardAt < leaderSilenceLimitMs;
}

std::string LeaderClient::target(std::uint32_t attempts) const
{
    // Even attempts go to the known leader, odd ones to the other instances in turn, as they may
    // know a newer leader.
    if (!m_leader.empty() && attempts % 2 == 0) {
        return m_leader;
    }
    if (m_controlInstances.empty()) {
        return {};
    }
    auto choice = m_controlInstances.begin();
    std::advance(choice, (attempts / 2) % m_controlInstances.size());
    return *choice;
}

void LeaderClient::call(const JobCall &call, SteadyTimeMs deadline, JobReplyCallback reply)
{
    const auto forwarded = std::make_shared<ForwardedCall>();
    forwarded->body = packMessage(call);
    forwarded->requestId = call.requestId;
    forwarded->isSubmission = call.kind == JobCallKind::Submit;
    forwarded->deadline = deadline;
    forwarded->reply = std::move(reply);
    m_unanswered.push_back(forwarded);
    sendAttempt(forwarded);
}

void LeaderClient::answer(const std::shared_ptr<ForwardedCall> &forwarded,
                          const JobCallAnswer &answer)
{
    forwarded->answered = true;
    m_unanswered.remove(forwarded);
    forwarded->reply(answer);
}

void LeaderClient::redirectToLeader()
{
    if (m_leader.empty()) {
        return;
    }
    // Collected first, as calls whose deadline has passed are answered and removed.
    std::vector<std::shared_ptr<ForwardedCall>> elsewhere;
    std::copy_if(m_unanswered.begin(), m_unanswered.end(), std::back_inserter(elsewhere),
                 [this](const auto &forwarded) { return forwarded->target != m_leader; });
    for (const std::shared_ptr<ForwardedCall> &forwarded : elsewhere) {
        if (!forwarded->answered) {
            // The next even number of attempts, which selects the leader.
            forwarded->attempts = (forwarded->attempts + 2) / 2 * 2;
            sendAttempt(forwarded);
        }
    }
}

void LeaderClient::sendAttempt(const std::shared_ptr<ForwardedCall> &forwarded)
{
    const SteadyTimeMs now = steadyTimeNow();
    const std::string to = target(forwarded->attempts);
    const bool noLeader = m_searching && !isReady(now);
    if (now >= forwarded->deadline || noLeader) {
        const bool inDoubt = forwarded->inDoubt || forwarded->openAttempts > 0;
        JobCallAnswer refusal;
        refusal.outcome = inDoubt ? JobCallOutcome::Unknown : JobCallOutcome::NotLeader;
        refusal.reason = noLeader ? "no-leader" : "no-leader-in-time";
        refusal.retryAfterMs = refusalRetryAfterMs;
        answer(forwarded, refusal);
        return;
    }
    if (to.empty()) {
        retry(forwarded);
        return;
    }
    const std::int64_t time =
            std::clamp<std::int64_t>(forwarded->deadline - now, 1, attemptTimeoutMs);
    forwarded->target = to;
    ++forwarded->openAttempts;
    const std::uint64_t attempt = ++forwarded->sent;
    const std::weak_ptr<LeaderClient *> alive = m_alive;
    EventLoop &loop = m_loop;
    m_transport.call(to, PeerMessageKind::JobCall, forwarded->body, Milliseconds(time),
                     [alive, &loop, forwarded, to, attempt](PeerResult result) {
                         loop.post([alive, forwarded, to, attempt, result = std::move(result)] {
                             if (const auto client = alive.lock()) {
                                 (*client)->onAnswer(forwarded, to, attempt, result);
                             }
                         });
                     });
}

void LeaderClient::retry(const std::shared_ptr<ForwardedCall> &forwarded)
{
    ++forwarded->attempts;
    forwarded->target.clear();
    const std::weak_ptr<LeaderClient *> alive = m_alive;
    m_loop.startTimer(retryPause, [alive, forwarded, attempt = forwarded->sent] {
        const auto client = alive.lock();
        if (client && !forwarded->answered && forwarded->sent == attempt) {
            (*client)->sendAttempt(forwarded);
        }
    });
}

void LeaderClient::onAnswer(const std::shared_ptr<ForwardedCall> &forwarded,
                            const std::string &target, std::uint64_t attempt,
                            const PeerResult &result)
{
    --forwarded->openAttempts;
    if (forwarded->answered) {
        return;
    }
    const bool isLast = attempt == forwarded->sent;
    if (!isOk(result)) {
        forwarded->inDoubt = forwarded->inDoubt || errorOf(result).kind == PeerErrorKind::NoAnswer;
        if (m_leader == target) {
            m_leader.clear();
        }
        if (isLast) {
            retry(forwarded);
        }
        return;
    }
    const auto unpacked = unpackMessage<JobCallAnswer>(valueOf(result));
    if (!isOk(unpacked)) {
        m_log.event(LogSeverity::Warning, "leader-client",
                    "unreadable answer of " + target + " to " + forwarded->requestId);
        forwarded->inDoubt = true;
        if (isLast) {
            retry(forwarded);
        }
        return;
    }
    const JobCallAnswer &received = valueOf(unpacked);
    const bool isFinal = received.outcome != JobCallOutcome::NotLeader
            && received.outcome != JobCallOutcome::Unknown;
    if (!isFinal || !isLast) {
        forwarded->inDoubt = forwarded->inDoubt || received.outcome != JobCallOutcome::NotLeader;
    }
    if (!isLast) {
        // The instance led when it decided, but the call was sent to a later leader since then.
        return;
    }
    if (!isFinal) {
        if (m_leader == target) {
            m_leader.clear();
        }
        if (!received.leader.empty() && received.leader != target) {
            addControlInstance(received.leader);
            m_leader = received.leader;
            // The next even number of attempts, which selects the leader.
            forwarded->attempts = (forwarded->attempts + 2) / 2 * 2;
            sendAttempt(forwarded);
            return;
        }
        retry(forwarded);
        return;
    }
    m_leaderHeardAt = steadyTimeNow();
    m_leader = target;
    const bool refused = received.outcome == JobCallOutcome::Busy
            || received.outcome == JobCallOutcome::Unauthenticated
            || (forwarded->isSubmission && received.outcome == JobCallOutcome::NotFound);
    if (refused && (forwarded->inDoubt || forwarded->openAttempts > 0)) {
        // An earlier attempt may have been accepted, so the call can't be reported as refused.
        JobCallAnswer unknown;
        unknown.outcome = JobCallOutcome::Unknown;
        unknown.reason = "earlier-attempt-unanswered";
        answer(forwarded, unknown);
    } else {
        answer(forwarded, received);
    }
    redirectToLeader();
}

void LeaderClient::sendLocate()
{
    const std::string to = target(m_locateAttempts);
    const std::weak_ptr<LeaderClient *> alive = m_alive;
    EventLoop &loop = m_loop;
    if (!to.empty() && !m_locating) {
        m_locating = true;
        m_transport.call(to, PeerMessageKind::Locate, {}, locateTimeout,
                         [alive, &loop, to](PeerResult result) {
                             loop.post([alive, to, result = std::move(result)] {
                                 if (const auto client = alive.lock()) {
                                     (*client)->onLocated(to, result);
                                 }
                             });
                         });
    }
}

void LeaderClient::locate()
{
    m_followedHint = false;
    sendLocate();
    const bool ready = isReady(steadyTimeNow());
    if (ready != m_wasReady) {
        m_wasReady = ready;
        m_log.event(LogSeverity::Info, "leader-client",
                    ready ? "leader " + m_leader + " answers" : "no leader answers");
    }
    const std::weak_ptr<LeaderClient *> alive = m_alive;
    m_loop.startTimer(ready ? locateInterval : searchInterval, [alive] {
        if (const auto client = alive.lock()) {
            (*client)->locate();
        }
    });
}

void LeaderClient::onLocated(const std::string &target, const PeerResult &result)
{
    m_locating = false;
    const auto unpacked = isOk(result) ? unpackMessage<LocateAnswer>(valueOf(result))
                                       : Result<LocateAnswer, std::monostate>(std::monostate{});
    if (!isOk(unpacked)) {
        ++m_locateAttempts;
        if (m_leader == target) {
            m_leader.clear();
        }
        return;
    }
    const LocateAnswer &answer = valueOf(unpacked);
    for (const std::string &voter : answer.voters) {
        addControlInstance(voter);
    }
    if (answer.leads) {
        m_leaderHeardAt = steadyTimeNow();
        m_leader = target;
        m_locateAttempts = 0;
        redirectToLeader();
    } else {
        ++m_locateAttempts;
        if (m_leader == target || m_leader.empty()) {
            m_leader = answer.leader == target ? std::string() : answer.leader;
        }
        const bool isHint = !m_leader.empty() && m_leader == answer.leader;
        if (isHint && !m_followedHint) {
            // Even attempts go to the known leader.
            m_followedHint = true;
            m_locateAttempts += m_locateAttempts % 2;
            sendLocate();
        }
    }
}

} // namespace dandelionloom
