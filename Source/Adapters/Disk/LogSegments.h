#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Adapters/Disk/FileCalls.h"
#include "Ports/LogStorage.h"

namespace dandelionloom {

/// One append as it was found on disk.
struct SegmentBatch
{
    std::uint64_t segment = 0;
    /// File and offset, for messages.
    std::string place;
    std::vector<LogEntry> entries;
};

struct RecoveredSegments
{
    /// In the order in which they were appended.
    std::vector<SegmentBatch> batches;
    std::uint64_t tornBytes = 0;
    /// Index of the last entry before the first that the segments may hold.
    std::uint64_t startsAfter = 0;
    /// False if the folder has no segment.
    bool found = false;
};

/// The files of the log. Each append is one record, so the last record holds exactly the bytes
/// that were not synced when the process ended. Entries are overwritten by appending them again.
///
/// A segment's first record says whether it starts the log. If it does, all earlier segments are
/// obsolete, whichever of them are still there.
class LogSegments
{
public:
    LogSegments(FileCalls calls, std::string folder);
    ~LogSegments();
    LogSegments(const LogSegments &) = delete;
    LogSegments &operator=(const LogSegments &) = delete;

    /// Reads all segments, cuts a torn last record and removes obsolete segments.
    Result<RecoveredSegments, StorageError> recover();

    /// Creates a segment, which takes the following appends. With `startsAfter` it starts the log
    /// behind that index, which a snapshot then covers.
    Result<Done, StorageError> create(std::optional<std::uint64_t> startsAfter);
    /// Appends a batch as one record. DiskFull leaves the segment as it was.
    Result<Done, StorageError> append(const std::vector<LogEntry> &entries);
    /// Removes all segments before the given one.
    Result<Done, StorageError> removeBefore(std::uint64_t segment);

    /// Sequence number of the segment that takes appends; 0 before the first.
    std::uint64_t current() const;
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
    Result<Done, StorageError> recoverOne(std::uint64_t sequence, bool last,
                                          RecoveredSegments &result);
    Result<Done, StorageError> cut(std::uint64_t sequence, std::uint64_t bytes);
    Result<Done, StorageError> openCurrent();
    Result<Done, StorageError> takeBack(std::uint64_t bytes);
    StorageError fault(const std::string &what, std::uint64_t sequence) const;
    void closeCurrent();

    const FileCalls m_calls;
    const std::string m_folder;
    std::vector<Segment> m_segments;
    int m_descriptor = -1;
};

} // namespace dandelionloom
