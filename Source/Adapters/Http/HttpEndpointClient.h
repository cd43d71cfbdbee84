#pragma once

#include <array>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Adapters/Http/EndpointSession.h"
#include "Ports/EndpointClient.h"

namespace dandelionloom {

struct EndpointClientOptions
{
    /// As many as a worker accepts, see section 1.3 of the design.
    std::size_t maxConnectionsPerEndpoint = 64;
    std::size_t maxResponseBytes = 8 * 1024 * 1024;
    /// An endpoint that doesn't accept within this time is treated as down.
    Milliseconds connectTimeout{1000};
    /// Idle time after which a pooled connection is closed. Shorter than the keep-alive timeout of
    /// common HTTP servers, so that a server rarely closes a connection while a request is sent.
    Milliseconds idleTimeout{4000};
    /// As idleTimeout, for non-idempotent requests. Shorter, because the outcome of such a request
    /// is unknown if the connection is closed meanwhile.
    Milliseconds idleTimeoutNonIdempotent{1000};
};

/// Sends attempts over pooled connections, one pool per endpoint address.
class HttpEndpointClient : public EndpointClient
{
public:
    explicit HttpEndpointClient(const EndpointClientOptions &options);

    AttemptResult run(const EndpointAttempt &attempt) override;
    void closeConnectionsTo(const std::string &address) override;
    void closeIdle() override;

private:
    struct Pool
    {
        std::size_t open = 0;
        /// The most recently used connection is the last.
        std::vector<std::unique_ptr<EndpointSession>> idle;
    };
    struct Shard
    {
        std::mutex mutex;
        std::condition_variable released;
        std::map<std::string, Pool> pools;
    };
    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(const std::string &address);
    /// Takes an idle connection, or leaves `session` null if a new one may be opened. Returns false
    /// if neither is possible before the deadline.
    bool acquire(const EndpointAttempt &attempt, std::unique_ptr<EndpointSession> &session);
    void release(const std::string &address, std::unique_ptr<EndpointSession> session);
    AttemptResult runOn(const EndpointAttempt &attempt, std::unique_ptr<EndpointSession> &session);

    const EndpointClientOptions m_options;
    std::array<Shard, shardCount> m_shards;
};

} // namespace dandelionloom
