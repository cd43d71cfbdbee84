#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

#include "Model/Time.h"

namespace dandelionloom {

/// A call whose result one thread waits for and another thread provides. Results after the first
/// are ignored.
template <typename T>
class PendingCall
{
public:
    void finish(T result)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_result || m_abandoned) {
                return;
            }
            m_result = std::move(result);
        }
        m_finished.notify_all();
    }

    /// Marks that the call may have an effect from now on. Returns false if the caller has
    /// abandoned the call, which must then not be sent.
    bool markInDoubt()
    {
        const std::lock_guard lock(m_mutex);
        m_inDoubt = !m_abandoned;
        return m_inDoubt;
    }

    /// Clears the mark after an attempt that is known to have had no effect.
    void clearInDoubt()
    {
        const std::lock_guard lock(m_mutex);
        m_inDoubt = false;
    }

    bool isAbandoned() const
    {
        const std::lock_guard lock(m_mutex);
        return m_abandoned;
    }

    /// Waits for the result. On a time-out the call is abandoned, and markInDoubt() fails from then
    /// on.
    std::optional<T> wait(Milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        m_finished.wait_for(lock, timeout, [&] { return m_result.has_value(); });
        m_abandoned = !m_result;
        return std::move(m_result);
    }

    /// True if an abandoned call may have had an effect.
    bool isInDoubt() const
    {
        const std::lock_guard lock(m_mutex);
        return m_inDoubt;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_finished;
    std::optional<T> m_result;
    bool m_inDoubt = false;
    bool m_abandoned = false;
};

} // namespace dandelionloom
