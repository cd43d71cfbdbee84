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

/// Replicated log of one process: every command is applied at once, unless a test says otherwise.
class FakeLog : public ReplicatedLog
{
public:
    /// Says what happens to a command instead of its plain application.
    /// Late: no answer now, and applied behind the next command that is applied.
    enum class Fate { Apply, NotAccepted, LostBefore, LostAfter, Late };
    using FateOf = std::function<Fate(const CommandBody &)>;

    Result<CommandOutcome, LogError> propose(CommandBody body, Milliseconds) override
    {
        Fate fate = Fate::Apply;
        {
            std::unique_lock lock(m_mutex);
            ++m_arrived;
            m_changed.notify_all();
            m_changed.wait(lock, [&] { return !m_held; });
            fate = m_fateOf ? m_fateOf(body) : Fate::Apply;
        }
        if (fate == Fate::NotAccepted) {
            return LogError{LogErrorKind::NotAccepted, "no leader"};
        }
        if (fate == Fate::LostBefore) {
            return LogError{LogErrorKind::Unknown, "no answer"};
        }
        // Models the time to a quorum and back.
        std::this_thread::sleep_for(Milliseconds(commandMs));
        const std::lock_guard lock(m_applyMutex);
        if (fate == Fate::Late) {
            m_late.push_back(std::move(body));
            return LogError{LogErrorKind::Unknown, "no answer"};
        }
        CommandOutcome outcome = apply(std::move(body));
        for (CommandBody &late : std::exchange(m_late, {})) {
            apply(std::move(late));
        }
        if (fate == Fate::LostAfter) {
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

    void setFate(FateOf fateOf)
    {
        const std::lock_guard lock(m_mutex);
        m_fateOf = std::move(fateOf);
    }

    /// Holds every command back until release().
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

    /// Waits until `count` commands have arrived since the start.
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
    FateOf m_fateOf;
    bool m_held = false;
    int m_arrived = 0;
    StateStore m_store{"region-1"};
};

/// Keeps decision lines for a test to read.
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
