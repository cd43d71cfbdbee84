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
    /// Pause before claims whose command was not accepted are proposed again.
    Milliseconds backOff{50};
    /// Maximum claims per command. They take about 128 KiB, below the 256 KiB chunks in which the
    /// log is replicated.
    std::size_t maxBatch = 256;
};

/// Why a claim failed. The request was not run for this claim and must not be.
struct ClaimFailure
{
    std::string reason;
};

/// Claims keyed requests in the replicated log. All pending claims are proposed as one command, and
/// one command at a time is in flight.
class ClaimBatcher
{
public:
    ClaimBatcher(const ClaimBatcherOptions &options, ReplicatedLog &log, SettleQueue &settlements);
    ~ClaimBatcher();
    ClaimBatcher(const ClaimBatcher &) = delete;
    ClaimBatcher &operator=(const ClaimBatcher &) = delete;

    /// Blocks until the log answers the claim or `deadlineAt` passes. A claim that is granted after
    /// its caller gave up is settled as not run.
    Result<ClaimResponse, ClaimFailure> claim(RequestClaim claim, SteadyTimeMs deadlineAt);

private:
    struct PendingClaim
    {
        RequestClaim claim;
        SteadyTimeMs deadlineAt = 0;
        std::optional<Result<ClaimResponse, ClaimFailure>> answer;
        bool abandoned = false;
        /// The claim is part of a command that may have been or may still be committed.
        bool inDoubt = false;
        std::condition_variable answered;
    };
    using Batch = std::vector<std::shared_ptr<PendingClaim>>;

    void run();
    Batch takeBatch();
    void deliverResult(const Batch &batch, const Result<CommandOutcome, LogError> &result);
    void deliverOne(PendingClaim &pending, const ClaimResponse &answer);
    void fail(PendingClaim &pending, const std::string &reason);
    /// True if a claim may be proposed again after this error.
    static bool isRetryable(LogErrorKind kind);

    const ClaimBatcherOptions m_options;
    ReplicatedLog &m_log;
    SettleQueue &m_settlements;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::shared_ptr<PendingClaim>> m_pendingClaims;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dandelionloom
