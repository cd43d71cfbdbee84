#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

#include <Poco/Net/StreamSocket.h>

#include "Adapters/Http/ConnectionPressure.h"
#include "Model/Time.h"

namespace dandelionloom {

/// What the thread of a connection does.
enum class ConnectionPhase {
    /// Waits for a request.
    Idle,
    Reading,
    Handling,
    Sending
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
    explicit ConnectionSet(const ConnectionSetLimits &limits) : m_limits(limits) { }

    /// Adds an idle connection. At the limit of connections, closes another one; while all others
    /// handle requests, waits up to `wait`. Returns false if there is no room or the listener is
    /// stopping.
    bool add(const Poco::Net::StreamSocket &socket, Milliseconds wait);
    /// Does nothing if add() has returned false.
    void remove(const Poco::Net::StreamSocket &socket);
    /// Returns false if the connection was closed by a limit or by stop(): its request must not be
    /// handled. An idle connection holds no bytes.
    bool setPhase(const Poco::Net::StreamSocket &socket, ConnectionPhase phase);
    /// Counts bytes of a request or response; the first ones end the phase Idle. Returns false as
    /// setPhase() does.
    bool addBytes(const Poco::Net::StreamSocket &socket, std::size_t count);
    /// Closes idle connections now and the others when they become idle, at the latest after
    /// `limit`. Returns when all connections were removed.
    void stop(Milliseconds limit);

private:
    struct Connection
    {
        std::uint64_t id = 0;
        ConnectionPhase phase = ConnectionPhase::Idle;
        std::size_t bytes = 0;
        SteadyTimeMs progressAt = 0;
        bool closed = false;
    };
    using Connections = std::map<Poco::Net::StreamSocket, Connection>;

    static ConnectionActivity activityOf(const Connections::value_type &connection);
    /// Closes connections until another one may be added. Returns false if that is impossible.
    bool makeRoom();
    /// Returns false if no connection may be closed.
    bool closeOne(bool withBytes);
    void close(Connections::value_type &connection);
    void releaseBytes(Connection &connection);

    const ConnectionSetLimits m_limits;
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
