#include "Runtime/ClaimBatcher.h"

#include <utility>

namespace dandelionloom {

ClaimBatcher::ClaimBatcher(const ClaimBatcherOptions &options, ReplicatedLog &log,
                           SettleQueue &settlements)
    : m_options(options), m_log(log), m_settlements(settlements), m_thread([this] { run(); })
{ }

ClaimBatcher::~ClaimBatcher()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

Result<ClaimResponse, ClaimFailure> ClaimBatcher::claim(RequestClaim claim, SteadyTimeMs deadlineAt)
{
    auto pending = std::make_shared<PendingClaim>();
    pending->claim = std::move(claim);
    pending->deadlineAt = deadlineAt;
    std::unique_lock lock(m_mutex);
    if (m_stopping) {
        return ClaimFailure{"gateway-stops"};
    }
    m_pendingClaims.push_back(pending);
    m_changed.notify_all();
    const Milliseconds left(std::max<SteadyTimeMs>(deadlineAt - steadyTimeNow(), 0));
    if (!pending->answered.wait_for(lock, left, [&] { return pending->answer.has_value(); })) {
        pending->abandoned = true;
        return ClaimFailure{"claim-timed-out"};
    }
    return *pending->answer;
}

void ClaimBatcher::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [&] { return m_stopping || !m_pendingClaims.empty(); });
        const Batch batch = takeBatch();
        if (m_stopping) {
            for (const auto &pending : batch) {
                fail(*pending, "gateway-stops");
            }
            if (m_pendingClaims.empty()) {
                return;
            }
            continue;
        }
        if (batch.empty()) {
            continue;
        }
        ClaimRequests body;
        for (const auto &pending : batch) {
            body.claims.push_back(pending->claim);
        }
        lock.unlock();
        const auto result = m_log.propose(std::move(body), m_options.proposeTimeout);
        lock.lock();
        deliverResult(batch, result);
        if (!isOk(result)) {
            m_changed.wait_for(lock, m_options.backOff, [&] { return m_stopping; });
        }
    }
}

ClaimBatcher::Batch ClaimBatcher::takeBatch()
{
    Batch batch;
    while (!m_pendingClaims.empty() && batch.size() < m_options.maxBatch) {
        std::shared_ptr<PendingClaim> pending = std::move(m_pendingClaims.front());
        m_pendingClaims.pop_front();
        if (pending->abandoned) {
            fail(*pending, "claim-timed-out");
        } else {
            batch.push_back(std::move(pending));
        }
    }
    return batch;
}

void ClaimBatcher::deliverResult(const Batch &batch, const Result<CommandOutcome, LogError> &result)
{
    if (isOk(result)) {
        const std::vector<ClaimResponse> &answers = valueOf(result).claims;
        for (std::size_t index = 0; index < batch.size(); ++index) {
            if (index < answers.size()) {
                deliverOne(*batch[index], answers[index]);
            } else {
                fail(*batch[index], "claim-not-valid");
            }
        }
        return;
    }
    const LogErrorKind kind = errorOf(result).kind;
    for (auto pending = batch.rbegin(); pending != batch.rend(); ++pending) {
        (*pending)->inDoubt = (*pending)->inDoubt || kind == LogErrorKind::Unknown;
        if (isRetryable(kind) && !(*pending)->abandoned) {
            m_pendingClaims.push_front(*pending);
        } else {
            fail(**pending, "claim-" + std::string(logErrorKindNames.name(kind)));
        }
    }
}

void ClaimBatcher::deliverOne(PendingClaim &pending, const ClaimResponse &answer)
{
    ClaimResponse adjusted = answer;
    // A command that is proposed again may be applied twice; the second time the request finds its
    // own claim.
    if (adjusted.verdict == ClaimVerdict::Exists
        && adjusted.claim.requestId == pending.claim.requestId
        && adjusted.claim.state == ClaimState::Claimed) {
        adjusted.verdict = ClaimVerdict::Granted;
    }
    if (pending.abandoned) {
        pending.inDoubt = adjusted.verdict == ClaimVerdict::Granted;
        fail(pending, "claim-timed-out");
        return;
    }
    pending.answer = std::move(adjusted);
    pending.answered.notify_all();
}

void ClaimBatcher::fail(PendingClaim &pending, const std::string &reason)
{
    pending.answer = ClaimFailure{reason};
    pending.answered.notify_all();
    if (pending.inDoubt) {
        // Releases the key, so that the request can be sent again. Has no effect if the claim was
        // not committed, or is committed only later.
        RequestClaim settled = pending.claim;
        settled.state = ClaimState::NotRun;
        m_settlements.settle(std::move(settled), Milliseconds(0));
    }
}

bool ClaimBatcher::isRetryable(LogErrorKind kind)
{
    return kind == LogErrorKind::NotAccepted || kind == LogErrorKind::Unknown;
}

} // namespace dandelionloom
