#pragma once

#include <cstdint>

#include "Model/EnumNames.h"
#include "Model/Time.h"

namespace dandelionloom {

/// A request after an attempt without a usable answer.
struct RetryFacts
{
    bool idempotent = false;
    /// No byte was sent, or the endpoint refused before it started.
    bool provablyNotRun = false;
    std::uint32_t attempts = 1;
    std::uint32_t maxAttempts = 3;
    /// Time to the deadline.
    Milliseconds timeLeft{0};
    bool budgetLeft = false;
};

enum class RetryReason { Allowed, MayHaveRun, AttemptLimit, DeadlineReached, BudgetSpent };
inline constexpr EnumNames<RetryReason, 5> retryReasonNames{
        {"allowed", "may-have-run", "attempt-limit", "deadline-reached", "budget-spent"}};

struct RetryDecision
{
    bool retry = false;
    RetryReason reason = RetryReason::MayHaveRun;
};

RetryDecision decideRetry(const RetryFacts &facts);

} // namespace dandelionloom
