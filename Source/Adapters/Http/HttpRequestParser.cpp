#include "Adapters/Http/HttpRequestParser.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace dandelionloom {

namespace {

constexpr std::string_view headEndMark = "\r\n\r\n";
/// Buffers above this size are freed between requests.
constexpr std::size_t maxIdleBufferBytes = 4096;
/// Sizes and extensions of chunks beyond the size of the body itself.
constexpr std::size_t maxChunkOverheadBytes = 64 * 1024;

Result<HttpHead, HttpRequestError> parseCompleteHead(std::string_view input,
                                                     const HttpLimits &limits)
{
    ByteReader reader([&](char *buffer, int size) {
        const std::size_t count = std::min(static_cast<std::size_t>(size), input.size());
        std::memcpy(buffer, input.data(), count);
        input.remove_prefix(count);
        return static_cast<int>(count);
    });
    return readHead(reader, limits);
}

} // namespace

namespace detail {

ReadStatus ChunkDecoder::takeLine(std::string_view &input, std::size_t maxBytes,
                                  std::string_view &line)
{
    const std::size_t end = input.find('\n');
    if (end == std::string_view::npos) {
        return input.size() > maxBytes + 1 ? ReadStatus::Malformed : ReadStatus::End;
    }
    if (end == 0 || input[end - 1] != '\r' || end - 1 > maxBytes) {
        return ReadStatus::Malformed;
    }
    line = input.substr(0, end - 1);
    input.remove_prefix(end + 1);
    return ReadStatus::Ok;
}

ReadStatus ChunkDecoder::decodeSize(std::string_view line)
{
    const std::optional<std::size_t> size = parseChunkSize(line);
    if (!size) {
        return ReadStatus::Malformed;
    }
    if (*size > m_maxBytes - m_body.size()) {
        return ReadStatus::TooLong;
    }
    m_remaining = *size;
    m_part = *size == 0 ? Part::Trailer : Part::Data;
    return ReadStatus::Ok;
}

ReadStatus ChunkDecoder::decodeLine(std::string_view &input)
{
    std::string_view line;
    const ReadStatus status =
            takeLine(input, m_part == Part::DataEnd ? 0 : maxChunkLineBytes, line);
    if (status != ReadStatus::Ok) {
        return status;
    }
    if (m_part == Part::Size) {
        return decodeSize(line);
    }
    if (m_part == Part::DataEnd) {
        m_part = Part::Size;
        return ReadStatus::Ok;
    }
    return !line.empty() && ++m_trailerFields > maxTrailerFields ? ReadStatus::Malformed
                                                                 : ReadStatus::Ok;
}

ReadStatus ChunkDecoder::decode(std::string_view &input)
{
    for (;;) {
        if (m_part == Part::Data) {
            const std::size_t count = std::min(m_remaining, input.size());
            m_body.append(input.substr(0, count));
            input.remove_prefix(count);
            m_remaining -= count;
            if (m_remaining > 0) {
                return ReadStatus::End;
            }
            m_part = Part::DataEnd;
        }
        const bool inTrailer = m_part == Part::Trailer;
        const bool emptyLine = input.starts_with("\r\n");
        const ReadStatus status = decodeLine(input);
        if (status != ReadStatus::Ok || (inTrailer && emptyLine)) {
            return status;
        }
    }
}

} // namespace detail

void clearBuffer(std::string &buffer)
{
    buffer.clear();
    if (buffer.capacity() > maxIdleBufferBytes) {
        buffer.shrink_to_fit();
    }
}

void HttpRequestParser::append(std::string_view bytes)
{
    m_input.erase(0, m_begin);
    m_begin = 0;
    m_input.append(bytes);
}

void HttpRequestParser::clear()
{
    clearBuffer(m_input);
    m_begin = 0;
    m_searched = 0;
    m_bytesNeeded = 0;
    m_requestBytes = 0;
    m_head.reset();
    m_chunks.reset();
}

