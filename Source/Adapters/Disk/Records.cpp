#include "Adapters/Disk/Records.h"

#include <array>
#include <optional>
#include <string_view>

#include <boost/crc.hpp>

namespace dandelionloom {

namespace {

/// Lets the search for a record after damaged bytes reject most offsets without computing a
/// checksum.
constexpr std::uint32_t recordMagic = 0x31524c44;

using Crc32c = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

template <typename Integer>
void appendInteger(std::string &bytes, Integer value)
{
    for (std::size_t index = 0; index < sizeof value; ++index) {
        bytes += static_cast<char>((value >> (8 * index)) & 0xFFU);
    }
}

std::uint32_t integerAt(std::string_view bytes, std::size_t offset)
{
    std::uint32_t value = 0;
    for (std::size_t index = 0; index < sizeof value; ++index) {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[offset + index]))
                << (8 * index);
    }
    return value;
}

std::uint32_t checksum(const RecordPosition &position, std::string_view payload)
{
    std::string prefix;
    appendInteger(prefix, position.segment);
    appendInteger(prefix, position.offset);
    appendInteger(prefix, static_cast<std::uint32_t>(payload.size()));
    Crc32c crc;
    crc.process_bytes(prefix.data(), prefix.size());
    crc.process_bytes(payload.data(), payload.size());
    return crc.checksum();
}

/// Returns the payload of the complete record at the offset, if there is one.
std::optional<std::string_view> payloadAt(std::uint64_t segment, std::string_view bytes,
                                          std::size_t offset)
{
    if (bytes.size() - offset < recordHeaderBytes || integerAt(bytes, offset) != recordMagic) {
        return std::nullopt;
    }
    const std::size_t length = integerAt(bytes, offset + 4);
    if (bytes.size() - offset - recordHeaderBytes < length) {
        return std::nullopt;
    }
    const std::string_view payload = bytes.substr(offset + recordHeaderBytes, length);
    if (checksum({segment, offset}, payload) != integerAt(bytes, offset + 8)) {
        return std::nullopt;
    }
    return payload;
}

} // namespace

std::string encodeRecord(const RecordPosition &position, const std::string &payload)
{
    std::string bytes;
    bytes.reserve(recordHeaderBytes + payload.size());
    appendInteger(bytes, recordMagic);
    appendInteger(bytes, static_cast<std::uint32_t>(payload.size()));
    appendInteger(bytes, checksum(position, payload));
    return bytes + payload;
}

RecordScan scanRecords(std::uint64_t segment, const std::string &bytes)
{
    RecordScan result;
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const std::optional<std::string_view> payload = payloadAt(segment, bytes, offset);
        if (!payload) {
            break;
        }
        result.records.push_back({offset, std::string(*payload)});
        offset += recordHeaderBytes + payload->size();
    }
    result.validBytes = offset;
    if (offset == bytes.size()) {
        return result;
    }
    result.tail = RecordTail::Torn;
    for (std::size_t later = offset + 1; later < bytes.size(); ++later) {
        if (payloadAt(segment, bytes, later)) {
            result.tail = RecordTail::Damaged;
            break;
        }
    }
    return result;
}

} // namespace dandelionloom
