#include "Adapters/Disk/DiskLogStorage.h"

#include <algorithm>
#include <filesystem>

#include "Adapters/Disk/AtomicFile.h"

namespace dandelionloom {

namespace {

constexpr auto hardStateFileName = "hard-state";
constexpr auto snapshotFileName = "snapshot";

template <typename T>
std::string encodeMsgpack(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

/// Decodes the payload of a record file; no value if the file does not exist.
template <typename T>
Result<std::optional<T>, StorageError> readMsgpackFile(const std::string &path)
{
    const Result<std::optional<std::string>, StorageError> payload = readRecordFile(path);
    if (!isOk(payload)) {
        return errorOf(payload);
    }
    if (!valueOf(payload)) {
        return std::optional<T>();
    }
    try {
        const std::string &bytes = *valueOf(payload);
        return std::optional<T>(msgpack::unpack(bytes.data(), bytes.size())->as<T>());
    } catch (const std::exception &) {
        return StorageError{
                StorageErrorKind::Damaged,
                path + " at offset 0: expected the record of this file, found different content"};
    }
}

StorageError usageError(const std::string &message)
{
    return {StorageErrorKind::InputOutput, message};
}

} // namespace

DiskLogStorage::DiskLogStorage(DiskLogOptions options)
    : m_options(std::move(options)), m_segments(m_options.calls, m_options.folder)
{ }

Result<RecoveredLog, StorageError> DiskLogStorage::open()
{
    if (m_opened) {
        return usageError("expected one open() of this storage, found a second");
    }
    m_opened = true;
    Result<RecoveredLog, StorageError> result = recover();
    if (!isOk(result)) {
        m_fatalError = errorOf(result);
    }
    return result;
}

Result<RecoveredLog, StorageError> DiskLogStorage::recover()
{
    const std::string &folder = m_options.folder;
    for (const auto &step : {createFolder(m_options.calls, folder), m_lock.acquire(folder)}) {
        if (!isOk(step)) {
            return errorOf(step);
        }
    }
    const Result<std::optional<FolderMeta>, StorageError> meta =
            readMeta(folder, m_options.clusterId, m_options.group);
    if (!isOk(meta)) {
        return errorOf(meta);
    }
    RecoveredLog log;
    if (!valueOf(meta)) {
        const Result<Done, StorageError> created = initializeFolder();
        if (!isOk(created)) {
            return errorOf(created);
        }
        log.storageId = m_storageId;
        log.created = true;
        return log;
    }
    m_storageId = valueOf(meta)->storageId;
    log.storageId = m_storageId;
    for (const char *name : {"meta", hardStateFileName, snapshotFileName}) {
        std::error_code ignored;
        std::filesystem::remove(folder + "/" + name + temporarySuffix, ignored);
    }
    const Result<std::optional<HardState>, StorageError> hardState =
            readMsgpackFile<HardState>(folder + "/" + hardStateFileName);
    if (!isOk(hardState)) {
        return errorOf(hardState);
    }
    if (!valueOf(hardState)) {
        return StorageError{StorageErrorKind::Damaged,
                            "expected " + folder + "/" + hardStateFileName + ", found none"};
    }
    log.hardState = *valueOf(hardState);
    Result<std::optional<Snapshot>, StorageError> snapshot =
            readMsgpackFile<Snapshot>(folder + "/" + snapshotFileName);
    if (!isOk(snapshot)) {
        return errorOf(snapshot);
    }
    log.snapshot = takeValue(std::move(snapshot));
    const Result<RecoveredSegments, StorageError> segments = m_segments.recover();
    if (!isOk(segments)) {
        return errorOf(segments);
    }
    if (!valueOf(segments).hasSegments) {
        return StorageError{StorageErrorKind::Damaged,
                            "expected log segments in " + folder + ", found none"};
    }
    const Result<Done, StorageError> replayed = replay(valueOf(segments), log);
    if (!isOk(replayed)) {
        return errorOf(replayed);
    }
    return log;
}

Result<Done, StorageError> DiskLogStorage::initializeFolder()
{
    const std::string &folder = m_options.folder;
    // The meta file is written last. Other files without it are left over from a crash during
    // creation, in which case the log and the hard state are empty. A snapshot or a log entry
    // shows that the meta file was lost.
    const Result<RecoveredSegments, StorageError> segments = m_segments.recover();
    if (!isOk(segments)) {
        return errorOf(segments);
    }
    if (!valueOf(segments).batches.empty()
        || std::filesystem::exists(folder + "/" + snapshotFileName)) {
        return StorageError{StorageErrorKind::Damaged,
                            "expected " + folder + "/meta beside the log, found none"};
    }
    if (m_segments.currentSequence() == 0) {
        const Result<Done, StorageError> created = m_segments.create(0);
        if (!isOk(created)) {
            return created;
        }
    }
    const Result<Done, StorageError> saved = replaceRecordFile(
            m_options.calls, folder, hardStateFileName, encodeMsgpack(HardState{}), {});
    if (!isOk(saved)) {
        return saved;
    }
    m_storageId = randomStorageId();
    return writeMeta(m_options.calls, folder,
                     {diskFormatVersion, m_options.clusterId, m_options.group, m_storageId});
}

Result<Done, StorageError> DiskLogStorage::replay(const RecoveredSegments &segments,
                                                  RecoveredLog &log)
{
    log.tornBytes = segments.tornBytes;
    std::vector<LogEntry> entries;
    std::vector<EntryLocation> locations;
    const std::uint64_t snapshotIndex = log.snapshot ? log.snapshot->lastIndex : 0;
    if (segments.startsAfter > snapshotIndex) {
        return StorageError{StorageErrorKind::Damaged,
                            "expected a snapshot of entry " + std::to_string(segments.startsAfter)
                                    + " or later in " + m_options.folder + ", found "
                                    + std::to_string(snapshotIndex)};
    }
    for (const SegmentBatch &batch : segments.batches) {
        for (const LogEntry &entry : batch.entries) {
            const std::uint64_t next = entries.empty() ? entry.index : entries.back().index + 1;
            if (entry.index == 0 || entry.index > next
                || (entries.empty() && entry.index > snapshotIndex + 1)) {
                return StorageError{
                        StorageErrorKind::Damaged,
                        batch.location + ": expected entry "
                                + std::to_string(entries.empty() ? snapshotIndex + 1 : next)
                                + ", found " + std::to_string(entry.index)};
            }
            while (!entries.empty() && entries.back().index >= entry.index) {
                entries.pop_back();
                locations.pop_back();
            }
            entries.push_back(entry);
            locations.push_back({entry.term, batch.segment});
        }
    }
    m_entries.assign(locations.begin(), locations.end());
    if (!entries.empty()) {
        m_snapshotIndex = entries.front().index - 1;
    }
    if (log.snapshot) {
        discardThrough(log.snapshot->lastIndex, log.snapshot->lastTerm);
        m_snapshotBytes = std::filesystem::file_size(m_options.folder + "/" + snapshotFileName);
    }
    m_nextSegmentStartsLog =
            m_entries.empty() && (!entries.empty() || m_segments.currentSequence() == 0);
    log.entries.assign(entries.end() - static_cast<std::ptrdiff_t>(m_entries.size()),
                       entries.end());
    return compact();
}

Result<Done, StorageError> DiskLogStorage::saveHardState(const HardState &hardState)
{
    if (m_fatalError) {
        return *m_fatalError;
    }
    return latchFailure(replaceRecordFile(m_options.calls, m_options.folder, hardStateFileName,
                                          encodeMsgpack(hardState), {}));
}

Result<Done, StorageError> DiskLogStorage::append(const std::vector<LogEntry> &entries)
{
    if (m_fatalError) {
        return *m_fatalError;
    }
    return latchFailure(appendChecked(entries));
}

Result<Done, StorageError> DiskLogStorage::appendChecked(const std::vector<LogEntry> &entries)
{
    if (entries.empty()) {
        return Done{};
    }
    const std::uint64_t first = entries.front().index;
    const std::uint64_t next = m_snapshotIndex + m_entries.size() + 1;
    if (first <= m_snapshotIndex || first > next) {
        return usageError("expected entries from an index between "
                          + std::to_string(m_snapshotIndex + 1) + " and " + std::to_string(next)
                          + ", found " + std::to_string(first));
    }
    for (std::size_t offset = 0; offset < entries.size(); ++offset) {
        if (entries[offset].index != first + offset) {
            return usageError("expected entry " + std::to_string(first + offset) + ", found "
                              + std::to_string(entries[offset].index));
        }
    }
    if (m_nextSegmentStartsLog || m_segments.currentBytes() >= m_options.segmentBytes) {
        const Result<Done, StorageError> created = m_segments.create(
                m_nextSegmentStartsLog ? std::optional(m_snapshotIndex) : std::nullopt);
        if (!isOk(created)) {
            return created;
        }
        m_nextSegmentStartsLog = false;
    }
    const Result<Done, StorageError> appended = m_segments.append(entries);
    if (!isOk(appended)) {
        return appended;
    }
    m_entries.resize(first - m_snapshotIndex - 1);
    for (const LogEntry &entry : entries) {
        m_entries.push_back({entry.term, m_segments.currentSequence()});
    }
    return Done{};
}

Result<Done, StorageError> DiskLogStorage::saveSnapshot(const Snapshot &snapshot)
{
    if (m_fatalError) {
        return *m_fatalError;
    }
    if (snapshot.lastIndex <= m_snapshotIndex) {
        return Done{};
    }
    return latchFailure(writeSnapshot(snapshot));
}

Result<Done, StorageError> DiskLogStorage::writeSnapshot(const Snapshot &snapshot)
{
    const std::string payload = encodeMsgpack(snapshot);
    const Result<Done, StorageError> replaced =
            replaceRecordFile(m_options.calls, m_options.folder, snapshotFileName, payload,
                              {crashPoints::snapshotWrite, crashPoints::snapshotSync});
    if (!isOk(replaced)) {
        return replaced;
    }
    m_snapshotBytes = payload.size();
    discardThrough(snapshot.lastIndex, snapshot.lastTerm);
    m_nextSegmentStartsLog = m_nextSegmentStartsLog || m_entries.empty();
    return compact();
}

void DiskLogStorage::discardThrough(std::uint64_t lastIndex, std::uint64_t lastTerm)
{
    const std::uint64_t lastEntry = m_snapshotIndex + m_entries.size();
    const bool known = lastIndex > m_snapshotIndex && lastIndex <= lastEntry;
    // A different term at the snapshot's last index means that the entries after it were never
    // committed.
    const bool conflict = known && m_entries[lastIndex - m_snapshotIndex - 1].term != lastTerm;
    if (conflict || lastIndex >= lastEntry) {
        m_entries.clear();
    } else if (lastIndex > m_snapshotIndex) {
        m_entries.erase(m_entries.begin(),
                        m_entries.begin()
                                + static_cast<std::ptrdiff_t>(lastIndex - m_snapshotIndex));
    }
    m_snapshotIndex = std::max(m_snapshotIndex, lastIndex);
}

Result<Done, StorageError> DiskLogStorage::compact()
{
    if (m_nextSegmentStartsLog) {
        const Result<Done, StorageError> created = m_segments.create(m_snapshotIndex);
        if (!isOk(created)) {
            // If the disk is full, the discarded entries stay on disk until the next append.
            const bool full = errorOf(created).kind == StorageErrorKind::DiskFull;
            return full ? Result<Done, StorageError>(Done{}) : created;
        }
        m_nextSegmentStartsLog = false;
    }
    return m_segments.removeSegmentsBefore(m_entries.empty() ? m_segments.currentSequence()
                                                             : m_entries.front().segment);
}

std::uint64_t DiskLogStorage::sizeBytes() const
{
    return m_segments.sizeBytes() + m_snapshotBytes;
}

Result<Done, StorageError> DiskLogStorage::latchFailure(Result<Done, StorageError> result)
{
    if (!isOk(result) && errorOf(result).kind != StorageErrorKind::DiskFull) {
        m_fatalError = errorOf(result);
    }
    return result;
}

} // namespace dandelionloom
