#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "Adapters/Http/ByteReader.h"
#include "Adapters/Http/HttpHead.h"
#include "Adapters/Http/HttpLimits.h"
#include "Model/HttpMessage.h"

namespace dandelionloom {

struct HttpRequest
{
    std::string method;
    /// Request target without its query.
    std::string path;
    std::string query;
    HttpHeaders headers;
    std::string body;
};

namespace detail {

/// Decodes a body in chunked transfer coding, as readChunkedBody() does, from parts of the input.
class ChunkDecoder
{
public:
    explicit ChunkDecoder(std::size_t maxBytes) : m_maxBytes(maxBytes) { }

    /// Decodes the beginning of `input` and removes it from there. Returns End if more input is
    /// needed and Ok at the end of the body.
    ReadStatus decode(std::string_view &input);
    std::string &body() { return m_body; }

private:
    enum class Part { Size, Data, DataEnd, Trailer };

    /// Takes a line with its end. Returns End if it is incomplete.
    static ReadStatus takeLine(std::string_view &input, std::size_t maxBytes,
                               std::string_view &line);
    ReadStatus decodeSize(std::string_view line);
    ReadStatus decodeLine(std::string_view &input);

    const std::size_t m_maxBytes;
    std::string m_body;
    Part m_part = Part::Size;
    /// Bytes of the current chunk that have not arrived.
    std::size_t m_remaining = 0;
    int m_trailerFields = 0;
};

} // namespace detail

/// Parses the requests of one connection as their bytes arrive. What has been parsed is not parsed
/// again when further bytes arrive, so that a client that sends a byte at a time costs little.
class HttpRequestParser
{
public:
    struct Complete
    {
        HttpRequest request;
        bool keepAlive = true;
        /// Size of the request as received.
        std::size_t bytes = 0;
    };
    struct Incomplete
    {
        bool headComplete = false;
        bool expectsContinue = false;
    };
    using Result = std::variant<Complete, Incomplete, HttpRequestError>;

    /// The limits must outlive the parser.
    explicit HttpRequestParser(const HttpLimits &limits) : m_limits(limits) { }

    void append(std::string_view bytes);
    /// True if parse() can get further than the last time.
    bool canParse() const { return unparsed().size() >= m_bytesNeeded; }
    /// Takes the next request from the bytes, if it is complete. The parser must be cleared after
    /// an error.
    Result parse();
    /// True if no byte of a next request is held.
    bool empty() const { return !m_head && unparsed().empty(); }
    /// Bytes of requests that the parser holds.
    std::size_t bufferedBytes() const;
    void clear();

private:
    std::string_view unparsed() const { return std::string_view(m_input).substr(m_begin); }
    void consume(std::size_t count);
    /// Parses the head if it is complete.
    std::optional<HttpRequestError> parseHead();
    Result parseSizedBody();
    Result parseChunkedBody();
    Result complete(std::string body);

    const HttpLimits &m_limits;
    std::string m_input;
    /// Bytes of the input that were parsed.
    std::size_t m_begin = 0;
    /// Unparsed bytes that hold no end of a head.
    std::size_t m_searched = 0;
    /// Unparsed bytes from which on parsing can get further.
    std::size_t m_bytesNeeded = 0;
    /// Bytes of the current request that were parsed.
    std::size_t m_requestBytes = 0;
    std::optional<HttpHead> m_head;
    std::optional<detail::ChunkDecoder> m_chunks;
};

/// Frees the memory of a large buffer, as most connections are idle.
void clearBuffer(std::string &buffer);

} // namespace dandelionloom
