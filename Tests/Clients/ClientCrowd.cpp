#include "Clients/ClientCrowd.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

#include "Adapters/Peers/PeerSockets.h"

namespace dandelionloom::test {

namespace {

constexpr std::size_t blockBytes = 64 * 1024;
/// Without progress on any connection for this long, the server takes no more bytes.
constexpr int quietMs = 2000;
/// Ends a test against a server that doesn't answer; longer than any time limit of the product.
constexpr int responseLimitMs = 60000;

int connectTo(const std::string &address)
{
    const auto target = parseSocketAddress(address);
    const auto socket = target ? startConnect(*target) : SocketError{"not an address: " + address};
    if (!isOk(socket)) {
        throw std::runtime_error(errorOf(socket).message);
    }
    return valueOf(socket);
}

bool waitFor(int descriptor, short events)
{
    pollfd entry{descriptor, events, 0};
    return ::poll(&entry, 1, responseLimitMs) == 1;
}

} // namespace

ClientCrowd::ClientCrowd(const ClientCrowdOptions &options)
    : m_bytesPerConnection(options.bytesPerConnection)
{
    for (const std::string &request : options.requests) {
        std::string block;
        while (block.size() < blockBytes) {
            block += request;
        }
        m_blocks.push_back(std::move(block));
    }
    for (std::size_t index = 0; index < options.connections; ++index) {
        m_clients.push_back({connectTo(options.address), 0, false, index % m_blocks.size()});
        if (!options.prologue.empty()) {
            exchangePrologue(m_clients.back(), options);
        }
    }
}

ClientCrowd::~ClientCrowd()
{
    for (const Client &client : m_clients) {
        ::close(client.descriptor);
    }
}

void ClientCrowd::exchangePrologue(const Client &client, const ClientCrowdOptions &options)
{
    const auto size = static_cast<ssize_t>(options.prologue.size());
    std::string reply;
    if (waitFor(client.descriptor, POLLOUT)
        && ::send(client.descriptor, options.prologue.data(), options.prologue.size(), MSG_NOSIGNAL)
                == size) {
        std::array<char, 4096> buffer{};
        while (reply.find(options.prologueReply) == std::string::npos
               && waitFor(client.descriptor, POLLIN)) {
            const ssize_t count = ::recv(client.descriptor, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                break;
            }
            reply.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }
    if (reply.find(options.prologueReply) == std::string::npos) {
        throw std::runtime_error("the server did not reply to the prologue");
    }
}

bool ClientCrowd::isSending(const Client &client) const
{
    return !client.closedByServer && client.sent < m_bytesPerConnection;
}

void ClientCrowd::sendSome(Client &client) const
{
    const std::string &block = m_blocks[client.block];
    const std::size_t offset = client.sent % block.size();
    const ssize_t count =
            ::send(client.descriptor, block.data() + offset, block.size() - offset, MSG_NOSIGNAL);
    if (count > 0) {
        client.sent += static_cast<std::size_t>(count);
    } else if (errno != EAGAIN && errno != EINTR) {
        client.closedByServer = true;
    }
}

void ClientCrowd::send()
{
    for (;;) {
        std::vector<pollfd> entries;
        std::vector<Client *> senders;
        for (Client &client : m_clients) {
            if (isSending(client)) {
                entries.push_back({client.descriptor, POLLOUT, 0});
                senders.push_back(&client);
            }
        }
        if (entries.empty() || ::poll(entries.data(), entries.size(), quietMs) <= 0) {
            return;
        }
        for (std::size_t index = 0; index < entries.size(); ++index) {
            if (entries[index].revents != 0) {
                sendSome(*senders[index]);
            }
        }
    }
}

std::size_t ClientCrowd::sentBytes() const
{
    std::size_t bytes = 0;
    for (const Client &client : m_clients) {
        bytes += client.sent;
    }
    return bytes;
}

int statusOfRequest(const std::string &address, const std::string &request)
{
    const int descriptor = connectTo(address);
    std::string response;
    if (waitFor(descriptor, POLLOUT)
        && ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(request.size())) {
        std::array<char, 4096> buffer{};
        while (response.find("\r\n") == std::string::npos && waitFor(descriptor, POLLIN)) {
            const ssize_t count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                break;
            }
            response.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }
    ::close(descriptor);
    const std::string prefix = "HTTP/1.1 ";
    return response.starts_with(prefix) ? std::atoi(response.c_str() + prefix.size()) : 0;
}

} // namespace dandelionloom::test
