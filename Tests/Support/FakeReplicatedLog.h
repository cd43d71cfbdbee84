#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Model/Time.h"
#include "Ports/ReplicatedLog.h"

namespace dandelionloom::test {

/// A log of one replica that applies each command at once and can inject the errors of a
/// replicated log. Thread-safe.
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
        if (m_failure && !m_appliesBeforeFailure) {
            return consumeFailure();
        }
        CommandOutcome outcome =
                m_state.apply(++m_index, Command{m_group, wallTimeNow(), std::move(body)});
        ++m_appliedCommands;
        if (m_failure) {
            return consumeFailure();
        }
        return outcome;
    }

    Result<std::uint64_t, LogError> confirmRead(Milliseconds) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_confirmedReads;
        if (m_failure) {
            return consumeFailure();
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
            return consumeFailure();
        }
        return m_progress;
    }

    const StateStore &state() const override { return m_state; }

    /// Makes the next call fail. With `applied`, a proposal is applied although the call fails.
    void failNext(LogErrorKind kind, bool applied = false)
    {
        const std::lock_guard lock(m_mutex);
        m_failureIsPermanent = false;
        m_failure = LogError{kind, "injected " + std::string(logErrorKindNames.name(kind))};
        m_appliesBeforeFailure = applied;
    }

    /// Makes all further calls fail.
    void failAlways(LogErrorKind kind)
    {
        failNext(kind);
        const std::lock_guard lock(m_mutex);
        m_failureIsPermanent = true;
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

    /// Number of applied commands.
    int appliedCommands() const
    {
        const std::lock_guard lock(m_mutex);
        return m_appliedCommands;
    }

    int confirmedReads() const
    {
        const std::lock_guard lock(m_mutex);
        return m_confirmedReads;
    }

private:
    LogError consumeFailure()
    {
        LogError failure = *m_failure;
        if (!m_failureIsPermanent) {
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
    bool m_appliesBeforeFailure = false;
    bool m_failureIsPermanent = false;
    std::uint64_t m_index = 0;
    int m_appliedCommands = 0;
    int m_confirmedReads = 0;
};

} // namespace dandelionloom::test
