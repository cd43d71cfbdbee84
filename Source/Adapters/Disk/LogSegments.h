#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Adapters/Disk/FileCalls.h"
#include "Ports/LogStorage.h"

namespace dandelionloom {

/// The entries of one append, as read from disk.
struct SegmentBatch
{
    std::uint64_t segment = 0;
    /// File and offset, for error messages.
    std::string location;
    std::vector<LogEntry> entries;
};

struct RecoveredSegments
{
    /// In append order.
    std::vector<SegmentBatch> batches;
    /// Bytes of an incomplete last record that were cut.
    std::uint64_t tornBytes = 0;
    /// Index of the entry that precedes the first entry of the segments.
    std::uint64_t startsAfter = 0;
    /// True if the folder holds at least one segment.
    bool hasSegments = false;
};

/// The segment files of the log. Each append writes and syncs one record, so only the last record
/// can be unsynced when the process ends. Entries are overwritten by appending them again.
///
/// The header record of a segment says whether the segment starts the log. If it does, all earlier
/// segments are obsolete, including those that a crash left on disk.
class LogSegments
{
public:
    LogSegments(FileCalls calls, std::string folder);
    ~LogSegments();
    LogSegments(const LogSegments &) = delete;
    LogSegments &operator=(const LogSegments &) = delete;

    /// Reads all segments, truncates a torn last record and removes obsolete segments.
    Result<RecoveredSegments, StorageError> recover();

    /// Creates a segment, to which the following appends go. With `startsAfter` the segment starts
    /// the log after that index; a snapshot must cover the entries up to it.
    Result<Done, StorageError> create(std::optional<std::uint64_t> startsAfter);
    /// Appends a batch as one record. On DiskFull the segment stays unchanged.
    Result<Done, StorageError> append(const std::vector<LogEntry> &entries);
    /// Removes all segments before the given one.
    Result<Done, StorageError> removeSegmentsBefore(std::uint64_t segment);

    /// Sequence number of the segment that appends go to; 0 if there is none yet.
    std::uint64_t currentSequence() const;
    std::uint64_t currentBytes() const;
    std::uint64_t sizeBytes() const;

private:
    struct Segment
    {
        std::uint64_t sequence = 0;
        std::uint64_t bytes = 0;
    };

    std::string pathOf(std::uint64_t sequence) const;
    std::vector<std::uint64_t> listSequences() const;
    /// Appends the segment's batches to `result`.
    Result<Done, StorageError> recoverSegment(std::uint64_t sequence, bool last,
                                              RecoveredSegments &result);
    Result<Done, StorageError> truncateSegment(std::uint64_t sequence, std::uint64_t bytes);
    Result<Done, StorageError> openCurrentSegment();
    /// Truncates the current segment to its size before a failed append.
    Result<Done, StorageError> rollBackAppend(std::uint64_t bytes);
    StorageError inputOutputError(const std::string &what, std::uint64_t sequence) const;
    void closeCurrentSegment();

    const FileCalls m_calls;
    const std::string m_folder;
    std::vector<Segment> m_segments;
    int m_descriptor = -1;
};

} // namespace dandelionloom