std::size_t HttpRequestParser::bufferedBytes() const
{
    // The head of a chunked body counts as long as its body arrives.
    return std::max(m_input.size(), unparsed().size() + m_requestBytes);
}

void HttpRequestParser::consume(std::size_t count)
{
    m_begin += count;
    m_requestBytes += count;
    if (m_begin == m_input.size()) {
        clearBuffer(m_input);
        m_begin = 0;
    }
}

HttpRequestParser::Result HttpRequestParser::parse()
{
    if (!m_head) {
        if (const auto error = parseHead()) {
            return *error;
        }
    }
    if (!m_head) {
        return Incomplete{};
    }
    return m_head->contentLength ? parseSizedBody() : parseChunkedBody();
}

std::optional<HttpRequestError> HttpRequestParser::parseHead()
{
    const std::string_view input = unparsed();
    // The mark may begin in the bytes that were searched before.
    const std::size_t overlap = std::min(m_searched, headEndMark.size() - 1);
    const std::size_t end = input.find(headEndMark, m_searched - overlap);
    if (end == std::string_view::npos) {
        if (input.size() > m_limits.maxHeaderBytes + m_limits.maxRequestLineBytes) {
            return HttpRequestError{431, "the head is longer than the limit"};
        }
        m_searched = input.size();
        m_bytesNeeded = input.size() + 1;
        return std::nullopt;
    }
    const std::size_t size = end + headEndMark.size();
    auto head = parseCompleteHead(input.substr(0, size), m_limits);
    if (!isOk(head)) {
        return errorOf(head);
    }
    m_head = takeValue(std::move(head));
    m_searched = 0;
    consume(size);
    return std::nullopt;
}

HttpRequestParser::Result HttpRequestParser::parseSizedBody()
{
    const std::size_t length = *m_head->contentLength;
    if (unparsed().size() < length) {
        m_bytesNeeded = length;
        return Incomplete{true, m_head->expectsContinue};
    }
    std::string body(unparsed().substr(0, length));
    consume(length);
    return complete(std::move(body));
}

HttpRequestParser::Result HttpRequestParser::parseChunkedBody()
{
    if (!m_chunks) {
        m_chunks.emplace(m_limits.maxBodyBytes);
    }
    std::string_view rest = unparsed();
    const std::size_t available = rest.size();
    const ReadStatus status = m_chunks->decode(rest);
    const std::size_t unparsedBytes = rest.size();
    consume(available - unparsedBytes);
    switch (status) {
    case ReadStatus::Ok:
        return complete(std::move(m_chunks->body()));
    case ReadStatus::TooLong:
        return HttpRequestError{413, "body-too-large"};
    case ReadStatus::End:
        break;
    case ReadStatus::TimedOut:
    case ReadStatus::Malformed:
        return HttpRequestError{400, "bad-chunk"};
    }
    if (m_requestBytes + unparsedBytes > m_limits.maxBodyBytes * 2 + maxChunkOverheadBytes) {
        return HttpRequestError{413, "the chunks are longer than the limit"};
    }
    m_bytesNeeded = unparsedBytes + 1;
    return Incomplete{true, m_head->expectsContinue};
}

HttpRequestParser::Result HttpRequestParser::complete(std::string body)
{
    Complete parsed;
    parsed.request.method = std::move(m_head->method);
    const std::size_t query = m_head->target.find('?');
    parsed.request.path = m_head->target.substr(0, query);
    if (query != std::string::npos) {
        parsed.request.query = m_head->target.substr(query + 1);
    }
    parsed.request.headers = std::move(m_head->headers);
    parsed.request.body = std::move(body);
    parsed.keepAlive = m_head->keepAlive;
    parsed.bytes = m_requestBytes;
    m_head.reset();
    m_chunks.reset();
    m_requestBytes = 0;
    m_bytesNeeded = 0;
    return parsed;
}

} // namespace dandelionloom
