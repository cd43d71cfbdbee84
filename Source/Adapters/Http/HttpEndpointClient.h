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
    /// The connections that a worker accepts, see section 1.3 of the design.
    std::size_t maxConnectionsPerEndpoint = 64;
    std::size_t maxAnswerBytes = 8 * 1024 * 1024;
    /// An endpoint that doesn't accept within this time is treated as down.
    Milliseconds connectTime{1000};
    /// Idle time after which a pooled connection is closed. Below the keep-alive time of common
    /// HTTP servers, so that they rarely close a connection that is just being used.
    Milliseconds idleTime{4000};
    /// As idleTime, for non-idempotent work: a request lost on a closed connection reads unknown.
    Milliseconds idleTimeNonIdempotent{1000};
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
        /// Most recently used last.
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
    /// Takes an idle connection or the right to open one (null). False at the deadline.
    bool acquire(const EndpointAttempt &attempt, std::unique_ptr<EndpointSession> &session);
    void release(const std::string &address, std::unique_ptr<EndpointSession> session);
    AttemptResult runOn(const EndpointAttempt &attempt, std::unique_ptr<EndpointSession> &session);

    const EndpointClientOptions m_options;
    std::array<Shard, shardCount> m_shards;
};

} // namespace dandelionloom
