#pragma once

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace dandelionloom::scenario {

/// TCP relay between two peers that can block each direction and delay the bytes. A blocked
/// direction stays connected and its bytes wait, as in a network partition.
class Relay
{
public:
    Relay(const std::string &listenAddress, std::string targetAddress);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    void setBlocked(bool forward, bool backward);
    void setDelay(int milliseconds);
    /// Closes all connections, so that bytes that wait in a blocked direction are lost.
    void reset();

private:
    struct Direction
    {
        std::atomic<bool> blocked{false};
    };
    struct Connection
    {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket server;
        std::atomic<int> running{2};
        std::thread forward;
        std::thread backward;
    };

    void acceptConnections();
    void forwardBytes(Connection &connection, Poco::Net::StreamSocket &from,
                      Poco::Net::StreamSocket &to, const Direction &direction);
    void joinConnections(bool all);

    Poco::Net::ServerSocket m_socket;
    const std::string m_target;
    Direction m_forward;
    Direction m_backward;
    std::atomic<int> m_delayMs{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::list<Connection> m_connections;
    std::thread m_thread;
};

} // namespace dandelionloom::scenario
