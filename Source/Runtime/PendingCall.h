#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

#include "Model/Time.h"

namespace dandelionloom {

/// A result that one thread waits for and another one gives. The first result counts.
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

    /// Marks that the call may have an effect from now on. False if the caller has given up.
    bool expose()
    {
        const std::lock_guard lock(m_mutex);
        m_exposed = !m_abandoned;
        return m_exposed;
    }

    /// Takes expose() back: the attempt is known to have had no effect.
    void conceal()
    {
        const std::lock_guard lock(m_mutex);
        m_exposed = false;
    }

    bool isAbandoned() const
    {
        const std::lock_guard lock(m_mutex);
        return m_abandoned;
    }

    /// Waits for the result. Without one the call is abandoned: expose() fails from then on.
    std::optional<T> wait(Milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        m_finished.wait_for(lock, timeout, [&] { return m_result.has_value(); });
        m_abandoned = !m_result;
        return std::move(m_result);
    }

    /// Whether an abandoned call may have had an effect.
    bool isExposed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_exposed;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_finished;
    std::optional<T> m_result;
    bool m_exposed = false;
    bool m_abandoned = false;
};

} // namespace dandelionloom
