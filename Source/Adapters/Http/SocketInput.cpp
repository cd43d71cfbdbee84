#include "Adapters/Http/SocketInput.h"

#include <poll.h>

#include <array>
#include <cerrno>
#include <cstddef>

namespace dandelionloom {

namespace {

constexpr Milliseconds lingerTimeout{500};
constexpr std::size_t maxLingerBytes = 256 * 1024;
constexpr std::size_t readBytes = 4096;

} // namespace

bool waitForInput(const Poco::Net::StreamSocket &socket, SteadyTimeMs timeoutMs)
{
    // Poco::Net::Socket::poll() takes a further descriptor for each waiting thread.
    pollfd entry{socket.impl()->sockfd(), POLLIN, 0};
    int count = -1;
    do {
        count = ::poll(&entry, 1, static_cast<int>(timeoutMs));
    } while (count < 0 && errno == EINTR);
    return count > 0;
}

void discardInput(Poco::Net::StreamSocket &socket)
{
    const SteadyTimeMs deadline = steadyTimeNow() + lingerTimeout.count();
    std::array<char, readBytes> discarded;
    for (std::size_t bytes = 0; bytes < maxLingerBytes;) {
        const SteadyTimeMs remainingMs = deadline - steadyTimeNow();
        if (remainingMs <= 0 || !waitForInput(socket, remainingMs)) {
            return;
        }
        const int count = socket.receiveBytes(discarded.data(), static_cast<int>(discarded.size()));
        if (count <= 0) {
            return;
        }
        bytes += static_cast<std::size_t>(count);
    }
}

} // namespace dandelionloom
