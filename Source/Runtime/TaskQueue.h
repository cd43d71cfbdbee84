#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include "Model/Time.h"

namespace dandelionloom {

/// Queue of tasks from many threads to one consumer thread.
class TaskQueue
{
public:
    using Task = std::function<void()>;

    /// Does nothing after close().
    void post(Task task);
    /// Removes all tasks, in the order of their posting; waits up to `timeout` if there are none.
    std::deque<Task> take(Milliseconds timeout);
    /// Wakes a waiting take(), and makes later ones return at once.
    void close();
    bool isClosed() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Task> m_tasks;
    bool m_closed = false;
};

} // namespace dandelionloom
