#include "Decisions/Retry.h"

namespace dandelionloom {

RetryDecision decideRetry(const RetryFacts &facts)
{
    if (!facts.idempotent && !facts.provablyNotRun) {
        return {false, RetryReason::MayHaveRun};
    }
    if (facts.attempts >= facts.maxAttempts) {
        return {false, RetryReason::AttemptLimit};
    }
    if (facts.timeLeft <= Milliseconds(0)) {
        return {false, RetryReason::DeadlineReached};
    }
    if (!facts.budgetLeft) {
        return {false, RetryReason::BudgetSpent};
    }
    return {true, RetryReason::Allowed};
}

} // namespace dandelionloom
