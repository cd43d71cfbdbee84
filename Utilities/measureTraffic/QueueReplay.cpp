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

constexpr double unboundedRate = 1e9;

struct Running
{
    double endsAt = 0;
    double startedAt = 0;
    std::size_t arrival = 0;
    WaitingRequest request;

    bool operator>(const Running &other) const { return endsAt > other.endsAt; }
};

/// State of one replay. Events are arrivals, overruns of short work, and ends of requests.
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
            finishUntil(m_arrivals[index].atMs);
            arrive(index);
            startWaiting(m_arrivals[index].atMs);
        }
        finishUntil(std::numeric_limits<double>::infinity());
        for (double start = 0; start < m_arrivals.back().atMs; start += m_deployment.periodMs) {
            m_result.capacityInPeaksMs += m_deployment.slots() * m_deployment.peakMs;
        }
        return std::move(m_result);
    }

private:
    static SteadyTimeMs rounded(double ms) { return static_cast<SteadyTimeMs>(std::floor(ms)); }

    double deadlineOf(const Arrival &arrival) const
    {
        // Long work has a deadline in proportion to its run time.
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

    void arrive(std::size_t index)
    {
        const Arrival &arrival = m_arrivals[index];
        WaitingRequest request;
        request.id = index;
        request.plan = arrival.isLong ? "plan-long" : "plan-" + std::to_string(arrival.plan);
        request.arrivedAt = rounded(arrival.atMs);
        request.deadlineAt = rounded(deadlineOf(arrival));
        if (!arrival.isLong) {
            ++m_result.offered[arrival.plan];
        }
        if (m_options.policy == QueuePolicy::Fifo) {
            m_fifo.push_back(request);
            return;
        }
        request.workClass = classify(m_times, kindOf(arrival, index), m_runTimeLimits);
        PlanShare share;
        share.slots = m_options.slotsPerPlan > 0 ? m_options.slotsPerPlan : m_deployment.slots();
        share.requestsPerSecond = m_options.ratePerPlan > 0 && !arrival.isLong
                ? m_options.ratePerPlan
                : unboundedRate;
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

    std::optional<WaitingRequest> next(double nowMs)
    {
        if (m_options.policy == QueuePolicy::Classes) {
            std::vector<WaitingRequest> expired;
            auto request = takeNext(m_queue, capacity(), rounded(nowMs), m_options.limits, expired);
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

    void startWaiting(double nowMs)
    {
        while (auto request = next(nowMs)) {
            const Arrival &arrival = m_arrivals[request->id];
            if (!arrival.isLong) {
                m_result.shortWaitsMs.push_back(nowMs - arrival.atMs);
            }
            m_running.push({nowMs + arrival.runMs, nowMs, request->id, *request});
        }
    }

    void finishUntil(double untilMs)
    {
        while (!m_running.empty() && m_running.top().endsAt <= untilMs) {
            const Running done = m_running.top();
            m_running.pop();
            account(done);
            if (m_options.policy == QueuePolicy::Classes) {
                observeRunTime(m_times, kindOf(m_arrivals[done.arrival], done.arrival),
                               done.endsAt - done.startedAt, m_runTimeLimits);
                finish(m_queue, done.request, done.endsAt - done.startedAt);
                markOverruns(done.endsAt);
            }
            startWaiting(done.endsAt);
        }
    }

    /// Reclassifies running short work that has overrun. The product does it with a timer.
    void markOverruns(double nowMs)
    {
        if (nowMs < m_nextOverrunCheck) {
            return;
        }
        constexpr double checkIntervalMs = 50;
        m_nextOverrunCheck = nowMs + checkIntervalMs;
        std::vector<Running> running;
        while (!m_running.empty()) {
            running.push_back(m_running.top());
            m_running.pop();
        }
        for (Running &item : running) {
            if (item.request.workClass == WorkClass::Short
                && hasOverrun(m_times, nowMs - item.startedAt, m_runTimeLimits)) {
                reclassifyAsLong(m_queue, item.request);
            }
            m_running.push(item);
        }
    }

    void account(const Running &done)
    {
        const Arrival &arrival = m_arrivals[done.arrival];
        const bool inTime = done.endsAt <= deadlineOf(arrival);
        if (arrival.isLong) {
            m_result.longWorkDoneMs += inTime ? arrival.runMs : 0;
        } else {
            m_result.served[arrival.plan] += inTime ? 1 : 0;
        }
        const double inPeriod = std::fmod(done.endsAt, m_deployment.periodMs);
        if (inTime && inPeriod < m_deployment.peakMs) {
            m_result.goodputInPeaksMs += std::min(arrival.runMs, inPeriod);
        }
    }

    const Deployment &m_deployment;
    const std::vector<Arrival> &m_arrivals;
    const ReplayOptions &m_options;
    const RunTimeLimits m_runTimeLimits;
    ServiceQueue m_queue;
    ServiceRunTimes m_times;
    std::deque<WaitingRequest> m_fifo;
    std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
    double m_nextOverrunCheck = 0;
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
