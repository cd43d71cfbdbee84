#include "Runtime/TaskQueue.h"

namespace dandelionloom {

void TaskQueue::post(Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return;
        }
        m_tasks.push_back(std::move(task));
    }
    m_changed.notify_one();
}

std::deque<TaskQueue::Task> TaskQueue::take(Milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [&] { return m_closed || !m_tasks.empty(); });
    std::deque<Task> tasks;
    tasks.swap(m_tasks);
    return tasks;
}

void TaskQueue::close()
{
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
    }
    m_changed.notify_all();
}

bool TaskQueue::isClosed() const
{
    const std::lock_guard lock(m_mutex);
    return m_closed;
}

} // namespace dandelionloom
