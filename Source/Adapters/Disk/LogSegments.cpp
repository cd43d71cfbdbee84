#include "Adapters/Disk/LogSegments.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>

#include "Adapters/Disk/AtomicFile.h"
#include "Adapters/Disk/Records.h"

namespace dandelionloom {

namespace {

const std::string segmentPrefix = "log-";
constexpr std::size_t sequenceDigits = 12;

/// First record of a segment. `startsAfter` is meaningful only if `startsLog` is set.
struct SegmentHeader
{
    std::uint64_t sequence = 0;
    bool startsLog = false;
    std::uint64_t startsAfter = 0;

    MSGPACK_DEFINE_ARRAY(sequence, startsLog, startsAfter)
};

template <typename T>
std::string encodeMsgpack(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

template <typename T>
std::optional<T> decodeMsgpack(const std::string &bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size())->as<T>();
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

StorageError damagedError(const std::string &path, std::uint64_t offset, const std::string &detail)
{
    return {StorageErrorKind::Damaged,
            path + " at offset " + std::to_string(offset) + ": " + detail};
}

} // namespace

LogSegments::LogSegments(FileCalls calls, std::string folder)
    : m_calls(std::move(calls)), m_folder(std::move(folder))
{ }

LogSegments::~LogSegments()
{
    closeCurrentSegment();
}

std::string LogSegments::pathOf(std::uint64_t sequence) const
{
    std::string digits = std::to_string(sequence);
    digits.insert(0, sequenceDigits - std::min(sequenceDigits, digits.size()), '0');
    return m_folder + "/" + segmentPrefix + digits;
}

std::vector<std::uint64_t> LogSegments::listSequences() const
{
    std::vector<std::uint64_t> result;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(m_folder, error)) {
        const std::string name = entry.path().filename().string();
        if (name.starts_with(segmentPrefix)) {
            result.push_back(std::strtoull(name.c_str() + segmentPrefix.size(), nullptr, 10));
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

Result<RecoveredSegments, StorageError> LogSegments::recover()
{
    RecoveredSegments result;
    const std::vector<std::uint64_t> sequences = listSequences();
    result.hasSegments = !sequences.empty();
    for (const std::uint64_t sequence : sequences) {
        const Result<Done, StorageError> recovered =
                recoverSegment(sequence, sequence == sequences.back(), result);
        if (!isOk(recovered)) {
            return errorOf(recovered);
        }
    }
    for (std::size_t index = 1; index < m_segments.size(); ++index) {
        const std::uint64_t expected = m_segments[index - 1].sequence + 1;
        if (m_segments[index].sequence != expected) {
            return StorageError{StorageErrorKind::Damaged,
                                "expected segment " + pathOf(expected) + ", found none"};
        }
    }
    if (m_segments.empty()) {
        return result;
    }
    // Removes obsolete segments that a crash left on disk.
    const Result<Done, StorageError> removed = removeSegmentsBefore(m_segments.front().sequence);
    if (!isOk(removed)) {
        return errorOf(removed);
    }
    const Result<Done, StorageError> opened = openCurrentSegment();
    if (!isOk(opened)) {
        return errorOf(opened);
    }
    return result;
}

Result<Done, StorageError> LogSegments::recoverSegment(std::uint64_t sequence, bool last,
                                                       RecoveredSegments &result)
{
    const std::string path = pathOf(sequence);
    const Result<std::optional<std::string>, StorageError> content = readFile(path);
    if (!isOk(content)) {
        return errorOf(content);
    }
    const std::string bytes = valueOf(content).value_or("");
    RecordScan scan = scanRecords(sequence, bytes);
    if (scan.tail == RecordTail::Damaged || (scan.tail == RecordTail::Torn && !last)) {
        return damagedError(path, scan.validBytes,
                            "expected a complete record, found damaged bytes");
    }
    if (scan.records.empty()) {
        // The process ended while creating the segment, so nothing in it was acknowledged.
        result.tornBytes += bytes.size();
        if (!last) {
            return damagedError(path, 0, "expected a segment header, found an empty file");
        }
        return m_calls.remove(path) == 0 ? Result<Done, StorageError>(Done{})
                                         : storageErrorFromErrno(errno, "remove", path);
    }
    if (scan.tail == RecordTail::Torn) {
        result.tornBytes += bytes.size() - scan.validBytes;
        const Result<Done, StorageError> done = truncateSegment(sequence, scan.validBytes);
        if (!isOk(done)) {
            return done;
        }
    }
    const std::optional<SegmentHeader> header =
            decodeMsgpack<SegmentHeader>(scan.records.front().payload);
    if (!header || header->sequence != sequence) {
        return damagedError(path, 0, "expected the header of this segment, found another record");
    }
    if (header->startsLog) {
        result.batches.clear();
        result.startsAfter = header->startsAfter;
        m_segments.clear();
    }
    m_segments.push_back({sequence, scan.validBytes});
    for (std::size_t index = 1; index < scan.records.size(); ++index) {
        const Record &record = scan.records[index];
        std::optional<std::vector<LogEntry>> entries =
                decodeMsgpack<std::vector<LogEntry>>(record.payload);
        if (!entries) {
            return damagedError(path, record.offset, "expected log entries, found another record");
        }
        result.batches.push_back({sequence, path + " at offset " + std::to_string(record.offset),
                                  std::move(*entries)});
    }
    return Done{};
}

Result<Done, StorageError> LogSegments::truncateSegment(std::uint64_t sequence, std::uint64_t bytes)
{
    const int descriptor = m_calls.open(pathOf(sequence), O_WRONLY);
    if (descriptor < 0) {
        return inputOutputError("open", sequence);
    }
    m_calls.reachCrashPoint(crashPoints::truncate);
    const bool done = m_calls.truncate(descriptor, static_cast<off_t>(bytes)) == 0
            && m_calls.sync(descriptor) == 0;
    const StorageError error = inputOutputError("truncate", sequence);
    ::close(descriptor);
    return done ? Result<Done, StorageError>(Done{}) : error;
}

Result<Done, StorageError> LogSegments::openCurrentSegment()
{
    closeCurrentSegment();
    m_descriptor = m_calls.open(pathOf(currentSequence()), O_WRONLY);
    return m_descriptor < 0
            ? Result<Done, StorageError>(inputOutputError("open", currentSequence()))
            : Done{};
}

Result<Done, StorageError> LogSegments::create(std::optional<std::uint64_t> startsAfter)
{
    const std::uint64_t sequence = currentSequence() + 1;
    const std::string path = pathOf(sequence);
    const std::string header =
            encodeRecord({sequence, 0},
                         encodeMsgpack(SegmentHeader{sequence, startsAfter.has_value(),
                                                     startsAfter.value_or(0)}));
    m_calls.reachCrashPoint(crashPoints::append);
    const int descriptor = m_calls.open(path, O_WRONLY | O_CREAT | O_TRUNC);
    if (descriptor < 0) {
        return storageErrorFromErrno(errno, "create", path);
    }
    const int writeErrno = writeAll(m_calls, descriptor, header, 0);
    if (writeErrno != 0) {
        ::close(descriptor);
        m_calls.remove(path);
        return storageErrorFromErrno(writeErrno, "write", path);
    }
    m_calls.reachCrashPoint(crashPoints::sync);
    if (m_calls.sync(descriptor) != 0) {
        const StorageError error = inputOutputError("sync", sequence);
        ::close(descriptor);
        return error;
    }
    m_calls.reachCrashPoint(crashPoints::folderSync);
    if (m_calls.syncFolder(m_folder) != 0) {
        const StorageError error = inputOutputError("sync the folder of", sequence);
        ::close(descriptor);
        return error;
    }
    closeCurrentSegment();
    m_descriptor = descriptor;
    m_segments.push_back({sequence, header.size()});
    return Done{};
}

Result<Done, StorageError> LogSegments::append(const std::vector<LogEntry> &entries)
{
    Segment &segment = m_segments.back();
    const std::string record =
            encodeRecord({segment.sequence, segment.bytes}, encodeMsgpack(entries));
    m_calls.reachCrashPoint(crashPoints::append);
    const int writeErrno =
            writeAll(m_calls, m_descriptor, record, static_cast<off_t>(segment.bytes));
    if (writeErrno != 0) {
        const StorageError error =
                storageErrorFromErrno(writeErrno, "write", pathOf(segment.sequence));
        const Result<Done, StorageError> rolledBack = rollBackAppend(segment.bytes);
        return isOk(rolledBack) ? Result<Done, StorageError>(error) : rolledBack;
    }
    m_calls.reachCrashPoint(crashPoints::sync);
    if (m_calls.sync(m_descriptor) != 0) {
        return inputOutputError("sync", segment.sequence);
    }
    segment.bytes += record.size();
    return Done{};
}

Result<Done, StorageError> LogSegments::rollBackAppend(std::uint64_t bytes)
{
    // Synced, so that the rejected record cannot reappear after a crash.
    m_calls.reachCrashPoint(crashPoints::truncate);
    const bool done = m_calls.truncate(m_descriptor, static_cast<off_t>(bytes)) == 0
            && m_calls.sync(m_descriptor) == 0;
    return done ? Result<Done, StorageError>(Done{})
                : inputOutputError("truncate", currentSequence());
}

Result<Done, StorageError> LogSegments::removeSegmentsBefore(std::uint64_t segment)
{
    // Oldest first and one at a time, so that a crash leaves no gap between segments.
    for (const std::uint64_t sequence : listSequences()) {
        if (sequence >= segment) {
            break;
        }
        m_calls.reachCrashPoint(crashPoints::remove);
        if (m_calls.remove(pathOf(sequence)) != 0 || m_calls.syncFolder(m_folder) != 0) {
            return inputOutputError("remove", sequence);
        }
    }
    std::erase_if(m_segments, [&](const Segment &known) { return known.sequence < segment; });
    return Done{};
}

std::uint64_t LogSegments::currentSequence() const
{
    return m_segments.empty() ? 0 : m_segments.back().sequence;
}

std::uint64_t LogSegments::currentBytes() const
{
    return m_segments.empty() ? 0 : m_segments.back().bytes;
}

std::uint64_t LogSegments::sizeBytes() const
{
    std::uint64_t result = 0;
    for (const Segment &segment : m_segments) {
        result += segment.bytes;
    }
    return result;
}

StorageError LogSegments::inputOutputError(const std::string &what, std::uint64_t sequence) const
{
    return {StorageErrorKind::InputOutput,
            what + " " + pathOf(sequence) + ": " + std::strerror(errno)};
}

void LogSegments::closeCurrentSegment()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

} // namespace dandelionloom
