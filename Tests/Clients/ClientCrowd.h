#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace dandelionloom::test {

struct ClientCrowdOptions
{
    /// IP address and port of the listener.
    std::string address;
    std::size_t connections = 48;
    std::size_t bytesPerConnection = 4 * 1024 * 1024;
    /// Whole requests, of which each connection repeats one until it has sent its bytes. Without
    /// bytes, a connection sends nothing; with fewer than a request has, a part of it.
    std::vector<std::string> requests;
    /// Sent once on each connection, before its requests. Its bytes don't count.
    std::string prologue = {};
    /// Text in what the server sends after the prologue.
    std::string prologueReply = {};
};

/// Clients that send requests ahead and read no response. Their connections stay open until the
/// destructor, unless the server closes them.
class ClientCrowd
{
public:
    explicit ClientCrowd(const ClientCrowdOptions &options);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /// Sends until each connection has sent all its bytes or was closed by the server, or the
    /// server takes no more bytes from any of them.
    void send();
    std::size_t sentBytes() const;

private:
    struct Client
    {
        int descriptor = -1;
        std::size_t sent = 0;
        bool closedByServer = false;
        /// A large block of repetitions of one request.
        std::size_t block = 0;
    };

    static void exchangePrologue(const Client &client, const ClientCrowdOptions &options);
    bool isSending(const Client &client) const;
    void sendSome(Client &client) const;

    const std::size_t m_bytesPerConnection;
    std::vector<std::string> m_blocks;
    std::vector<Client> m_clients;
};

/// Sends one request on a new connection and returns the status of the response; 0 if there is
/// none.
int statusOfRequest(const std::string &address, const std::string &request);

} // namespace dandelionloom::test
