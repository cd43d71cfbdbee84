#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "Peers/PeerSupport.h"

namespace dandelionloom::test {

ByteRelay::ByteRelay(std::uint16_t targetPort) : m_targetPort(targetPort)
{
    m_listener = valueOf(listenOn(*parseSocketAddress("127.0.0.1:0")));
    m_port = portOf(localAddress(m_listener));
    m_loop.watch(m_listener, EPOLLIN, [this](std::uint32_t) { accept(); });
    m_loop.start();
}

ByteRelay::~ByteRelay()
{
    m_loop.stop();
    ::close(m_listener);
    for (std::size_t index = 0; index < m_pairs.size(); ++index) {
        closePair(index);
    }
}

void ByteRelay::dropResponses(bool dropped)
{
    m_loop.runAndWait([&] { m_droppingResponses = dropped; });
}

std::size_t ByteRelay::acceptedCount()
{
    std::size_t result = 0;
    m_loop.runAndWait([&] { result = m_pairs.size(); });
    return result;
}

void ByteRelay::accept()
{
    const int client = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
        return;
    }
    const std::string target = "127.0.0.1:" + std::to_string(m_targetPort);
    const int server = valueOf(startConnect(*parseSocketAddress(target)));
    const std::size_t index = m_pairs.size();
    m_pairs.push_back({client, server});
    m_watches.emplace_back(
            m_loop.watch(client, EPOLLIN, [this, index](std::uint32_t) { forward(index, false); }),
            m_loop.watch(server, EPOLLIN, [this, index](std::uint32_t) { forward(index, true); }));
}

void ByteRelay::forward(std::size_t index, bool fromServer)
{
    const Pair pair = m_pairs[index];
    std::array<char, 65536> buffer;
    const ssize_t count =
            ::recv(fromServer ? pair.server : pair.client, buffer.data(), buffer.size(), 0);
    if (count < 0) {
        return;
    }
    if (count == 0) {
        closePair(index);
        return;
    }
    if (fromServer && m_droppingResponses) {
        return;
    }
    // The messages of the tests are small enough to fit into the socket buffer.
    (void)!::send(fromServer ? pair.client : pair.server, buffer.data(),
                  static_cast<std::size_t>(count), MSG_NOSIGNAL);
}

void ByteRelay::closePair(std::size_t index)
{
    Pair &pair = m_pairs[index];
    if (pair.client < 0) {
        return;
    }
    m_loop.unwatch(m_watches[index].first);
    m_loop.unwatch(m_watches[index].second);
    ::close(pair.client);
    ::close(pair.server);
    pair = {};
}

} // namespace dandelionloom::test
