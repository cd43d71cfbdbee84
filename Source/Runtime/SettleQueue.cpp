#include "Runtime/SettleQueue.h"

#include <algorithm>
#include <utility>

namespace dandelionloom {

namespace {

/// Encoded size of a claim besides its stored answer, rounded up.
constexpr std::size_t claimOverheadBytes = 512;

} // namespace

SettleQueue::SettleQueue(const SettleQueueOptions &options, ReplicatedLog &log,
                         DecisionLog &decisions, MetricSink &metrics)
    : m_options(options), m_log(log), m_decisions(decisions), m_metrics(metrics),
      m_thread([this] { run(); })
{ }

SettleQueue::~SettleQueue()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

bool SettleQueue::settle(RequestClaim claim, Milliseconds wait)
{
    auto item = std::make_shared<Item>();
    item->claim = std::move(claim);
    item->queuedAt = steadyTimeNow();
    std::unique_lock lock(m_mutex);
    if (m_stopping || m_waiting.size() >= m_options.maxWaiting) {
        lock.unlock();
        reportLost(1);
        return false;
    }
    m_waiting.push_back(item);
    m_changed.notify_all();
    return m_committed.wait_for(lock, wait, [&] { return item->committed; });
}

void SettleQueue::run()
{
    Milliseconds backOff = m_options.initialBackOff;
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [&] { return m_stopping || !m_waiting.empty(); });
        if (m_waiting.empty()) {
            return;
        }
        std::vector<std::shared_ptr<Item>> batch = takeBatch();
        lock.unlock();
        const bool written = write(batch);
        lock.lock();
        if (written) {
            backOff = m_options.initialBackOff;
            for (const auto &item : batch) {
                item->committed = true;
            }
            m_committed.notify_all();
            continue;
        }
        if (m_stopping) {
            return;
        }
        putBack(std::move(batch));
        m_changed.wait_for(lock, backOff, [&] { return m_stopping; });
        backOff = std::min(backOff * 2, m_options.maxBackOff);
    }
}

std::vector<std::shared_ptr<SettleQueue::Item>> SettleQueue::takeBatch()
{
    std::vector<std::shared_ptr<Item>> batch;
    std::size_t bytes = 0;
    while (!m_waiting.empty()) {
        bytes += claimOverheadBytes + m_waiting.front()->claim.body.size();
        if (!batch.empty() && bytes > m_options.maxBatchBytes) {
            break;
        }
        batch.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
    return batch;
}

bool SettleQueue::write(const std::vector<std::shared_ptr<Item>> &batch)
{
    SettleRequests body;
    for (const auto &item : batch) {
        body.claims.push_back(item->claim);
    }
    return isOk(m_log.propose(std::move(body), m_options.proposeTimeout));
}

void SettleQueue::putBack(std::vector<std::shared_ptr<Item>> batch)
{
    const SteadyTimeMs oldestAllowed = steadyTimeNow() - m_options.giveUpAfter.count();
    const auto lost =
            std::erase_if(batch, [&](const auto &item) { return item->queuedAt < oldestAllowed; });
    m_waiting.insert(m_waiting.begin(), std::make_move_iterator(batch.begin()),
                     std::make_move_iterator(batch.end()));
    if (lost > 0) {
        reportLost(lost);
    }
}

void SettleQueue::reportLost(std::size_t count)
{
    m_metrics.count("dandelionloom_settlements_lost_total", "", static_cast<double>(count));
    m_decisions.event(LogSeverity::Warning, "gateway",
                      std::to_string(count)
                              + " settlements were not committed to the log; resends will "
                                "read an unknown outcome from their claims");
}

} // namespace dandelionloom
