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

/// Callbacks of a connection. They run on the loop's thread and never from within an nghttp2 call.
struct Http2Events
{
    /// The complete body of a request (server) or a response (client).
    std::function<void(std::int32_t stream, std::string body)> message;
    std::function<void(std::int32_t stream)> streamClosed;
    std::function<void(std::size_t received, std::size_t sent)> bytesTransferred;
    /// The value of heldBytes() has changed. May be empty.
    std::function<void(std::size_t bytes)> heldBytesChanged;
    /// The output buffer is empty again after the socket had blocked.
    std::function<void()> outputDrained;
    /// Called once, with the reason, after the descriptor was closed.
    std::function<void(const std::string &reason)> closed;
};

/// HTTP/2 with prior knowledge over one connected non-blocking socket. Carries message bodies,
/// which the owner interprets.
class Http2Connection : public std::enable_shared_from_this<Http2Connection>
{
public:
    /// Takes ownership of the descriptor.
    Http2Connection(EventLoop &loop, int descriptor, Http2Role role, const Http2Limits &limits,
                    Http2Events events);
    ~Http2Connection();
    Http2Connection(const Http2Connection &) = delete;
    Http2Connection &operator=(const Http2Connection &) = delete;

    /// Starts reading. Call once, after storing the shared pointer, as callbacks may run at once.
    void open();

    /// Sends a request and returns its stream id, or a negative nghttp2 error code.
    std::int32_t request(std::string body);
    void respond(std::int32_t stream, std::string body);
    void resetStream(std::int32_t stream);
    /// Resets a stream whose request was not handled; the client may send it again.
    void refuseStream(std::int32_t stream);
    /// Frees the largest message that is incomplete or was not sent completely, and resets its
    /// stream. Returns false if there is none. A request that is being handled stays.
    bool discardLargestMessage();
    void ping();
    /// Sends GOAWAY and closes the connection once it has been written.
    void terminate();
    void close(const std::string &reason);

    /// Changes the limits for bodies, header fields and buffers; the stream limit, which was
    /// announced in the SETTINGS frame, stays.
    void setLimits(const Http2Limits &limits) { m_limits = limits; }

    SteadyTimeMs lastReceivedAt() const { return m_lastReceivedAt; }
    /// True while the socket has not accepted all output. Callers should then hold back further
    /// messages.
    bool hasUnsentOutput() const { return !m_output.empty(); }
    std::size_t openStreams() const { return m_streams.size(); }
    /// Bytes of incomplete messages and of messages that were not sent completely, which
    /// discardLargestMessage() can free.
    std::size_t heldBytes() const { return m_bufferedBytes + m_unsentBytes; }

private:
    struct Stream
    {
        std::string inbound;
        std::string outbound;
        std::size_t outboundSent = 0;
        std::size_t headerBytes = 0;
        bool discarded = false;
    };
    struct SessionDeleter
    {
        void operator()(nghttp2_session *session) const { nghttp2_session_del(session); }
    };

    void createSession(Http2Role role);
    void onEvents(std::uint32_t events);
    /// Returns false if it closed the connection.
    bool readInput();
    /// Returns false on a socket or protocol error, which m_error describes.
    bool writeOutput();
    /// Writes pending output and delivers collected events until neither causes the other. Calls
    /// from within event callbacks only request another round. Closes a connection whose session
    /// has ended.
    void flush();
    void deliverEvents();
    void reportHeldBytes();
    void submitReset(std::int32_t stream, std::uint32_t errorCode);
    /// Stores the error and returns the code that makes nghttp2 fail the session.
    int failSession(const std::string &error);

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
    std::size_t m_unsentBytes = 0;
    std::size_t m_reportedBytes = 0;
    std::string m_output;
    bool m_waitingForWritable = false;
    std::string m_error;
    std::deque<std::pair<std::int32_t, std::string>> m_messages;
    std::deque<std::int32_t> m_closedStreams;
    bool m_flushing = false;
    bool m_flushAgain = false;
    bool m_closed = false;
    SteadyTimeMs m_lastReceivedAt = 0;
};

} // namespace dandelionloom
