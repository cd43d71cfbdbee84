#include "Adapters/Http/ConnectionSet.h"

#include <poll.h>

#include <algorithm>
#include <optional>
#include <vector>

#include <Poco/Exception.h>

namespace dandelionloom {

namespace {

/// How often a stop looks for connections whose client takes no more of a response.
constexpr Milliseconds stopCheckInterval{100};

bool waitsForRequest(ConnectionPhase phase)
{
    return phase == ConnectionPhase::New || phase == ConnectionPhase::Idle;
}

} // namespace

bool ConnectionSet::add(const Poco::Net::StreamSocket &socket, Milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    const bool ready = m_changed.wait_for(lock, wait, [this] { return m_stopping || makeRoom(); });
    if (!ready || m_stopping) {
        return false;
    }
    Connection connection;
    connection.id = m_nextId++;
    connection.progressAt = m_clock();
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
    // A request begins at the end of the idle time, the first one when the connection is accepted.
    if (phase != ConnectionPhase::Reading || connection.phase == ConnectionPhase::Idle) {
        connection.progressAt = m_clock();
    }
    connection.phase = phase;
    if (phase == ConnectionPhase::Idle || phase == ConnectionPhase::Lingering) {
        releaseBytes(connection);
    }
    if (phase == ConnectionPhase::Idle && m_stopping) {
        close(*found);
    }
    m_changed.notify_all();
    return !connection.closed;
}

AddBytesResult ConnectionSet::addBytes(const Poco::Net::StreamSocket &socket, std::size_t count)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(socket);
    if (found == m_connections.end() || found->second.closed) {
        return AddBytesResult::Closed;
    }
    Connection &connection = found->second;
    if (waitsForRequest(connection.phase)) {
        // Otherwise a new request would be the first one that gives way.
        if (connection.phase == ConnectionPhase::Idle) {
            connection.progressAt = m_clock();
        }
        connection.phase = ConnectionPhase::Reading;
    }
    connection.bytes += count;
    m_bufferedBytes += count;
    while (m_limits.maxBufferedBytes != 0 && m_bufferedBytes > m_limits.maxBufferedBytes
           && !connection.closed) {
        const std::vector<ConnectionFacts> facts = factsOf(true);
        const std::optional<std::uint64_t> id = chooseConnectionToClose(facts);
        if (!id) {
            break;
        }
        const auto candidates = std::count_if(facts.begin(), facts.end(), [](const auto &item) {
            return item.activity != ConnectionActivity::RequestActive;
        });
        if (*id == connection.id && candidates == 1
            && connection.phase == ConnectionPhase::Reading) {
            releaseBytes(connection);
            return AddBytesResult::NoRoom;
        }
        closeById(*id);
    }
    return connection.closed ? AddBytesResult::Closed : AddBytesResult::Added;
}

void ConnectionSet::noteProgress(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(socket);
    if (found != m_connections.end() && found->second.phase == ConnectionPhase::Sending) {
        found->second.progressAt = m_clock();
    }
}

void ConnectionSet::stop(Milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
    for (auto &connection : m_connections) {
        if (!connection.second.closed && waitsForRequest(connection.second.phase)) {
            close(connection);
        }
    }
    const auto empty = [this] { return m_connections.empty(); };
    Milliseconds wait = limit;
    while (!m_changed.wait_for(lock, wait, empty)) {
        for (auto &connection : m_connections) {
            if (isOverdue(connection.second)) {
                close(connection);
            }
        }
        wait = stopCheckInterval;
    }
}

bool ConnectionSet::isOverdue(const Connection &connection) const
{
    switch (connection.phase) {
    case ConnectionPhase::Handling:
    case ConnectionPhase::Lingering:
        return false;
    case ConnectionPhase::Sending:
        return !connection.closed && m_clock() - connection.progressAt >= unreadGraceMs;
    case ConnectionPhase::New:
    case ConnectionPhase::Idle:
    case ConnectionPhase::Reading:
        break;
    }
    return !connection.closed;
}

ConnectionActivity ConnectionSet::activityOf(const Connections::value_type &connection) const
{
    const auto &[socket, state] = connection;
    switch (state.phase) {
    case ConnectionPhase::Idle:
        return ConnectionActivity::Idle;
    case ConnectionPhase::New:
    case ConnectionPhase::Reading:
        return ConnectionActivity::RequestIncomplete;
    case ConnectionPhase::Handling:
        return ConnectionActivity::RequestActive;
    case ConnectionPhase::Lingering:
        return ConnectionActivity::ResponseUnread;
    case ConnectionPhase::Sending:
        break;
    }
    // The thread waits for a client that does not read if the kernel takes no more bytes.
    pollfd entry{socket.impl()->sockfd(), POLLOUT, 0};
    const bool writable = ::poll(&entry, 1, 0) > 0;
    return activityOfResponse(writable, m_clock() - state.progressAt);
}

bool ConnectionSet::makeRoom()
{
    while (m_openConnections >= m_limits.maxConnections) {
        const std::optional<std::uint64_t> id = chooseConnectionToClose(factsOf(false));
        if (!id) {
            return false;
        }
        closeById(*id);
    }
    return true;
}

std::vector<ConnectionFacts> ConnectionSet::factsOf(bool withBytes) const
{
    std::vector<ConnectionFacts> facts;
    for (const auto &connection : m_connections) {
        const Connection &state = connection.second;
        if (!state.closed && (!withBytes || state.bytes > 0)) {
            facts.push_back({state.id, activityOf(connection), state.bytes, state.progressAt});
        }
    }
    return facts;
}

void ConnectionSet::closeById(std::uint64_t id)
{
    const auto chosen =
            std::find_if(m_connections.begin(), m_connections.end(),
                         [&](const auto &connection) { return connection.second.id == id; });
    close(*chosen);
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
