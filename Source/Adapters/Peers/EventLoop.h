#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/epoll.h>

#include "Model/Time.h"
#include "Ports/DecisionLog.h"

namespace dandelionloom {

/// Single-threaded event loop over epoll, with timers and posted tasks. After start(), all
/// functions except post(), runAndWait() and stop() may be called only on the loop's own thread.
class EventLoop
{
public:
    using Task = std::function<void()>;
    using WatchId = std::uint64_t;
    using TimerId = std::pair<SteadyTimeMs, std::uint64_t>;

    /// Throws std::system_error if the epoll or event descriptor cannot be created.
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Sets the function that reports an exception which a task or callback did not handle; the
    /// loop then goes on with the next one. Without it, such an exception ends the process. Must be
    /// called before start().
    void setErrorHandler(std::function<void(const std::string &message)> handler);
    void start();
    /// Runs the tasks posted so far, then joins the thread. Tasks posted later are discarded.
    void stop();

    void post(Task task);
    /// Posts a task and waits until it has run. Rethrows its exception. Must not be called on the
    /// loop's thread.
    void runAndWait(const Task &task);

    TimerId startTimer(Milliseconds delay, Task task);
    /// Like startTimer(), for a task that concludes something from the absence of input: it runs
    /// once all input that had arrived when its time came has been handled. Only input that one
    /// call of its watch leaves unread may still be there.
    TimerId startTimeout(Milliseconds delay, Task task);
    /// Cancels a timer or a time-out.
    void cancelTimer(const TimerId &timer);

    WatchId watch(int descriptor, std::uint32_t events,
                  std::function<void(std::uint32_t)> callback);
    void changeEvents(WatchId watch, std::uint32_t events);
    void unwatch(WatchId watch);

private:
    struct Watch
    {
        int descriptor = -1;
        std::uint32_t events = 0;
        std::function<void(std::uint32_t)> callback;
    };

    void run();
    /// Waits for events and handles those of all descriptors that are ready.
    void handleEvents(std::vector<epoll_event> &events);
    void handleEvent(const epoll_event &event);
    /// Runs a task. Returns false if it failed with an exception.
    bool runGuarded(const Task &task);
    void runPosted();
    void runTimers();
    /// Runs the tasks of a queue whose time has come by `time`.
    void runDue(std::map<TimerId, Task> &timers, SteadyTimeMs time);
    int waitMs();
    void wake() const;

    int m_epollDescriptor = -1;
    int m_wakeDescriptor = -1;
    std::thread m_thread;
    std::thread::id m_threadId;
    std::mutex m_mutex;
    std::vector<Task> m_posted;
    bool m_stopping = false;

    std::map<TimerId, Task> m_timers;
    std::map<TimerId, Task> m_timeouts;
    /// All input that had arrived by this time has been handled.
    SteadyTimeMs m_inputHandledUntil = 0;
    /// Keyed by id rather than descriptor: when a descriptor is closed and its number reused within
    /// one batch of events, the new watch must not get the events of the old one.
    std::map<WatchId, std::shared_ptr<Watch>> m_watches;
    std::uint64_t m_nextId = 1;
    std::function<void(const std::string &message)> m_onError;
};

/// An error handler that writes the message to the log.
std::function<void(const std::string &message)> errorLogger(DecisionLog &log);

} // namespace dandelionloom
