#include "Consensus/FakePeerNetwork.h"

#include <utility>

namespace dandelionloom::test {

class FakePeerNetwork::Transport : public PeerTransport
{
public:
    Transport(FakePeerNetwork &network, std::string name, std::shared_ptr<HandlerTable> handlers)
        : m_network(network), m_name(std::move(name)), m_handlers(std::move(handlers))
    { }

    void setHandler(PeerMessageKind kind, Handler handler) override
    {
        const std::lock_guard lock(m_network.m_mutex);
        (*m_handlers)[kind] = std::move(handler);
    }

    void call(const std::string &peer, PeerMessageKind kind, std::string body, Milliseconds timeout,
              Reply reply) override
    {
        m_network.call(m_name, peer, kind, std::move(body), timeout, std::move(reply));
    }

private:
    FakePeerNetwork &m_network;
    const std::string m_name;
    const std::shared_ptr<HandlerTable> m_handlers;
};

FakePeerNetwork::FakePeerNetwork() : m_thread([this] { run(); }) { }

FakePeerNetwork::~FakePeerNetwork()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

std::unique_ptr<PeerTransport> FakePeerNetwork::transport(const std::string &name)
{
    auto handlers = std::make_shared<HandlerTable>();
    {
        const std::lock_guard lock(m_mutex);
        m_handlers[name] = handlers;
    }
    return std::make_unique<Transport>(*this, name, std::move(handlers));
}

void FakePeerNetwork::setUp(const std::string &name, bool up)
{
    const std::lock_guard lock(m_mutex);
    if (up) {
        m_down.erase(name);
    } else {
        m_down.insert(name);
    }
}

void FakePeerNetwork::cut(const std::string &from, const std::string &to)
{
    const std::lock_guard lock(m_mutex);
    m_cut.emplace(from, to);
}

void FakePeerNetwork::forgetAddress(const std::string &from, const std::string &to)
{
    const std::lock_guard lock(m_mutex);
    m_unknown.emplace(from, to);
}

void FakePeerNetwork::isolate(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    m_isolated.insert(name);
}

void FakePeerNetwork::heal()
{
    const std::lock_guard lock(m_mutex);
    m_cut.clear();
    m_unknown.clear();
    m_isolated.clear();
}

std::size_t FakePeerNetwork::delivered(const std::string &to, PeerMessageKind kind) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_delivered.find({to, kind});
    return found == m_delivered.end() ? 0 : found->second;
}

void FakePeerNetwork::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        if (m_tasks.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const SteadyTimeMs due = m_tasks.begin()->first;
        const SteadyTimeMs now = steadyTimeNow();
        if (due > now) {
            m_changed.wait_for(lock, Milliseconds(due - now));
            continue;
        }
        const std::function<void()> task = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        lock.unlock();
        task();
        lock.lock();
    }
}

void FakePeerNetwork::at(SteadyTimeMs time, std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.emplace(time, std::move(task));
    }
    m_changed.notify_all();
}

bool FakePeerNetwork::isCut(const std::string &from, const std::string &to) const
{
    const std::lock_guard lock(m_mutex);
    return m_cut.contains({from, to}) || m_isolated.contains(from) || m_isolated.contains(to);
}

void FakePeerNetwork::call(const std::string &from, const std::string &to, PeerMessageKind kind,
                           std::string body, Milliseconds timeout, PeerTransport::Reply reply)
{
    const SteadyTimeMs now = steadyTimeNow();
    // Either the response or the timeout completes the call, whichever comes first.
    auto once = [called = std::make_shared<std::atomic<bool>>(false),
                 reply = std::move(reply)](PeerResult result) {
        if (!called->exchange(true)) {
            reply(std::move(result));
        }
    };
    at(now + timeout.count(), [once, to] {
        once(PeerError{PeerErrorKind::NoAnswer, "no answer from " + to});
    });
    at(now, [this, from, to, kind, body = std::move(body), once]() mutable {
        std::shared_ptr<HandlerTable> handlers;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_handlers.find(to);
            if (found == m_handlers.end() || m_down.contains(to) || m_down.contains(from)
                || m_unknown.contains({from, to})) {
                handlers = nullptr;
            } else {
                handlers = found->second;
            }
        }
        if (!handlers) {
            once(PeerError{PeerErrorKind::NotSent, to + " refuses connections"});
            return;
        }
        if (isCut(from, to)) {
            return;
        }
        const auto handler = handlers->find(kind);
        if (handler == handlers->end()) {
            once(PeerError{PeerErrorKind::Refused, to + " has no handler"});
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_delivered[{to, kind}];
        }
        handler->second(from, std::move(body), [this, from, to, once](PeerResult result) {
            at(steadyTimeNow(), [this, from, to, once, result = std::move(result)] {
                if (!isCut(to, from)) {
                    once(result);
                }
            });
        });
    });
}

} // namespace dandelionloom::test
