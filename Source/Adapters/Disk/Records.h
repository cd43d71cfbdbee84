#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionloom {

/// Where a record lies. It is part of the checksum, so that a copy elsewhere is no valid record.
struct RecordPlace
{
    /// Sequence number of the log segment; 0 for files that hold one record.
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
};

/// Magic number, length, CRC-32C (each 4 bytes, little endian), then the payload.
inline constexpr std::size_t recordHeaderBytes = 12;

std::string encodeRecord(const RecordPlace &place, const std::string &payload);

struct Record
{
    std::uint64_t offset = 0;
    std::string payload;
};

enum class RecordTail {
    /// All bytes are whole records.
    Whole,
    /// The bytes from `validBytes` on are no record, and no record follows: a torn last write.
    Torn,
    /// The bytes at `validBytes` are no record, but one follows later.
    Damaged
};

struct RecordScan
{
    std::vector<Record> records;
    std::uint64_t validBytes = 0;
    RecordTail tail = RecordTail::Whole;
};

RecordScan scanRecords(std::uint64_t segment, const std::string &bytes);

} // namespace dandelionloom
