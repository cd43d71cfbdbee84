#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionloom {

/// Position of a record. It is included in the checksum, so that a record copied to another
/// position is invalid.
struct RecordPosition
{
    /// Sequence number of the log segment; 0 for files that hold one record.
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
};

/// A record is a magic number, the payload length, a CRC-32C (each 4 bytes, little endian) and the
/// payload.
inline constexpr std::size_t recordHeaderBytes = 12;

std::string encodeRecord(const RecordPosition &position, const std::string &payload);

struct Record
{
    std::uint64_t offset = 0;
    std::string payload;
};

enum class RecordTail {
    /// All bytes belong to complete records.
    Complete,
    /// The bytes from `validBytes` on are not a valid record, and no valid record follows them: the
    /// last write was torn.
    Torn,
    /// The bytes at `validBytes` are not a valid record, but a valid record follows them.
    Damaged
};

struct RecordScan
{
    std::vector<Record> records;
    std::uint64_t validBytes = 0;
    RecordTail tail = RecordTail::Complete;
};

RecordScan scanRecords(std::uint64_t segment, const std::string &bytes);

} // namespace dandelionloom
