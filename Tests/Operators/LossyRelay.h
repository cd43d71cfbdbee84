#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>

namespace dandelionloom::test {

/// A proxy that forwards each request to a server, waits for the response, and closes the client's
/// connection without returning it.
class LossyRelay
{
public:
    explicit LossyRelay(std::uint16_t serverPort);
    ~LossyRelay();

    LossyRelay(const LossyRelay &) = delete;
    LossyRelay &operator=(const LossyRelay &) = delete;

    std::string address() const;
    int discardedResponses() const { return m_discardedResponses; }

private:
    void run();

    const std::uint16_t m_serverPort;
    Poco::Net::ServerSocket m_socket;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_discardedResponses{0};
    std::thread m_thread;
};

/// A loopback address on which nothing listens: a port that was free when this was called.
std::string unusedAddress();

} // namespace dandelionloom::test
