#pragma once

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace dandelionloom::scenario {

/// Forwards bytes between one peer and another, and can cut or delay each direction. A cut
/// direction stays connected and silent: the bytes wait, as in a network partition.
class Relay
{
public:
    Relay(const std::string &listenAddress, std::string targetAddress);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    void cut(bool forward, bool backward);
    void delay(int milliseconds);
    /// Closes all connections, so that bytes held back by a cut are lost.
    void reset();

private:
    struct Direction
    {
        std::atomic<bool> cut{false};
    };
    struct Link
    {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket server;
        std::atomic<int> running{2};
        std::thread forward;
        std::thread backward;
    };

    void accept();
    void copy(Link &link, Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to,
              const Direction &direction);
    void reapLinks(bool all);

    Poco::Net::ServerSocket m_socket;
    const std::string m_target;
    Direction m_forward;
    Direction m_backward;
    std::atomic<int> m_delayMs{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::list<Link> m_links;
    std::thread m_thread;
};

} // namespace dandelionloom::scenario
