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
    Milliseconds firstBackOff{50};
    Milliseconds longestBackOff{2000};
    /// How long a settlement is tried. Afterwards its claim reads unknown.
    Milliseconds giveUpAfter{60000};
    /// Settlements of one command, below the 256 KiB chunks that the log is sent in.
    std::size_t maxBatchBytes = 128 * 1024;
    /// Settlements that wait at most; each may hold a stored answer of 16 KiB.
    std::size_t maxWaiting = 4096;
};

/// Writes the ends of keyed requests to the log, in batches, one command at a time.
class SettleQueue
{
public:
    SettleQueue(const SettleQueueOptions &options, ReplicatedLog &log, DecisionLog &decisions,
                MetricSink &metrics);
    /// Tries once more to write what waits.
    ~SettleQueue();
    SettleQueue(const SettleQueue &) = delete;
    SettleQueue &operator=(const SettleQueue &) = delete;

    /// Queues a settlement and waits up to `wait` for its commit. True if it was committed.
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
    /// Puts a failed batch back in front, without the items that are too old.
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
