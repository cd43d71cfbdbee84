#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>

namespace dandelionloom::test {

/// Passes each request on to a server, waits for its answer, and closes the connection without
/// passing the answer back.
class LossyRelay
{
public:
    explicit LossyRelay(std::uint16_t serverPort);
    ~LossyRelay();

    LossyRelay(const LossyRelay &) = delete;
    LossyRelay &operator=(const LossyRelay &) = delete;

    std::string address() const;
    int lostAnswers() const { return m_lostAnswers; }

private:
    void run();

    const std::uint16_t m_serverPort;
    Poco::Net::ServerSocket m_socket;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_lostAnswers{0};
    std::thread m_thread;
};

/// A loopback address on which nothing listens: its port was free a moment ago.
std::string unusedAddress();

} // namespace dandelionloom::test
