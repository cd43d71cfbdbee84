#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <nghttp2/nghttp2.h>

#include "Adapters/Peers/EventLoop.h"

namespace dandelionloom {

enum class Http2Role { Client, Server };

struct Http2Limits
{
    std::size_t maxBodyBytes = 0;
    std::uint32_t maxStreams = 0;
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBufferedBytes = 0;
};

/// Callbacks of a connection, all on the loop's thread and never from inside nghttp2.
struct Http2Events
{
    /// The whole body of a request (server) or a response (client).
    std::function<void(std::int32_t stream, std::string body)> message;
    std::function<void(std::int32_t stream)> streamEnded;
    std::function<void(std::size_t received, std::size_t sent)> bytes;
    /// The output buffer has room again.
    std::function<void()> drained;
    /// Once, with the reason; the descriptor is closed.
    std::function<void(const std::string &reason)> closed;
};

/// HTTP/2 with prior knowledge over one connected non-blocking socket. Carries message bodies;
/// what they mean is the business of the owner.
class Http2Connection : public std::enable_shared_from_this<Http2Connection>
{
public:
    /// Takes the descriptor.
    Http2Connection(EventLoop &loop, int descriptor, Http2Role role, const Http2Limits &limits,
                    Http2Events events);
    ~Http2Connection();
    Http2Connection(const Http2Connection &) = delete;
    Http2Connection &operator=(const Http2Connection &) = delete;

    /// Starts reading. Call once, after the owner has stored the pointer.
    void open();

    /// Stream id, or a negative nghttp2 error code.
    std::int32_t request(std::string body);
    void respond(std::int32_t stream, std::string body);
    void resetStream(std::int32_t stream);
    void ping();
    /// Sends GOAWAY and closes once it is written.
    void terminate();
    void close(const std::string &reason);

    /// Sets the limits of bodies and buffers from now on.
    void setLimits(const Http2Limits &limits) { m_limits = limits; }

    SteadyTimeMs lastReceivedAt() const { return m_lastReceivedAt; }
    /// True while messages are better kept back, as the peer doesn't read.
    bool congested() const { return !m_output.empty(); }
    std::size_t openStreams() const { return m_streams.size(); }

private:
    struct Stream
    {
        std::string inbound;
        std::string outbound;
        std::size_t outboundSent = 0;
        std::size_t headerBytes = 0;
    };
    struct SessionDeleter
    {
        void operator()(nghttp2_session *session) const { nghttp2_session_del(session); }
    };

    void createSession(Http2Role role);
    void onEvents(std::uint32_t events);
    /// False if the connection was closed.
    bool readSome();
    /// False on an error of the socket or the protocol, described in m_fault.
    bool writeSome();
    void run();
    void deliver();
    int fail(const std::string &fault);

    int onBeginHeaders(const nghttp2_frame &frame);
    int onHeader(const nghttp2_frame &frame, std::size_t nameLength, std::size_t valueLength);
    int onData(std::int32_t stream, const std::uint8_t *data, std::size_t length);
    int onFrame(const nghttp2_frame &frame);
    int onStreamClosed(std::int32_t stream);
    ssize_t onReadBody(std::int32_t stream, std::uint8_t *buffer, std::size_t length,
                       std::uint32_t *flags);
    static void setCallbacks(nghttp2_session_callbacks *callbacks);
    static nghttp2_data_provider bodyProvider();

    EventLoop &m_loop;
    int m_descriptor = -1;
    const Http2Role m_role;
    Http2Limits m_limits;
    Http2Events m_events;
    std::unique_ptr<nghttp2_session, SessionDeleter> m_session;
    EventLoop::WatchId m_watch = 0;
    std::map<std::int32_t, Stream> m_streams;
    std::size_t m_bufferedBytes = 0;
    std::string m_output;
    bool m_waitsForRoom = false;
    std::string m_fault;
    std::deque<std::pair<std::int32_t, std::string>> m_messages;
    std::deque<std::int32_t> m_endedStreams;
    bool m_running = false;
    bool m_again = false;
    bool m_closed = false;
    SteadyTimeMs m_lastReceivedAt = 0;
};

} // namespace dandelionloom
