#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include <Poco/Net/StreamSocket.h>

#include "Adapters/Http/ConnectionPressure.h"
#include "Model/Time.h"

namespace dandelionloom {

/// What the thread of a connection does.
enum class ConnectionPhase {
    /// Waits for the first request. Gives way like a connection that reads one, so that a client
    /// that has just connected is not closed before older ones with an incomplete request.
    New,
    /// Waits for a further request.
    Idle,
    Reading,
    Handling,
    Sending,
    /// The last response is sent; input is discarded, so that closing does not reset the connection
    /// before the client has read it.
    Lingering
};

enum class AddBytesResult {
    Added,
    /// The connection was closed by a limit or by stop().
    Closed,
    /// Requests that are being handled hold all bytes of the limit. The request must be refused.
    NoRoom
};

struct ConnectionSetLimits
{
    std::size_t maxConnections = 0;
    /// Bytes of requests and responses that all connections together may hold; 0 for no limit.
    std::size_t maxBufferedBytes = 0;
};

/// Open connections of a listener that uses a thread for each. At a limit, the connection that
/// chooseConnectionToClose() names is shut down, so that its thread ends. Thread-safe.
class ConnectionSet
{
public:
    using Clock = std::function<SteadyTimeMs()>;

    explicit ConnectionSet(const ConnectionSetLimits &limits, Clock clock = steadyTimeNow)
        : m_limits(limits), m_clock(std::move(clock))
    { }

    /// Adds a new connection. At the limit of connections, closes another one; while all others
    /// handle requests, waits up to `wait`. Returns false if there is no room or the listener is
    /// stopping.
    bool add(const Poco::Net::StreamSocket &socket, Milliseconds wait);
    /// Does nothing if add() has returned false.
    void remove(const Poco::Net::StreamSocket &socket);
    /// Returns false if the connection was closed by a limit or by stop(): its request must not be
    /// handled. An idle or lingering connection holds no bytes.
    bool setPhase(const Poco::Net::StreamSocket &socket, ConnectionPhase phase);
    /// Counts bytes of a request or response; the first ones end the phases New and Idle.
    AddBytesResult addBytes(const Poco::Net::StreamSocket &socket, std::size_t count);
    /// The client has taken a part of the response.
    void noteProgress(const Poco::Net::StreamSocket &socket);
    /// Closes new and idle connections now and the others when they become idle. After `limit`,
    /// closes incomplete requests, and responses without progress for unreadGraceMs; never a
    /// connection whose request is being handled or that lingers. Returns when all connections were
    /// removed.
    void stop(Milliseconds limit);

private:
    struct Connection
    {
        std::uint64_t id = 0;
        ConnectionPhase phase = ConnectionPhase::New;
        std::size_t bytes = 0;
        SteadyTimeMs progressAt = 0;
        bool closed = false;
    };
    using Connections = std::map<Poco::Net::StreamSocket, Connection>;

    ConnectionActivity activityOf(const Connections::value_type &connection) const;
    std::vector<ConnectionFacts> factsOf(bool withBytes) const;
    bool isOverdue(const Connection &connection) const;
    /// Closes connections until another one may be added. Returns false if that is impossible.
    bool makeRoom();
    void closeById(std::uint64_t id);
    void close(Connections::value_type &connection);
    void releaseBytes(Connection &connection);

    const ConnectionSetLimits m_limits;
    const Clock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Connections m_connections;
    /// Connections that are not closed, and their bytes.
    std::size_t m_openConnections = 0;
    std::size_t m_bufferedBytes = 0;
    std::uint64_t m_nextId = 1;
    bool m_stopping = false;
};

} // namespace dandelionloom
