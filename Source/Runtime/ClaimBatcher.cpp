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

Result<ClaimAnswer, ClaimFailure> ClaimBatcher::claim(RequestClaim claim, SteadyTimeMs deadlineAt)
{
    auto item = std::make_shared<Item>();
    item->claim = std::move(claim);
    item->deadlineAt = deadlineAt;
    std::unique_lock lock(m_mutex);
    if (m_stopping) {
        return ClaimFailure{"gateway-stops"};
    }
    m_waiting.push_back(item);
    m_changed.notify_all();
    const Milliseconds left(std::max<SteadyTimeMs>(deadlineAt - steadyTimeNow(), 0));
    if (!item->answered.wait_for(lock, left, [&] { return item->answer.has_value(); })) {
        item->abandoned = true;
        return ClaimFailure{"claim-timed-out"};
    }
    return *item->answer;
}

void ClaimBatcher::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [&] { return m_stopping || !m_waiting.empty(); });
        const Batch batch = takeBatch();
        if (m_stopping) {
            for (const auto &item : batch) {
                fail(*item, "gateway-stops");
            }
            if (m_waiting.empty()) {
                return;
            }
            continue;
        }
        if (batch.empty()) {
            continue;
        }
        ClaimRequests body;
        for (const auto &item : batch) {
            body.claims.push_back(item->claim);
        }
        lock.unlock();
        const auto result = m_log.propose(std::move(body), m_options.proposeTimeout);
        lock.lock();
        deliver(batch, result);
        if (!isOk(result)) {
            m_changed.wait_for(lock, m_options.backOff, [&] { return m_stopping; });
        }
    }
}

ClaimBatcher::Batch ClaimBatcher::takeBatch()
{
    Batch batch;
    while (!m_waiting.empty() && batch.size() < m_options.maxBatch) {
        std::shared_ptr<Item> item = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (item->abandoned) {
            fail(*item, "claim-timed-out");
        } else {
            batch.push_back(std::move(item));
        }
    }
    return batch;
}

void ClaimBatcher::deliver(const Batch &batch, const Result<CommandOutcome, LogError> &result)
{
    if (isOk(result)) {
        const std::vector<ClaimAnswer> &answers = valueOf(result).claims;
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
    for (auto item = batch.rbegin(); item != batch.rend(); ++item) {
        (*item)->maybeClaimed = (*item)->maybeClaimed || kind == LogErrorKind::Unknown;
        if (isRepeatable(kind) && !(*item)->abandoned) {
            m_waiting.push_front(*item);
        } else {
            fail(**item, "claim-" + std::string(logErrorKindNames.name(kind)));
        }
    }
}

void ClaimBatcher::deliverOne(Item &item, const ClaimAnswer &answer)
{
    ClaimAnswer own = answer;
    // The log may apply a repeated command twice; the second time the request finds its own claim.
    if (own.verdict == ClaimVerdict::Exists && own.claim.requestId == item.claim.requestId
        && own.claim.state == ClaimState::Claimed) {
        own.verdict = ClaimVerdict::Granted;
    }
    if (item.abandoned) {
        item.maybeClaimed = own.verdict == ClaimVerdict::Granted;
        fail(item, "claim-timed-out");
        return;
    }
    item.answer = std::move(own);
    item.answered.notify_all();
}

void ClaimBatcher::fail(Item &item, const std::string &reason)
{
    item.answer = ClaimFailure{reason};
    item.answered.notify_all();
    if (item.maybeClaimed) {
        // Frees the key for a resend. Without effect if the claim was not or is not yet accepted.
        RequestClaim settled = item.claim;
        settled.state = ClaimState::NotRun;
        m_settlements.settle(std::move(settled), Milliseconds(0));
    }
}

bool ClaimBatcher::isRepeatable(LogErrorKind kind)
{
    return kind == LogErrorKind::NotAccepted || kind == LogErrorKind::Unknown;
}

} // namespace dandelionloom
