#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "Ports/DecisionLog.h"
#include "Ports/MetricSink.h"
#include "Ports/ReplicatedLog.h"

namespace dandelionloom {

struct SettleQueueOptions
{
    Milliseconds proposeTimeout{2000};
    Milliseconds initialBackOff{50};
    Milliseconds maxBackOff{2000};
    /// A settlement that is not committed after this time is dropped. The outcome of its claim then
    /// stays unknown.
    Milliseconds giveUpAfter{60000};
    /// Encoded settlements in one command. Stays below the 256 KiB chunks that the log is sent in.
    std::size_t maxBatchBytes = 128 * 1024;
    /// Bounds the memory of the queue: each settlement may hold a stored answer of 16 KiB.
    std::size_t maxWaiting = 4096;
};

/// Writes the outcomes of keyed requests to their claims in the log, in batches, with one command
/// in flight.
class SettleQueue
{
public:
    SettleQueue(const SettleQueueOptions &options, ReplicatedLog &log, DecisionLog &decisions,
                MetricSink &metrics);
    /// Tries once more to write the queued settlements.
    ~SettleQueue();
    SettleQueue(const SettleQueue &) = delete;
    SettleQueue &operator=(const SettleQueue &) = delete;

    /// Queues a settlement and waits up to `wait` for its commit. False if it is not committed yet
    /// or was dropped because the queue is full or stopping.
    bool settle(RequestClaim claim, Milliseconds wait);

private:
    struct Item
    {
        RequestClaim claim;
        SteadyTimeMs queuedAt = 0;
        bool committed = false;
    };

    void run();
    std::vector<std::shared_ptr<Item>> takeBatch();
    bool write(const std::vector<std::shared_ptr<Item>> &batch);
    /// Returns a failed batch to the front of the queue, without the items past `giveUpAfter`.
    void putBack(std::vector<std::shared_ptr<Item>> batch);
    void reportLost(std::size_t count);

    const SettleQueueOptions m_options;
    ReplicatedLog &m_log;
    DecisionLog &m_decisions;
    MetricSink &m_metrics;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::condition_variable m_committed;
    std::deque<std::shared_ptr<Item>> m_waiting;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dandelionloom
