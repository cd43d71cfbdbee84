#include "Runtime/LeaderClient.h"

#include <algorithm>

namespace dandelionloom {

namespace {

/// Pause between attempts: an election takes 0.6 to 1.2 s, and one attempt costs a few bytes.
constexpr Milliseconds retryPause{80};

/// Longest wait for one attempt. Two syncs of a slow disk and two trips fit many times over; a
/// silent connection is left for another instance within it.
constexpr std::int64_t attemptMs = 900;

constexpr Milliseconds locateInterval{400};
constexpr Milliseconds locateTimeout{350};

/// When a caller that was refused may try again: an election is over by then, and the balancer
/// has had its first miss.
constexpr std::int64_t comeBackMs = 1000;

/// Silence of the leader after which callers are better served elsewhere.
constexpr std::int64_t readyMs = 1500;

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
    m_looking = true;
    locate();
}

void LeaderClient::addControlInstance(const std::string &name)
{
    if (!name.empty() && m_instances.insert(name).second) {
        m_addPeer(name);
    }
}

void LeaderClient::learnLeader(const std::string &name)
{
    if (!name.empty()) {
        addControlInstance(name);
    }
    m_leader = name;
}

bool LeaderClient::isReady(SteadyTimeMs now) const
{
    return m_answeredAt != 0 && now - m_answeredAt < readyMs;
}

std::string LeaderClient::target(std::uint32_t tries) const
{
    // The known leader first, and between two attempts at it another instance that may know more.
    if (!m_leader.empty() && tries % 2 == 0) {
        return m_leader;
    }
    if (m_instances.empty()) {
        return {};
    }
    auto choice = m_instances.begin();
    std::advance(choice, (tries / 2) % m_instances.size());
    return *choice;
}

void LeaderClient::call(const JobCall &call, SteadyTimeMs deadline, JobReply reply)
{
    const auto next = std::make_shared<Attempt>();
    next->body = packMessage(call);
    next->requestId = call.requestId;
    next->deadline = deadline;
    next->reply = std::move(reply);
    attempt(next);
}

void LeaderClient::attempt(const std::shared_ptr<Attempt> &attempt)
{
    const SteadyTimeMs now = steadyTimeNow();
    const std::string to = target(attempt->tries);
    const bool hopeless = m_looking && !isReady(now);
    if (now >= attempt->deadline || hopeless) {
        JobCallAnswer answer;
        answer.outcome = attempt->uncertain ? JobCallOutcome::Unknown : JobCallOutcome::NotLeader;
        answer.reason = hopeless ? "no-leader" : "no-leader-in-time";
        answer.retryAfterMs = comeBackMs;
        attempt->reply(answer);
        return;
    }
    if (to.empty()) {
        retry(attempt);
        return;
    }
    const std::int64_t time = std::clamp<std::int64_t>(attempt->deadline - now, 1, attemptMs);
    const std::weak_ptr<LeaderClient *> alive = m_alive;
    EventLoop &loop = m_loop;
    m_transport.call(to, PeerMessageKind::JobCall, attempt->body, Milliseconds(time),
                     [alive, &loop, attempt, to](PeerResult result) {
                         loop.post([alive, attempt, to, result = std::move(result)] {
                             if (const auto client = alive.lock()) {
                                 (*client)->onAnswer(attempt, to, result);
                             }
                         });
                     });
}

void LeaderClient::retry(const std::shared_ptr<Attempt> &attempt)
{
    ++attempt->tries;
    const std::weak_ptr<LeaderClient *> alive = m_alive;
    m_loop.startTimer(retryPause, [alive, attempt] {
        if (const auto client = alive.lock()) {
            (*client)->attempt(attempt);
        }
    });
}

void LeaderClient::onAnswer(const std::shared_ptr<Attempt> &attempt, const std::string &target,
                            const PeerResult &result)
{
    if (!isOk(result)) {
        attempt->uncertain = attempt->uncertain || errorOf(result).kind == PeerErrorKind::NoAnswer;
        if (m_leader == target) {
            m_leader.clear();
        }
        retry(attempt);
        return;
    }
    const auto unpacked = unpackMessage<JobCallAnswer>(valueOf(result));
    if (!isOk(unpacked)) {
        m_log.event(LogSeverity::Warning, "leader-client",
                    "unreadable answer of " + target + " to " + attempt->requestId);
        attempt->uncertain = true;
        retry(attempt);
        return;
    }
    const JobCallAnswer &answer = valueOf(unpacked);
    if (answer.outcome == JobCallOutcome::NotLeader || answer.outcome == JobCallOutcome::Unknown) {
        attempt->uncertain = attempt->uncertain || answer.outcome == JobCallOutcome::Unknown;
        if (m_leader == target) {
            m_leader.clear();
        }
        if (!answer.leader.empty() && answer.leader != target) {
            learnLeader(answer.leader);
            // Even numbers of tries go to the leader.
            attempt->tries = (attempt->tries + 2) / 2 * 2;
            this->attempt(attempt);
            return;
        }
        retry(attempt);
        return;
    }
    m_answeredAt = steadyTimeNow();
    m_leader = target;
    if (answer.outcome == JobCallOutcome::Busy && attempt->uncertain) {
        // An earlier attempt may have been accepted, so "refused" could be untrue.
        JobCallAnswer unknown;
        unknown.outcome = JobCallOutcome::Unknown;
        unknown.reason = "earlier-attempt-unanswered";
        attempt->reply(unknown);
        return;
    }
    attempt->reply(answer);
}

void LeaderClient::locate()
{
    const std::string to = target(m_nextProbe);
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
    const bool ready = isReady(steadyTimeNow());
    if (ready != m_wasReady) {
        m_wasReady = ready;
        m_log.event(LogSeverity::Info, "leader-client",
                    ready ? "leader " + m_leader + " answers" : "no leader answers");
    }
    m_loop.startTimer(locateInterval, [alive] {
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
        ++m_nextProbe;
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
        m_answeredAt = steadyTimeNow();
        m_leader = target;
        m_nextProbe = 0;
    } else {
        ++m_nextProbe;
        if (m_leader == target || m_leader.empty()) {
            m_leader = answer.leader == target ? std::string() : answer.leader;
        }
    }
}

} // namespace dandelionloom
