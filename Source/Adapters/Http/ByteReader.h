#pragma once

#include <cstddef>
#include <functional>
#include <string>

namespace dandelionloom {

enum class ReadStatus { Ok, End, TimedOut, TooLong, Malformed };

/// Buffered reader over a byte source.
class ByteReader
{
public:
    /// Reads up to `size` bytes, 0 at the end. Throws Poco::TimeoutException when the deadline of
    /// the source has passed and another Poco::Exception when the connection was lost.
    using Fill = std::function<int(char *buffer, int size)>;

    explicit ByteReader(Fill fill);

    /// Reads a line that ends with CR LF and strips that. Malformed on a LF without CR. `maxBytes`
    /// excludes the line end.
    ReadStatus readLine(std::string &line, std::size_t maxBytes);
    /// Appends exactly `count` bytes to `bytes`.
    ReadStatus readExactly(std::string &bytes, std::size_t count);
    /// Waits until at least one byte is buffered.
    ReadStatus waitForByte();
    /// Bytes that were read from the source and not consumed.
    std::size_t buffered() const { return m_buffer.size() - m_position; }

private:
    ReadStatus fillBuffer();

    const Fill m_fill;
    std::string m_buffer;
    std::size_t m_position = 0;
};

/// Reads a body in chunked coding and drops its trailer fields.
ReadStatus readChunkedBody(ByteReader &reader, std::string &body, std::size_t maxBytes);

} // namespace dandelionloom
