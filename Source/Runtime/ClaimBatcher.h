#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Ports/ReplicatedLog.h"
#include "Runtime/SettleQueue.h"

namespace dandelionloom {

struct ClaimBatcherOptions
{
    Milliseconds proposeTimeout{1000};
    /// Pause before a command that the log did not accept is sent again.
    Milliseconds backOff{50};
    /// About 128 KiB of claims, below the 256 KiB chunks that the log is sent in.
    std::size_t maxBatch = 256;
};

/// Why a claim has no answer. The request was not and will not be run by this claim.
struct ClaimFailure
{
    std::string reason;
};

/// Claims keyed requests in the log: one command for all that wait, one command at a time.
class ClaimBatcher
{
public:
    ClaimBatcher(const ClaimBatcherOptions &options, ReplicatedLog &log, SettleQueue &settlements);
    ~ClaimBatcher();
    ClaimBatcher(const ClaimBatcher &) = delete;
    ClaimBatcher &operator=(const ClaimBatcher &) = delete;

    /// Blocks until the log answered or until `deadlineAt`. A claim that is granted after its
    /// caller gave up is settled as not run.
    Result<ClaimAnswer, ClaimFailure> claim(RequestClaim claim, SteadyTimeMs deadlineAt);

private:
    struct Item
    {
        RequestClaim claim;
        SteadyTimeMs deadlineAt = 0;
        std::optional<Result<ClaimAnswer, ClaimFailure>> answer;
        bool abandoned = false;
        /// The claim was in a command that may be accepted later.
        bool maybeClaimed = false;
        std::condition_variable answered;
    };
    using Batch = std::vector<std::shared_ptr<Item>>;

    void run();
    Batch takeBatch();
    void deliver(const Batch &batch, const Result<CommandOutcome, LogError> &result);
    void deliverOne(Item &item, const ClaimAnswer &answer);
    void fail(Item &item, const std::string &reason);
    /// True if the claim may be sent again.
    static bool isRepeatable(LogErrorKind kind);

    const ClaimBatcherOptions m_options;
    ReplicatedLog &m_log;
    SettleQueue &m_settlements;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::shared_ptr<Item>> m_waiting;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dandelionloom
