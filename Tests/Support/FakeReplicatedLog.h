#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Model/Time.h"
#include "Ports/ReplicatedLog.h"

namespace dandelionloom::test {

/// A log of one replica that applies each command at once. Thread-safe. The next call can be told
/// to fail as a replicated log fails.
class FakeReplicatedLog : public ReplicatedLog
{
public:
    explicit FakeReplicatedLog(const std::string &group = "region-1")
        : m_group(group), m_state(group)
    {
        m_status.role = LogRole::Leader;
        m_status.term = 1;
        m_status.leader = "entry-a1";
        m_status.quorumContactAgeMs = 5;
        m_status.ready = true;
    }

    Result<CommandOutcome, LogError> propose(CommandBody body, Milliseconds) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_failure && !m_failureApplies) {
            return takeFailure();
        }
        CommandOutcome outcome =
                m_state.apply(++m_index, Command{m_group, wallTimeNow(), std::move(body)});
        ++m_proposals;
        if (m_failure) {
            return takeFailure();
        }
        return outcome;
    }

    Result<std::uint64_t, LogError> confirmRead(Milliseconds) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_confirmedReads;
        if (m_failure) {
            return takeFailure();
        }
        return m_index;
    }

    LogStatus status() const override
    {
        const std::lock_guard lock(m_mutex);
        LogStatus status = m_status;
        status.commitIndex = m_index;
        status.appliedIndex = m_index;
        return status;
    }

    Result<std::vector<ReplicaProgress>, LogError> progress(Milliseconds) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_failure) {
            return takeFailure();
        }
        return m_progress;
    }

    const StateStore &state() const override { return m_state; }

    /// The next call fails. With `applied`, a proposal is applied although its answer is lost.
    void failNext(LogErrorKind kind, bool applied = false)
    {
        const std::lock_guard lock(m_mutex);
        m_failsAlways = false;
        m_failure = LogError{kind, "injected " + std::string(logErrorKindNames.name(kind))};
        m_failureApplies = applied;
    }

    /// Each call from now on fails.
    void failAlways(LogErrorKind kind)
    {
        failNext(kind);
        const std::lock_guard lock(m_mutex);
        m_failsAlways = true;
    }

    void setStatus(const LogStatus &status)
    {
        const std::lock_guard lock(m_mutex);
        m_status = status;
    }

    void setProgress(std::vector<ReplicaProgress> progress)
    {
        const std::lock_guard lock(m_mutex);
        m_progress = std::move(progress);
    }

    /// Commands that were applied.
    int proposals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_proposals;
    }

    int confirmedReads() const
    {
        const std::lock_guard lock(m_mutex);
        return m_confirmedReads;
    }

private:
    LogError takeFailure()
    {
        LogError failure = *m_failure;
        if (!m_failsAlways) {
            m_failure.reset();
        }
        return failure;
    }

    const std::string m_group;
    mutable std::mutex m_mutex;
    StateStore m_state;
    LogStatus m_status;
    std::vector<ReplicaProgress> m_progress;
    std::optional<LogError> m_failure;
    bool m_failureApplies = false;
    bool m_failsAlways = false;
    std::uint64_t m_index = 0;
    int m_proposals = 0;
    int m_confirmedReads = 0;
};

} // namespace dandelionloom::test
