#include "Relay.h"

#include <array>
#include <chrono>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

namespace dandelionloom::scenario {

namespace {

/// How soon a change of a cut or a stop is noticed.
const Poco::Timespan pollInterval(0, 5000);
constexpr std::size_t chunkBytes = 16384;

void shutdownQuietly(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // The other side has closed already.
    }
}

} // namespace

Relay::Relay(const std::string &listenAddress, std::string targetAddress)
    : m_socket(Poco::Net::SocketAddress(listenAddress)), m_target(std::move(targetAddress)),
      m_thread([this] { accept(); })
{ }

Relay::~Relay()
{
    m_stopping = true;
    m_thread.join();
    reset();
    reapLinks(true);
}

void Relay::cut(bool forward, bool backward)
{
    m_forward.cut = forward;
    m_backward.cut = backward;
}

void Relay::delay(int milliseconds)
{
    m_delayMs = milliseconds;
}

void Relay::reset()
{
    const std::lock_guard lock(m_mutex);
    for (Link &link : m_links) {
        shutdownQuietly(link.client);
        shutdownQuietly(link.server);
    }
}

void Relay::accept()
{
    while (!m_stopping) {
        reapLinks(false);
        if (!m_socket.poll(pollInterval, Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        try {
            Poco::Net::StreamSocket client = m_socket.acceptConnection();
            Poco::Net::StreamSocket server{Poco::Net::SocketAddress(m_target)};
            client.setNoDelay(true);
            server.setNoDelay(true);
            const std::lock_guard lock(m_mutex);
            Link &link = m_links.emplace_back();
            link.client = client;
            link.server = server;
            link.forward =
                    std::thread([this, &link] { copy(link, link.client, link.server, m_forward); });
            link.backward = std::thread(
                    [this, &link] { copy(link, link.server, link.client, m_backward); });
        } catch (const Poco::Exception &) {
            // The target is down; the client sees its connection closed.
        }
    }
}

void Relay::copy(Link &link, Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to,
                 const Direction &direction)
{
    std::array<char, chunkBytes> buffer;
    try {
        while (!m_stopping) {
            if (direction.cut) {
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
            // The cut may have come while the bytes were being read; they wait like the others.
            while (direction.cut && !m_stopping) {
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
            }
            to.sendBytes(buffer.data(), count);
        }
    } catch (const Poco::Exception &) {
        // Either side closed its connection.
    }
    shutdownQuietly(from);
    shutdownQuietly(to);
    --link.running;
}

void Relay::reapLinks(bool all)
{
    const std::lock_guard lock(m_mutex);
    for (auto link = m_links.begin(); link != m_links.end();) {
        if (!all && link->running > 0) {
            ++link;
            continue;
        }
        link->forward.join();
        link->backward.join();
        link = m_links.erase(link);
    }
}

} // namespace dandelionloom::scenario
