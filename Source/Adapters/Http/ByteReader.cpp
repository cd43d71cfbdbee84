#include "Adapters/Http/ByteReader.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <charconv>

namespace dandelionloom {

namespace {

constexpr int readBytes = 16384;

/// Limits chunk sizes to 4 GiB: more digits could overflow sums of sizes.
constexpr std::size_t maxChunkSizeDigits = 8;

ReadStatus readChunkSize(ByteReader &reader, std::size_t &size)
{
    std::string line;
    const ReadStatus status = reader.readLine(line, maxChunkLineBytes);
    if (status != ReadStatus::Ok) {
        return status == ReadStatus::TooLong ? ReadStatus::Malformed : status;
    }
    const std::optional<std::size_t> parsed = parseChunkSize(line);
    size = parsed.value_or(0);
    return parsed ? ReadStatus::Ok : ReadStatus::Malformed;
}

ReadStatus skipTrailer(ByteReader &reader)
{
    std::string line;
    for (int count = 0; count <= maxTrailerFields; ++count) {
        const ReadStatus status = reader.readLine(line, maxChunkLineBytes);
        if (status != ReadStatus::Ok) {
            return status == ReadStatus::TooLong ? ReadStatus::Malformed : status;
        }
        if (line.empty()) {
            return ReadStatus::Ok;
        }
    }
    return ReadStatus::Malformed;
}

} // namespace

ByteReader::ByteReader(Fill fill) : m_fill(std::move(fill)) { }

ReadStatus ByteReader::fillBuffer()
{
    if (m_position == m_buffer.size()) {
        m_buffer.clear();
        m_position = 0;
    }
    const std::size_t oldSize = m_buffer.size();
    m_buffer.resize(oldSize + readBytes);
    int count = 0;
    ReadStatus status = ReadStatus::Ok;
    try {
        count = m_fill(m_buffer.data() + oldSize, readBytes);
    } catch (const Poco::TimeoutException &) {
        status = ReadStatus::TimedOut;
    } catch (const Poco::Exception &) {
        status = ReadStatus::End;
    }
    m_buffer.resize(oldSize + static_cast<std::size_t>(std::max(count, 0)));
    if (status == ReadStatus::Ok && count <= 0) {
        return ReadStatus::End;
    }
    return status;
}

ReadStatus ByteReader::readLine(std::string &line, std::size_t maxBytes)
{
    std::size_t searched = 0;
    while (true) {
        const auto end = m_buffer.find('\n', m_position + searched);
        if (end != std::string::npos) {
            const std::size_t length = end - m_position;
            if (length == 0 || m_buffer[end - 1] != '\r') {
                return ReadStatus::Malformed;
            }
            if (length - 1 > maxBytes) {
                return ReadStatus::TooLong;
            }
            line.assign(m_buffer, m_position, length - 1);
            m_position = end + 1;
            return ReadStatus::Ok;
        }
        searched = buffered();
        if (searched > maxBytes + 1) {
            return ReadStatus::TooLong;
        }
        const ReadStatus status = fillBuffer();
        if (status != ReadStatus::Ok) {
            return status;
        }
    }
}

ReadStatus ByteReader::readExactly(std::string &bytes, std::size_t count)
{
    while (count > 0) {
        const std::size_t consumed = std::min(count, buffered());
        bytes.append(m_buffer, m_position, consumed);
        m_position += consumed;
        count -= consumed;
        if (count > 0) {
            const ReadStatus status = fillBuffer();
            if (status != ReadStatus::Ok) {
                return status;
            }
        }
    }
    return ReadStatus::Ok;
}

ReadStatus ByteReader::waitForByte()
{
    return buffered() > 0 ? ReadStatus::Ok : fillBuffer();
}

std::optional<std::size_t> parseChunkSize(std::string_view line)
{
    constexpr int hexadecimal = 16;
    const auto end = std::min(line.find(';'), line.size());
    const char *last = line.data() + end;
    std::size_t size = 0;
    const auto [rest, error] = std::from_chars(line.data(), last, size, hexadecimal);
    const bool valid = error == std::errc() && rest == last && end <= maxChunkSizeDigits;
    return valid ? std::optional(size) : std::nullopt;
}

ReadStatus readChunkedBody(ByteReader &reader, std::string &body, std::size_t maxBytes)
{
    while (true) {
        std::size_t size = 0;
        ReadStatus status = readChunkSize(reader, size);
        if (status != ReadStatus::Ok) {
            return status;
        }
        if (size == 0) {
            return skipTrailer(reader);
        }
        if (size > maxBytes - body.size()) {
            return ReadStatus::TooLong;
        }
        status = reader.readExactly(body, size);
        if (status != ReadStatus::Ok) {
            return status;
        }
        std::string lineEnd;
        status = reader.readLine(lineEnd, 0);
        if (status != ReadStatus::Ok) {
            return status == ReadStatus::TooLong ? ReadStatus::Malformed : status;
        }
    }
}

} // namespace dandelionloom
