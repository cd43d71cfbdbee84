#include "Relay.h"

#include <array>
#include <chrono>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

namespace dandelionloom::scenario {

namespace {

/// How long one poll blocks, which bounds how late a block or a stop takes effect.
const Poco::Timespan pollInterval(0, 5000);
constexpr std::size_t bufferBytes = 16384;

void shutdownIgnoringErrors(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // The peer has already closed the connection.
    }
}

} // namespace

Relay::Relay(const std::string &listenAddress, std::string targetAddress)
    : m_socket(Poco::Net::SocketAddress(listenAddress)), m_target(std::move(targetAddress)),
      m_thread([this] { acceptConnections(); })
{ }

Relay::~Relay()
{
    m_stopping = true;
    m_thread.join();
    reset();
    joinConnections(true);
}

void Relay::setBlocked(bool forward, bool backward)
{
    m_forward.blocked = forward;
    m_backward.blocked = backward;
}

void Relay::setDelay(int milliseconds)
{
    m_delayMs = milliseconds;
}

void Relay::reset()
{
    const std::lock_guard lock(m_mutex);
    for (Connection &connection : m_connections) {
        shutdownIgnoringErrors(connection.client);
        shutdownIgnoringErrors(connection.server);
    }
}

void Relay::acceptConnections()
{
    while (!m_stopping) {
        joinConnections(false);
        if (!m_socket.poll(pollInterval, Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        try {
            Poco::Net::StreamSocket client = m_socket.acceptConnection();
            Poco::Net::StreamSocket server{Poco::Net::SocketAddress(m_target)};
            client.setNoDelay(true);
            server.setNoDelay(true);
            const std::lock_guard lock(m_mutex);
            Connection &connection = m_connections.emplace_back();
            connection.client = client;
            connection.server = server;
            connection.forward = std::thread([this, &connection] {
                forwardBytes(connection, connection.client, connection.server, m_forward);
            });
            connection.backward = std::thread([this, &connection] {
                forwardBytes(connection, connection.server, connection.client, m_backward);
            });
        } catch (const Poco::Exception &) {
            // The target is down; the end of the scope closes the connection of the client.
        }
    }
}

void Relay::forwardBytes(Connection &connection, Poco::Net::StreamSocket &from,
                         Poco::Net::StreamSocket &to, const Direction &direction)
{
    std::array<char, bufferBytes> buffer;
    try {
        while (!m_stopping) {
            if (direction.blocked) {
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
                continue;
            }
            if (!from.poll(pollInterval, Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            const int count = from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0) {
                break;
            }
            if (m_delayMs > 0) {
                std::this_thread::sleep_for(std::chrono::milliseconds(m_delayMs));
            }
            // The direction may have been blocked during the read; then these bytes wait as well.
            while (direction.blocked && !m_stopping) {
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
            }
            to.sendBytes(buffer.data(), count);
        }
    } catch (const Poco::Exception &) {
        // Either side closed its connection.
    }
    shutdownIgnoringErrors(from);
    shutdownIgnoringErrors(to);
    --connection.running;
}

void Relay::joinConnections(bool all)
{
    const std::lock_guard lock(m_mutex);
    for (auto connection = m_connections.begin(); connection != m_connections.end();) {
        if (!all && connection->running > 0) {
            ++connection;
            continue;
        }
        connection->forward.join();
        connection->backward.join();
        connection = m_connections.erase(connection);
    }
}

} // namespace dandelionloom::scenario
