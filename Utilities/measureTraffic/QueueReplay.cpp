#include "QueueReplay.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <queue>

namespace dandelionloom::measure {

namespace {

constexpr double unlimitedRate = 1e9;

struct RunningRequest
{
    double endsAt = 0;
    double startedAt = 0;
    std::size_t arrival = 0;
    WaitingRequest request;

    bool operator>(const RunningRequest &other) const { return endsAt > other.endsAt; }
};

/// Discrete-event simulation of one service queue. Events are arrivals, overruns of short requests
/// and completions.
class Replay
{
public:
    Replay(const Deployment &deployment, const std::vector<Arrival> &arrivals,
           const ReplayOptions &options)
        : m_deployment(deployment), m_arrivals(arrivals), m_options(options)
    { }

    ReplayResult run()
    {
        for (std::size_t index = 0; index < m_arrivals.size(); ++index) {
            completeUntil(m_arrivals[index].atMs);
            enqueue(index);
            startQueued(m_arrivals[index].atMs);
        }
        completeUntil(std::numeric_limits<double>::infinity());
        for (double start = 0; start < m_arrivals.back().atMs; start += m_deployment.periodMs) {
            m_result.capacityInPeaksMs += m_deployment.slots() * m_deployment.peakMs;
        }
        return std::move(m_result);
    }

private:
    static SteadyTimeMs toSteadyTime(double ms)
    {
        return static_cast<SteadyTimeMs>(std::floor(ms));
    }

    double deadlineOf(const Arrival &arrival) const
    {
        // The deadlines of long requests are longer in proportion to their run time.
        const double factor = arrival.isLong ? m_deployment.longFactor : 1;
        return arrival.atMs + m_deployment.deadlineMs * factor;
    }

    std::string kindOf(const Arrival &arrival, std::size_t index) const
    {
        if (arrival.isUnknownKind) {
            return "new-" + std::to_string(index);
        }
        return arrival.isLong ? "long" : "short";
    }

    void enqueue(std::size_t index)
    {
        const Arrival &arrival = m_arrivals[index];
        WaitingRequest request;
        request.id = index;
        request.plan = arrival.isLong ? "plan-long" : "plan-" + std::to_string(arrival.plan);
        request.arrivedAt = toSteadyTime(arrival.atMs);
        request.deadlineAt = toSteadyTime(deadlineOf(arrival));
        if (!arrival.isLong) {
            ++m_result.offered[arrival.plan];
        }
        if (m_options.policy == QueuePolicy::Fifo) {
            m_fifo.push_back(request);
            return;
        }
        request.workClass = classify(m_runTimes, kindOf(arrival, index), m_runTimeLimits);
        PlanShare share;
        share.slots = m_options.slotsPerPlan > 0 ? m_options.slotsPerPlan : m_deployment.slots();
        share.requestsPerSecond = m_options.ratePerPlan > 0 && !arrival.isLong
                ? m_options.ratePerPlan
                : unlimitedRate;
        const AdmissionDecision decision =
                admit(m_queue, request, share, capacity(), request.arrivedAt, m_options.limits);
        m_result.refusedEarly += decision.admitted ? 0 : 1;
        m_result.refusedEarly += decision.displaced ? 1 : 0;
    }

    ServiceCapacity capacity() const
    {
        const auto used = static_cast<std::uint32_t>(m_running.size());
        return {m_deployment.slots(), m_deployment.slots() - used};
    }

    std::optional<WaitingRequest> takeNextRequest(double nowMs)
    {
        if (m_options.policy == QueuePolicy::Classes) {
            std::vector<WaitingRequest> expired;
            auto request =
                    takeNext(m_queue, capacity(), toSteadyTime(nowMs), m_options.limits, expired);
            m_result.expired += expired.size();
            return request;
        }
        while (!m_fifo.empty() && static_cast<double>(m_fifo.front().deadlineAt) <= nowMs) {
            ++m_result.expired;
            m_fifo.pop_front();
        }
        if (m_fifo.empty() || capacity().free == 0) {
            return std::nullopt;
        }
        WaitingRequest request = m_fifo.front();
        m_fifo.pop_front();
        return request;
    }

