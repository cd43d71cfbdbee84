// The nghttp2 callbacks of Http2Connection. They only collect events; the connection delivers them
// after nghttp2 has returned, so that owners may close the connection from an event callback.
#include "Adapters/Peers/Http2Connection.h"

#include <algorithm>
#include <cstring>

namespace dandelionloom {

namespace {

/// Bytes that HTTP/2 adds to each field when it computes the size of a header list.
constexpr std::size_t headerFieldOverhead = 32;

} // namespace

int Http2Connection::failSession(const std::string &error)
{
    m_error = error;
    return NGHTTP2_ERR_CALLBACK_FAILURE;
}

int Http2Connection::onBeginHeaders(const nghttp2_frame &frame)
{
    if (m_role == Http2Role::Server) {
        m_streams.try_emplace(frame.hd.stream_id);
    }
    return 0;
}

int Http2Connection::onHeader(const nghttp2_frame &frame, std::size_t nameLength,
                              std::size_t valueLength)
{
    const auto found = m_streams.find(frame.hd.stream_id);
    if (found == m_streams.end()) {
        return 0;
    }
    found->second.headerBytes += nameLength + valueLength + headerFieldOverhead;
    if (found->second.headerBytes > m_limits.maxHeaderBytes) {
        return failSession("expected at most " + std::to_string(m_limits.maxHeaderBytes)
                           + " bytes of header fields, found more");
    }
    return 0;
}

int Http2Connection::onData(std::int32_t stream, const std::uint8_t *data, std::size_t length)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return 0;
    }
    if (found->second.discarded) {
        return 0;
    }
    std::string &inbound = found->second.inbound;
    if (inbound.size() + length > m_limits.maxBodyBytes) {
        return failSession("expected a message of at most " + std::to_string(m_limits.maxBodyBytes)
                           + " bytes, found more");
    }
    if (m_bufferedBytes + length > m_limits.maxBufferedBytes) {
        return failSession("expected at most " + std::to_string(m_limits.maxBufferedBytes)
                           + " bytes of incomplete messages, found more");
    }
    m_bufferedBytes += length;
    inbound.append(reinterpret_cast<const char *>(data), length);
    return 0;
}

int Http2Connection::onFrame(const nghttp2_frame &frame)
{
    const bool carriesMessage = frame.hd.type == NGHTTP2_DATA || frame.hd.type == NGHTTP2_HEADERS;
    if (!carriesMessage || (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    const auto found = m_streams.find(frame.hd.stream_id);
    if (found != m_streams.end() && !found->second.discarded) {
        m_bufferedBytes -= found->second.inbound.size();
        m_messages.emplace_back(found->first, std::move(found->second.inbound));
        found->second.inbound.clear();
    }
    return 0;
}

int Http2Connection::onStreamClosed(std::int32_t stream)
{
    const auto found = m_streams.find(stream);
    if (found != m_streams.end()) {
        m_bufferedBytes -= found->second.inbound.size();
        m_unsentBytes -= found->second.outbound.size();
        m_streams.erase(found);
        m_closedStreams.push_back(stream);
    }
    return 0;
}

ssize_t Http2Connection::onReadBody(std::int32_t stream, std::uint8_t *buffer, std::size_t length,
                                    std::uint32_t *flags)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.discarded) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    Stream &state = found->second;
    const std::size_t count = std::min(length, state.outbound.size() - state.outboundSent);
    std::memcpy(buffer, state.outbound.data() + state.outboundSent, count);
    state.outboundSent += count;
    if (state.outboundSent == state.outbound.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        m_unsentBytes -= state.outbound.size();
        state.outbound.clear();
        state.outboundSent = 0;
    }
    return static_cast<ssize_t>(count);
}

nghttp2_data_provider Http2Connection::bodyProvider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = [](nghttp2_session *, std::int32_t stream, std::uint8_t *buffer,
                                std::size_t length, std::uint32_t *flags, nghttp2_data_source *,
                                void *self) {
        return static_cast<Http2Connection *>(self)->onReadBody(stream, buffer, length, flags);
    };
    return provider;
}

void Http2Connection::setCallbacks(nghttp2_session_callbacks *callbacks)
{
    nghttp2_session_callbacks_set_on_begin_headers_callback(
            callbacks, [](nghttp2_session *, const nghttp2_frame *frame, void *self) {
                return static_cast<Http2Connection *>(self)->onBeginHeaders(*frame);
            });
    nghttp2_session_callbacks_set_on_header_callback(
            callbacks,
            [](nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *,
               std::size_t nameLength, const std::uint8_t *, std::size_t valueLength, std::uint8_t,
               void *self) {
                return static_cast<Http2Connection *>(self)->onHeader(*frame, nameLength,
                                                                      valueLength);
            });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
            callbacks,
            [](nghttp2_session *, std::uint8_t, std::int32_t stream, const std::uint8_t *data,
               std::size_t length, void *self) {
                return static_cast<Http2Connection *>(self)->onData(stream, data, length);
            });
    nghttp2_session_callbacks_set_on_frame_recv_callback(
            callbacks, [](nghttp2_session *, const nghttp2_frame *frame, void *self) {
                return static_cast<Http2Connection *>(self)->onFrame(*frame);
            });
    nghttp2_session_callbacks_set_on_stream_close_callback(
            callbacks, [](nghttp2_session *, std::int32_t stream, std::uint32_t, void *self) {
                return static_cast<Http2Connection *>(self)->onStreamClosed(stream);
            });
    nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(
            callbacks, [](nghttp2_session *, const nghttp2_frame *, int code, void *self) {
                static_cast<Http2Connection *>(self)->m_error = nghttp2_strerror(code);
                return 0;
            });
}

} // namespace dandelionloom
