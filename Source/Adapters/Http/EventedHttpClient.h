#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Adapters/Peers/EventLoop.h"
#include "Model/HttpMessage.h"
#include "Model/Result.h"
#include "Model/Time.h"

namespace dandelionloom {

enum class HttpCallErrorKind {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been carried out.
    NoAnswer
};

struct HttpCallError
{
    HttpCallErrorKind kind = HttpCallErrorKind::NotSent;
    std::string message;
};

struct HttpCall
{
    /// IP number and port.
    std::string address;
    std::string method = "POST";
    std::string path;
    HttpHeaders headers;
    std::string body;
    Milliseconds timeout{1000};
};

struct HttpClientLimits
{
    /// Connections to one address. A long poll holds one of them.
    std::size_t connectionsPerAddress = 4;
    std::size_t maxAnswerBytes = 4 * 1024 * 1024;
};

/// Calls over kept HTTP/1.1 connections on an event loop. Used on the loop's thread only. A call is
/// sent once: repeating it is the caller's decision.
class EventedHttpClient
{
public:
    using Result = dandelionloom::Result<HttpResponse, HttpCallError>;
    using Done = std::function<void(Result)>;

    EventedHttpClient(EventLoop &loop, HttpClientLimits limits);
    ~EventedHttpClient();
    EventedHttpClient(const EventedHttpClient &) = delete;
    EventedHttpClient &operator=(const EventedHttpClient &) = delete;

    /// `done` is called exactly once unless the client ends before. Calls past the limit of
    /// connections wait for one, within their timeout.
    void call(HttpCall call, Done done);
    /// Closes the connections to an address that are not in use.
    void closeConnectionsTo(const std::string &address);
    std::uint64_t connectionsOpened() const { return m_opened; }

private:
    struct Pending
    {
        HttpCall call;
        Done done;
        EventLoop::TimerId timer;
    };
    struct Connection
    {
        std::string address;
        int descriptor = -1;
        EventLoop::WatchId watch = 0;
        bool connected = false;
        std::string output;
        std::string input;
        bool sentAny = false;
        /// Id of the call in progress; 0 when idle.
        std::uint64_t call = 0;
    };
    struct Address
    {
        std::deque<std::uint64_t> idle;
        std::deque<std::uint64_t> waiting;
        std::size_t connections = 0;
    };

    void dispatch(const std::string &address);
    bool open(const std::string &address);
    void assign(std::uint64_t connection, std::uint64_t call);
    void onEvent(std::uint64_t connection, std::uint32_t events);
    void send(std::uint64_t connection);
    void receive(std::uint64_t connection);
    void timedOut(std::uint64_t call);
    void finish(std::uint64_t call, Result result);
    void drop(std::uint64_t connection, const std::string &reason);

    EventLoop &m_loop;
    const HttpClientLimits m_limits;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_opened = 0;
    std::map<std::uint64_t, Pending> m_calls;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::map<std::string, Address> m_addresses;
};

} // namespace dandelionloom