    void startQueued(double nowMs)
    {
        while (auto request = takeNextRequest(nowMs)) {
            const Arrival &arrival = m_arrivals[request->id];
            if (!arrival.isLong) {
                m_result.shortWaitsMs.push_back(nowMs - arrival.atMs);
            }
            m_running.push({nowMs + arrival.runMs, nowMs, request->id, *request});
        }
    }

    void completeUntil(double untilMs)
    {
        while (!m_running.empty() && m_running.top().endsAt <= untilMs) {
            const RunningRequest completed = m_running.top();
            m_running.pop();
            recordCompletion(completed);
            if (m_options.policy == QueuePolicy::Classes) {
                observeRunTime(m_runTimes, kindOf(m_arrivals[completed.arrival], completed.arrival),
                               completed.endsAt - completed.startedAt, m_runTimeLimits);
                finish(m_queue, completed.request, completed.endsAt - completed.startedAt);
                reclassifyOverruns(completed.endsAt);
            }
            startQueued(completed.endsAt);
        }
    }

    /// Reclassifies running short requests that have overrun. The gateway does this with a timer.
    void reclassifyOverruns(double nowMs)
    {
        if (nowMs < m_nextOverrunCheckMs) {
            return;
        }
        constexpr double checkIntervalMs = 50;
        m_nextOverrunCheckMs = nowMs + checkIntervalMs;
        std::vector<RunningRequest> running;
        while (!m_running.empty()) {
            running.push_back(m_running.top());
            m_running.pop();
        }
        for (RunningRequest &item : running) {
            if (item.request.workClass == WorkClass::Short
                && hasOverrun(m_runTimes, nowMs - item.startedAt, m_runTimeLimits)) {
                reclassifyAsLong(m_queue, item.request);
            }
            m_running.push(item);
        }
    }

    void recordCompletion(const RunningRequest &completed)
    {
        const Arrival &arrival = m_arrivals[completed.arrival];
        const bool metDeadline = completed.endsAt <= deadlineOf(arrival);
        if (arrival.isLong) {
            m_result.longWorkDoneMs += metDeadline ? arrival.runMs : 0;
        } else {
            m_result.served[arrival.plan] += metDeadline ? 1 : 0;
        }
        const double periodOffsetMs = std::fmod(completed.endsAt, m_deployment.periodMs);
        if (metDeadline && periodOffsetMs < m_deployment.peakMs) {
            m_result.goodputInPeaksMs += std::min(arrival.runMs, periodOffsetMs);
        }
    }

    const Deployment &m_deployment;
    const std::vector<Arrival> &m_arrivals;
    const ReplayOptions &m_options;
    const RunTimeLimits m_runTimeLimits;
    ServiceQueue m_queue;
    ServiceRunTimes m_runTimes;
    std::deque<WaitingRequest> m_fifo;
    std::priority_queue<RunningRequest, std::vector<RunningRequest>, std::greater<>> m_running;
    double m_nextOverrunCheckMs = 0;
    ReplayResult m_result;
};

} // namespace

double ReplayResult::shortWaitP99Ms() const
{
    if (shortWaitsMs.empty()) {
        return 0;
    }
    std::vector<double> sorted = shortWaitsMs;
    const auto position = static_cast<std::ptrdiff_t>(0.99 * static_cast<double>(sorted.size()));
    std::nth_element(sorted.begin(), sorted.begin() + position, sorted.end());
    return sorted[static_cast<std::size_t>(position)];
}

ReplayResult replay(const Deployment &deployment, const std::vector<Arrival> &arrivals,
                    const ReplayOptions &options)
{
    return Replay(deployment, arrivals, options).run();
}

} // namespace dandelionloom::measure
