#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionloom {

enum class ReadStatus { Ok, End, TimedOut, TooLong, Malformed };

/// Buffered reader over a byte source.
class ByteReader
{
public:
    /// Reads up to `size` bytes and returns their number, 0 at the end of the input. Throws
    /// Poco::TimeoutException when the deadline of the source has passed and another
    /// Poco::Exception when the connection was lost.
    using Fill = std::function<int(char *buffer, int size)>;

    explicit ByteReader(Fill fill);

    /// Reads a line and removes its CR LF. Malformed if the LF has no CR. `maxBytes` excludes the
    /// line end.
    ReadStatus readLine(std::string &line, std::size_t maxBytes);
    /// Appends exactly `count` bytes to `bytes`.
    ReadStatus readExactly(std::string &bytes, std::size_t count);
    /// Waits until at least one byte is buffered.
    ReadStatus waitForByte();
    /// Number of bytes that were read from the source and not consumed yet.
    std::size_t buffered() const { return m_buffer.size() - m_position; }

private:
    ReadStatus fillBuffer();

    const Fill m_fill;
    std::string m_buffer;
    std::size_t m_position = 0;
};

/// Limit for a chunk size with its extensions, and for one trailer field.
inline constexpr std::size_t maxChunkLineBytes = 1024;
inline constexpr int maxTrailerFields = 32;

/// Size in the first line of a chunk; empty if it is malformed. Extensions are ignored.
std::optional<std::size_t> parseChunkSize(std::string_view line);

/// Reads a body in chunked transfer coding and discards its trailer fields.
ReadStatus readChunkedBody(ByteReader &reader, std::string &body, std::size_t maxBytes);

} // namespace dandelionloom
