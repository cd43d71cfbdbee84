#include "Adapters/Peers/Http2Connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace dandelionloom {

namespace {

constexpr std::size_t readBufferBytes = 64U << 10U;
/// Limits the reads per event, so that one busy connection does not starve the others.
constexpr int maxReadsPerEvent = 4;
/// Small, so that a heartbeat queues behind only few bytes of a snapshot chunk.
constexpr std::size_t outputBufferBytes = 64U << 10U;
constexpr std::uint32_t streamWindowBytes = 1U << 20U;
constexpr std::int32_t connectionWindowBytes = 8 << 20;

std::string errorText(int errorNumber)
{
    return std::strerror(errorNumber);
}

} // namespace

Http2Connection::Http2Connection(EventLoop &loop, int descriptor, Http2Role role,
                                 const Http2Limits &limits, Http2Events events)
    : m_loop(loop), m_descriptor(descriptor), m_role(role), m_limits(limits),
      m_events(std::move(events)), m_lastReceivedAt(steadyTimeNow())
{
    createSession(role);
}

Http2Connection::~Http2Connection()
{
    if (!m_closed) {
        m_loop.unwatch(m_watch);
        ::close(m_descriptor);
    }
}

void Http2Connection::createSession(Http2Role role)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    setCallbacks(callbacks);
    nghttp2_session *session = nullptr;
    if (role == Http2Role::Client) {
        nghttp2_session_client_new(&session, callbacks, this);
    } else {
        nghttp2_session_server_new(&session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    m_session.reset(session);

    const std::array<nghttp2_settings_entry, 4> settings{
            {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_limits.maxStreams},
             {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes},
             {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
              static_cast<std::uint32_t>(m_limits.maxHeaderBytes)},
             {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

void Http2Connection::open()
{
    const std::weak_ptr<Http2Connection> weak = weak_from_this();
    m_watch = m_loop.watch(m_descriptor, EPOLLIN, [weak](std::uint32_t events) {
        if (const std::shared_ptr<Http2Connection> self = weak.lock()) {
            self->onEvents(events);
        }
    });
    flush();
}

std::int32_t Http2Connection::request(std::string body)
{
    if (m_closed) {
        return NGHTTP2_ERR_INVALID_STATE;
    }
    const auto field = [](const char *name, const char *value) {
        return nghttp2_nv{reinterpret_cast<std::uint8_t *>(const_cast<char *>(name)),
                          reinterpret_cast<std::uint8_t *>(const_cast<char *>(value)),
                          std::strlen(name), std::strlen(value),
                          NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_COPY_VALUE};
    };
    const std::array<nghttp2_nv, 4> fields{field(":method", "POST"), field(":scheme", "http"),
                                           field(":path", "/"), field(":authority", "peer")};
    const nghttp2_data_provider provider = bodyProvider();
    const std::int32_t stream = nghttp2_submit_request(m_session.get(), nullptr, fields.data(),
                                                       fields.size(), &provider, nullptr);
    if (stream < 0) {
        return stream;
    }
    m_unsentBytes += body.size();
    m_streams[stream].outbound = std::move(body);
    m_flushAgain = true;
    flush();
    return stream;
}

void Http2Connection::respond(std::int32_t stream, std::string body)
{
    const auto found = m_streams.find(stream);
    if (m_closed || found == m_streams.end()) {
        return;
    }
    m_unsentBytes += body.size();
    found->second.outbound = std::move(body);
    static const std::string name = ":status";
    static const std::string value = "200";
    const nghttp2_nv status{reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
                            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())),
                            name.size(), value.size(),
                            NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_COPY_VALUE};
    const nghttp2_data_provider provider = bodyProvider();
    nghttp2_submit_response(m_session.get(), stream, &status, 1, &provider);
    m_flushAgain = true;
    flush();
}

void Http2Connection::resetStream(std::int32_t stream)
{
    submitReset(stream, NGHTTP2_CANCEL);
}

void Http2Connection::refuseStream(std::int32_t stream)
{
    submitReset(stream, NGHTTP2_REFUSED_STREAM);
}

void Http2Connection::submitReset(std::int32_t stream, std::uint32_t errorCode)
{
    if (m_closed) {
        return;
    }
    nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, stream, errorCode);
    m_flushAgain = true;
    flush();
}

bool Http2Connection::discardLargestMessage()
{
    const auto bytesOf = [](const Stream &stream) {
        return stream.inbound.size() + stream.outbound.size();
    };
    const auto largest = std::max_element(m_streams.begin(), m_streams.end(),
                                          [&](const auto &left, const auto &right) {
                                              return bytesOf(left.second) < bytesOf(right.second);
                                          });
    if (m_closed || largest == m_streams.end() || bytesOf(largest->second) == 0) {
        return false;
    }
    Stream &stream = largest->second;
    m_bufferedBytes -= stream.inbound.size();
    m_unsentBytes -= stream.outbound.size();
    stream.inbound = std::string();
    stream.outbound = std::string();
    stream.outboundSent = 0;
    stream.discarded = true;
    resetStream(largest->first);
    return true;
}

void Http2Connection::ping()
{
    if (m_closed) {
        return;
    }
    nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
    m_flushAgain = true;
    flush();
}

void Http2Connection::terminate()
{
    if (m_closed) {
        return;
    }
    nghttp2_session_terminate_session(m_session.get(), NGHTTP2_NO_ERROR);
    m_flushAgain = true;
    flush();
}

void Http2Connection::close(const std::string &reason)
{
    if (m_closed) {
        return;
    }
    const std::shared_ptr<Http2Connection> self = shared_from_this();
    m_closed = true;
    m_loop.unwatch(m_watch);
    ::close(m_descriptor);
    m_descriptor = -1;
    m_events.closed(reason);
}

void Http2Connection::onEvents(std::uint32_t events)
{
    const std::shared_ptr<Http2Connection> self = shared_from_this();
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && !readInput()) {
        return;
    }
    m_flushAgain = true;
    flush();
}

