#include "Adapters/Http/HttpEndpointClient.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>

namespace dandelionloom {

HttpEndpointClient::HttpEndpointClient(const EndpointClientOptions &options)
    : m_options(options) { }

HttpEndpointClient::Shard &HttpEndpointClient::shardOf(const std::string &address)
{
    return m_shards[std::hash<std::string>{}(address) % shardCount];
}

AttemptResult HttpEndpointClient::run(const EndpointAttempt &attempt)
{
    std::unique_ptr<EndpointSession> session;
    if (!acquire(attempt, session)) {
        return {AttemptVerdict::NotSent, AttemptFault::NoConnection, {}};
    }
    AttemptResult result = runOn(attempt, session);
    if (session && !session->isReusable()) {
        session.reset();
    }
    release(attempt.address, std::move(session));
    return result;
}

AttemptResult HttpEndpointClient::runOn(const EndpointAttempt &attempt,
                                        std::unique_ptr<EndpointSession> &session)
{
    if (!session) {
        const SteadyTimeMs connectDeadline = steadyTimeNow() + m_options.connectTimeout.count();
        try {
            session = EndpointSession::connectTo(attempt.address,
                                                 std::min(attempt.deadlineAt, connectDeadline));
        } catch (const Poco::Exception &) {
            return {AttemptVerdict::NotSent, AttemptFault::ConnectFailed, {}};
        }
    }
    return session->exchange(attempt, m_options.maxResponseBytes);
}

bool HttpEndpointClient::acquire(const EndpointAttempt &attempt,
                                 std::unique_ptr<EndpointSession> &session)
{
    const Milliseconds maxIdleTime =
            attempt.idempotent ? m_options.idleTimeout : m_options.idleTimeoutNonIdempotent;
    Shard &shard = shardOf(attempt.address);
    std::vector<std::unique_ptr<EndpointSession>> toClose;
    std::unique_lock lock(shard.mutex);
    while (true) {
        Pool &pool = shard.pools[attempt.address];
        const SteadyTimeMs now = steadyTimeNow();
        while (!pool.idle.empty()) {
            std::unique_ptr<EndpointSession> candidate = std::move(pool.idle.back());
            pool.idle.pop_back();
            if (now - candidate->idleSince < maxIdleTime.count() && candidate->isOpenAndIdle()) {
                session = std::move(candidate);
                return true;
            }
            --pool.open;
            toClose.push_back(std::move(candidate));
        }
        if (pool.open < m_options.maxConnectionsPerEndpoint) {
            ++pool.open;
            return true;
        }
        const SteadyTimeMs remainingMs = attempt.deadlineAt - now;
        if (remainingMs <= 0) {
            return false;
        }
        shard.released.wait_for(lock, Milliseconds(remainingMs));
    }
}

void HttpEndpointClient::release(const std::string &address,
                                 std::unique_ptr<EndpointSession> session)
{
    Shard &shard = shardOf(address);
    const std::lock_guard lock(shard.mutex);
    Pool &pool = shard.pools[address];
    if (session) {
        session->idleSince = steadyTimeNow();
        pool.idle.push_back(std::move(session));
    } else {
        --pool.open;
    }
    if (pool.open == 0) {
        shard.pools.erase(address);
    }
    shard.released.notify_all();
}

void HttpEndpointClient::closeConnectionsTo(const std::string &address)
{
    std::vector<std::unique_ptr<EndpointSession>> toClose;
    Shard &shard = shardOf(address);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.pools.find(address);
    if (found == shard.pools.end()) {
        return;
    }
    toClose.swap(found->second.idle);
    found->second.open -= toClose.size();
    if (found->second.open == 0) {
        shard.pools.erase(found);
    }
}

void HttpEndpointClient::closeIdle()
{
    std::vector<std::unique_ptr<EndpointSession>> toClose;
    const SteadyTimeMs minIdleSince = steadyTimeNow() - m_options.idleTimeout.count();
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto item = shard.pools.begin(); item != shard.pools.end();) {
            Pool &pool = item->second;
            // Connections are taken from the back, so those at the front have been idle longest.
            const auto firstKept =
                    std::find_if(pool.idle.begin(), pool.idle.end(),
                                 [&](const auto &idle) { return idle->idleSince > minIdleSince; });
            pool.open -= static_cast<std::size_t>(firstKept - pool.idle.begin());
            std::move(pool.idle.begin(), firstKept, std::back_inserter(toClose));
            pool.idle.erase(pool.idle.begin(), firstKept);
            item = pool.open == 0 ? shard.pools.erase(item) : std::next(item);
        }
        shard.released.notify_all();
    }
}

} // namespace dandelionloom
