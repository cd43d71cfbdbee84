#include "Adapters/Peers/EventLoop.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <future>
#include <system_error>

namespace dandelionloom {

namespace {

constexpr EventLoop::WatchId wakeWatchId = 0;
constexpr int maxWaitMs = 60000;

/// Large enough for one wait to return the events of most connections, which saves system calls.
constexpr std::size_t maxEventsPerWait = 2048;

} // namespace

EventLoop::EventLoop()
    : m_epollDescriptor(::epoll_create1(EPOLL_CLOEXEC)),
      m_wakeDescriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = wakeWatchId;
    if (m_epollDescriptor < 0 || m_wakeDescriptor < 0
        || ::epoll_ctl(m_epollDescriptor, EPOLL_CTL_ADD, m_wakeDescriptor, &event) != 0) {
        throw std::system_error(errno, std::generic_category(), "event loop");
    }
}

EventLoop::~EventLoop()
{
    stop();
    ::close(m_wakeDescriptor);
    ::close(m_epollDescriptor);
}

void EventLoop::setErrorHandler(std::function<void(const std::string &message)> handler)
{
    m_onError = std::move(handler);
}

void EventLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void EventLoop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void EventLoop::post(Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_posted.push_back(std::move(task));
        // No wake-up needed: one is already pending, or the caller is the loop's own thread, which
        // checks for posted tasks before it waits.
        if (m_posted.size() > 1 || std::this_thread::get_id() == m_threadId) {
            return;
        }
    }
    wake();
}

void EventLoop::runAndWait(const Task &task)
{
    std::promise<void> finished;
    post([&] {
        try {
            task();
            finished.set_value();
        } catch (...) {
            finished.set_exception(std::current_exception());
        }
    });
    finished.get_future().get();
}

EventLoop::TimerId EventLoop::startTimer(Milliseconds delay, Task task)
{
    const TimerId timer{steadyTimeNow() + std::max<std::int64_t>(delay.count(), 0), m_nextId++};
    m_timers.emplace(timer, std::move(task));
    return timer;
}

EventLoop::TimerId EventLoop::startTimeout(Milliseconds delay, Task task)
{
    const TimerId timer{steadyTimeNow() + std::max<std::int64_t>(delay.count(), 0), m_nextId++};
    m_timeouts.emplace(timer, std::move(task));
    return timer;
}

void EventLoop::cancelTimer(const TimerId &timer)
{
    if (m_timers.erase(timer) == 0) {
        m_timeouts.erase(timer);
    }
}

EventLoop::WatchId EventLoop::watch(int descriptor, std::uint32_t events,
                                    std::function<void(std::uint32_t)> callback)
{
    const WatchId id = m_nextId++;
    epoll_event event{};
    event.events = events;
    event.data.u64 = id;
    if (::epoll_ctl(m_epollDescriptor, EPOLL_CTL_ADD, descriptor, &event) != 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
    }
    m_watches.emplace(id, std::make_shared<Watch>(Watch{descriptor, events, std::move(callback)}));
    return id;
}

void EventLoop::changeEvents(WatchId watch, std::uint32_t events)
{
    const auto found = m_watches.find(watch);
    if (found == m_watches.end() || found->second->events == events) {
        return;
    }
    found->second->events = events;
    epoll_event event{};
    event.events = events;
    event.data.u64 = watch;
    ::epoll_ctl(m_epollDescriptor, EPOLL_CTL_MOD, found->second->descriptor, &event);
}

void EventLoop::unwatch(WatchId watch)
{
    const auto found = m_watches.find(watch);
    if (found == m_watches.end()) {
        return;
    }
    ::epoll_ctl(m_epollDescriptor, EPOLL_CTL_DEL, found->second->descriptor, nullptr);
    m_watches.erase(found);
}

void EventLoop::run()
{
    {
        const std::lock_guard lock(m_mutex);
        m_threadId = std::this_thread::get_id();
    }
    std::vector<epoll_event> events(maxEventsPerWait);
    for (;;) {
        handleEvents(events);
        runPosted();
        runTimers();
        const std::lock_guard lock(m_mutex);
        if (m_stopping && m_posted.empty()) {
            return;
        }
    }
}

void EventLoop::handleEvents(std::vector<epoll_event> &events)
{
    const int maxEvents = static_cast<int>(events.size());
    const int maxWait = waitMs();
    const SteadyTimeMs startedAt = steadyTimeNow();
    // Successive waits report the descriptors that are ready in turn, so that each has been
    // reported once after this many events. More would let busy connections starve the timers.
    const std::size_t descriptors = m_watches.size() + 1;
    std::size_t handled = 0;
    int count = ::epoll_wait(m_epollDescriptor, events.data(), maxEvents, maxWait);
    if (count == 0) {
        // Nothing arrived during the whole wait. The present time says less: the process may have
        // been suspended since.
        m_inputHandledUntil = startedAt + maxWait;
        return;
    }
    while (count > 0) {
        for (int index = 0; index < count; ++index) {
            handleEvent(events[static_cast<std::size_t>(index)]);
        }
        handled += static_cast<std::size_t>(count);
        if (count < maxEvents || handled >= descriptors) {
            break;
        }
        count = ::epoll_wait(m_epollDescriptor, events.data(), maxEvents, 0);
    }
    if (count >= 0) {
        m_inputHandledUntil = startedAt;
    }
}

void EventLoop::handleEvent(const epoll_event &event)
{
    if (event.data.u64 == wakeWatchId) {
        std::uint64_t ignored = 0;
        (void)!::read(m_wakeDescriptor, &ignored, sizeof ignored);
        return;
    }
    const auto found = m_watches.find(event.data.u64);
    if (found == m_watches.end()) {
        return;
    }
    const std::shared_ptr<Watch> watch = found->second;
    if (!runGuarded([&] { watch->callback(event.events); })) {
        // The event would be reported again at once. The timers of the connection close it.
        unwatch(event.data.u64);
    }
}

bool EventLoop::runGuarded(const Task &task)
{
    if (!m_onError) {
        task();
        return true;
    }
    try {
        task();
        return true;
    } catch (const std::exception &error) {
        m_onError(error.what());
        return false;
    }
}

void EventLoop::runPosted()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_posted);
    }
    for (const Task &task : tasks) {
        runGuarded(task);
    }
}

void EventLoop::runTimers()
{
    runDue(m_timers, steadyTimeNow());
    runDue(m_timeouts, m_inputHandledUntil);
}

void EventLoop::runDue(std::map<TimerId, Task> &timers, SteadyTimeMs time)
{
    while (!timers.empty() && timers.begin()->first.first <= time) {
        const Task task = std::move(timers.begin()->second);
        timers.erase(timers.begin());
        runGuarded(task);
    }
}

int EventLoop::waitMs()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_posted.empty()) {
            return 0;
        }
    }
    SteadyTimeMs remaining = maxWaitMs;
    for (const auto *timers : {&m_timers, &m_timeouts}) {
        if (!timers->empty()) {
            remaining = std::min(remaining, timers->begin()->first.first - steadyTimeNow());
        }
    }
    return static_cast<int>(std::max<SteadyTimeMs>(remaining, 0));
}

std::function<void(const std::string &message)> errorLogger(DecisionLog &log)
{
    return [&log](const std::string &message) {
        log.event(LogSeverity::Error, "event-loop", "unexpected error: " + message);
    };
}

void EventLoop::wake() const
{
    const std::uint64_t one = 1;
    (void)!::write(m_wakeDescriptor, &one, sizeof one);
}

} // namespace dandelionloom