bool Http2Connection::readInput()
{
    std::array<std::uint8_t, readBufferBytes> buffer;
    for (int round = 0; round < maxReadsPerEvent; ++round) {
        const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return true;
        }
        if (count <= 0) {
            const std::string reason = count == 0 ? "closed by the peer" : errorText(errno);
            deliverEvents();
            close(reason);
            return false;
        }
        m_lastReceivedAt = steadyTimeNow();
        m_events.bytesTransferred(static_cast<std::size_t>(count), 0);
        const ssize_t consumed = nghttp2_session_mem_recv(m_session.get(), buffer.data(),
                                                          static_cast<std::size_t>(count));
        if (consumed < 0) {
            close(m_error.empty() ? nghttp2_strerror(static_cast<int>(consumed)) : m_error);
            return false;
        }
        if (static_cast<std::size_t>(count) < buffer.size()) {
            return true;
        }
    }
    return true;
}

bool Http2Connection::writeOutput()
{
    for (;;) {
        while (m_output.size() < outputBufferBytes) {
            const std::uint8_t *data = nullptr;
            const ssize_t length = nghttp2_session_mem_send(m_session.get(), &data);
            if (length < 0) {
                m_error = nghttp2_strerror(static_cast<int>(length));
                return false;
            }
            if (length == 0) {
                break;
            }
            m_output.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
        }
        if (m_output.empty()) {
            return true;
        }
        const ssize_t sent = ::send(m_descriptor, m_output.data(), m_output.size(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            return true;
        }
        if (sent < 0) {
            m_error = errorText(errno);
            return false;
        }
        m_events.bytesTransferred(0, static_cast<std::size_t>(sent));
        m_output.erase(0, static_cast<std::size_t>(sent));
    }
}

void Http2Connection::flush()
{
    if (m_flushing || m_closed) {
        return;
    }
    const std::shared_ptr<Http2Connection> self = shared_from_this();
    m_flushing = true;
    do {
        m_flushAgain = false;
        if (!writeOutput()) {
            deliverEvents();
            close(m_error);
            break;
        }
        deliverEvents();
        if (!m_closed && m_output.empty() && m_waitingForWritable) {
            m_events.outputDrained();
        }
    } while (m_flushAgain && !m_closed);
    m_flushing = false;
    if (m_closed) {
        return;
    }
    if (m_output.empty() && nghttp2_session_want_read(m_session.get()) == 0
        && nghttp2_session_want_write(m_session.get()) == 0) {
        close(m_error.empty() ? "HTTP/2 session ended" : m_error);
        return;
    }
    if (m_waitingForWritable != !m_output.empty()) {
        m_waitingForWritable = !m_output.empty();
        m_loop.changeEvents(m_watch, m_waitingForWritable ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }
    reportHeldBytes();
}

void Http2Connection::reportHeldBytes()
{
    const std::size_t bytes = heldBytes();
    if (bytes != m_reportedBytes && m_events.heldBytesChanged) {
        m_reportedBytes = bytes;
        m_events.heldBytesChanged(bytes);
    }
}

void Http2Connection::deliverEvents()
{
    while (!m_closed && !m_messages.empty()) {
        std::pair<std::int32_t, std::string> message = std::move(m_messages.front());
        m_messages.pop_front();
        m_events.message(message.first, std::move(message.second));
    }
    while (!m_closed && !m_closedStreams.empty()) {
        const std::int32_t stream = m_closedStreams.front();
        m_closedStreams.pop_front();
        m_events.streamClosed(stream);
    }
}

} // namespace dandelionloom
