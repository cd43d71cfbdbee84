#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "Ports/DecisionLog.h"
#include "Ports/MetricSink.h"
#include "Ports/ReplicatedLog.h"

namespace dandelionloom::test {

/// In-process replicated log: applies every command at once unless a test sets another behavior.
class FakeLog : public ReplicatedLog
{
public:
    /// What happens to a proposed command. NotAccepted: refused, as without a leader. LostCommand:
    /// no answer and not applied. LostAnswer: applied, but no answer. Late: no answer, and applied
    /// behind the next command that is applied.
    enum class Behavior { Apply, NotAccepted, LostCommand, LostAnswer, Late };
    using BehaviorOf = std::function<Behavior(const CommandBody &)>;

    Result<CommandOutcome, LogError> propose(CommandBody body, Milliseconds) override
    {
        Behavior behavior = Behavior::Apply;
        {
            std::unique_lock lock(m_mutex);
            ++m_arrived;
            m_changed.notify_all();
            m_changed.wait(lock, [&] { return !m_held; });
            behavior = m_behaviorOf ? m_behaviorOf(body) : Behavior::Apply;
        }
        if (behavior == Behavior::NotAccepted) {
            return LogError{LogErrorKind::NotAccepted, "no leader"};
        }
        if (behavior == Behavior::LostCommand) {
            return LogError{LogErrorKind::Unknown, "no answer"};
        }
        // Models the round trip to a quorum.
        std::this_thread::sleep_for(Milliseconds(commandMs));
        const std::lock_guard lock(m_applyMutex);
        if (behavior == Behavior::Late) {
            m_late.push_back(std::move(body));
            return LogError{LogErrorKind::Unknown, "no answer"};
        }
        CommandOutcome outcome = apply(std::move(body));
        for (CommandBody &late : std::exchange(m_late, {})) {
            apply(std::move(late));
        }
        if (behavior == Behavior::LostAnswer) {
            return LogError{LogErrorKind::Unknown, "no answer"};
        }
        return outcome;
    }

    Result<std::uint64_t, LogError> confirmRead(Milliseconds) override
    {
        return m_store.appliedIndex();
    }

    LogStatus status() const override
    {
        LogStatus status;
        status.role = LogRole::Leader;
        status.quorumContactAgeMs = quorumContactAgeMs;
        status.ready = ready;
        return status;
    }

    Result<std::vector<ReplicaProgress>, LogError> progress(Milliseconds) override
    {
        return std::vector<ReplicaProgress>();
    }

    const StateStore &state() const override { return m_store; }

    void setBehavior(BehaviorOf behaviorOf)
    {
        const std::lock_guard lock(m_mutex);
        m_behaviorOf = std::move(behaviorOf);
    }

    /// Blocks every command until release().
    void hold()
    {
        const std::lock_guard lock(m_mutex);
        m_held = true;
    }

    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_held = false;
        m_changed.notify_all();
    }

    /// Waits until `count` commands have arrived in total.
    bool waitForCommands(int count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, Milliseconds(5000), [&] { return m_arrived >= count; });
    }

    int commands()
    {
        const std::lock_guard lock(m_mutex);
        return m_arrived;
    }

    std::atomic<std::int64_t> quorumContactAgeMs = 0;
    std::atomic<bool> ready = true;
    /// Duration of a command in milliseconds.
    std::atomic<int> commandMs = 0;

private:
    CommandOutcome apply(CommandBody body)
    {
        return m_store.apply(m_store.appliedIndex() + 1,
                             Command{"region-1", wallTimeNow(), std::move(body)});
    }

    std::mutex m_mutex;
    std::mutex m_applyMutex;
    std::vector<CommandBody> m_late;
    std::condition_variable m_changed;
    BehaviorOf m_behaviorOf;
    bool m_held = false;
    int m_arrived = 0;
    StateStore m_store{"region-1"};
};

/// Records decisions for a test to read; drops events.
class RecordingLog : public DecisionLog
{
public:
    void write(const Decision &decision) override
    {
        const std::lock_guard lock(m_mutex);
        m_decisions.push_back(decision);
    }

    void event(LogSeverity, const std::string &, const std::string &) override { }

    int count(DecisionKind kind, const std::string &reason = {}) const
    {
        const std::lock_guard lock(m_mutex);
        int found = 0;
        for (const Decision &decision : m_decisions) {
            found += decision.kind == kind && (reason.empty() || decision.reason == reason) ? 1 : 0;
        }
        return found;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Decision> m_decisions;
};

/// Sums counters by name and labels.
class RecordingMetrics : public MetricSink
{
public:
    void count(const std::string &name, const std::string &labels, double amount) override
    {
        const std::lock_guard lock(m_mutex);
        m_counters[name + "{" + labels + "}"] += amount;
        m_counters[name] += amount;
    }

    void gauge(const std::string &, const std::string &, double) override { }
    void observe(const std::string &, const std::string &, double) override { }

    double value(const std::string &name) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_counters.find(name);
        return found == m_counters.end() ? 0 : found->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, double> m_counters;
};

} // namespace dandelionloom::test
