#include "Adapters/Http/ConnectionSet.h"

#include <poll.h>

#include <algorithm>
#include <optional>
#include <vector>

#include <Poco/Exception.h>

namespace dandelionloom {

bool ConnectionSet::add(const Poco::Net::StreamSocket &socket, Milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    const bool ready = m_changed.wait_for(lock, wait, [this] { return m_stopping || makeRoom(); });
    if (!ready || m_stopping) {
        return false;
    }
    Connection connection;
    connection.id = m_nextId++;
    connection.progressAt = steadyTimeNow();
    m_connections.emplace(socket, connection);
    ++m_openConnections;
    return true;
}

void ConnectionSet::remove(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(socket);
    if (found == m_connections.end()) {
        return;
    }
    if (!found->second.closed) {
        releaseBytes(found->second);
        --m_openConnections;
    }
    m_connections.erase(found);
    m_changed.notify_all();
}

bool ConnectionSet::setPhase(const Poco::Net::StreamSocket &socket, ConnectionPhase phase)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(socket);
    if (found == m_connections.end() || found->second.closed) {
        return false;
    }
    Connection &connection = found->second;
    connection.phase = phase;
    if (phase != ConnectionPhase::Reading) {
        connection.progressAt = steadyTimeNow();
    }
    if (phase == ConnectionPhase::Idle) {
        releaseBytes(connection);
        if (m_stopping) {
            close(*found);
        }
    }
    m_changed.notify_all();
    return !connection.closed;
}

bool ConnectionSet::addBytes(const Poco::Net::StreamSocket &socket, std::size_t count)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(socket);
    if (found == m_connections.end() || found->second.closed) {
        return false;
    }
    if (found->second.phase == ConnectionPhase::Idle) {
        // Otherwise a new request would be the first one that gives way.
        found->second.phase = ConnectionPhase::Reading;
    }
    found->second.bytes += count;
    m_bufferedBytes += count;
    while (m_limits.maxBufferedBytes != 0 && m_bufferedBytes > m_limits.maxBufferedBytes
           && closeOne(true)) { }
    return !found->second.closed;
}

void ConnectionSet::stop(Milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
    for (auto &connection : m_connections) {
        if (!connection.second.closed && connection.second.phase == ConnectionPhase::Idle) {
            close(connection);
        }
    }
    const auto empty = [this] { return m_connections.empty(); };
    if (m_changed.wait_for(lock, limit, empty)) {
        return;
    }
    for (auto &connection : m_connections) {
        if (!connection.second.closed) {
            close(connection);
        }
    }
    m_changed.wait(lock, empty);
}

ConnectionActivity ConnectionSet::activityOf(const Connections::value_type &connection)
{
    const auto &[socket, state] = connection;
    switch (state.phase) {
    case ConnectionPhase::Idle:
        return ConnectionActivity::Idle;
    case ConnectionPhase::Reading:
        return ConnectionActivity::RequestIncomplete;
    case ConnectionPhase::Handling:
        return ConnectionActivity::RequestActive;
    case ConnectionPhase::Sending:
        break;
    }
    // The thread waits for a client that does not read if the kernel takes no more bytes.
    pollfd entry{socket.impl()->sockfd(), POLLOUT, 0};
    const bool writable = ::poll(&entry, 1, 0) > 0;
    return writable ? ConnectionActivity::RequestActive : ConnectionActivity::ResponseUnread;
}

bool ConnectionSet::makeRoom()
{
    while (m_openConnections >= m_limits.maxConnections) {
        if (!closeOne(false)) {
            return false;
        }
    }
    return true;
}

bool ConnectionSet::closeOne(bool withBytes)
{
    std::vector<ConnectionFacts> facts;
    for (const auto &connection : m_connections) {
        const Connection &state = connection.second;
        if (!state.closed && (!withBytes || state.bytes > 0)) {
            facts.push_back({state.id, activityOf(connection), state.bytes, state.progressAt});
        }
    }
    const std::optional<std::uint64_t> id = chooseConnectionToClose(facts);
    if (!id) {
        return false;
    }
    const auto chosen =
            std::find_if(m_connections.begin(), m_connections.end(),
                         [&](const auto &connection) { return connection.second.id == *id; });
    close(*chosen);
    return true;
}

void ConnectionSet::close(Connections::value_type &connection)
{
    connection.second.closed = true;
    releaseBytes(connection.second);
    --m_openConnections;
    try {
        Poco::Net::StreamSocket socket = connection.first;
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // The client has already closed the connection.
    }
}

void ConnectionSet::releaseBytes(Connection &connection)
{
    m_bufferedBytes -= connection.bytes;
    connection.bytes = 0;
}

} // namespace dandelionloom
