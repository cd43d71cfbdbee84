#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include "Model/Time.h"

namespace dandelionloom {

/// Work that many threads hand to one thread.
class TaskQueue
{
public:
    using Task = std::function<void()>;

    void post(Task task);
    /// All tasks in order; waits up to `timeout` if there are none.
    std::deque<Task> take(Milliseconds timeout);
    /// Makes a waiting take() return at once, now and later.
    void close();
    bool isClosed() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Task> m_tasks;
    bool m_closed = false;
};

} // namespace dandelionloom
