#include "Adapters/Disk/DiskLogStorage.h"

#include <algorithm>
#include <filesystem>

#include "Adapters/Disk/AtomicFile.h"

namespace dandelionloom {

namespace {

constexpr auto hardStateName = "hard-state";
constexpr auto snapshotName = "snapshot";

template <typename T>
std::string packed(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

/// Content of a record file; no value if it doesn't exist.
template <typename T>
Result<std::optional<T>, StorageError> readDocument(const std::string &path)
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
        return StorageError{StorageErrorKind::Damaged,
                            path + " at offset 0: expected a document of its kind, found another"};
    }
}

StorageError misuse(const std::string &message)
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
        return misuse("expected one open() of a storage, found a second");
    }
    m_opened = true;
    Result<RecoveredLog, StorageError> result = recover();
    if (!isOk(result)) {
        m_failed = errorOf(result);
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
        const Result<Done, StorageError> created = createContent();
        if (!isOk(created)) {
            return errorOf(created);
        }
        log.storageId = m_storageId;
        log.created = true;
        return log;
    }
    m_storageId = valueOf(meta)->storageId;
    log.storageId = m_storageId;
    for (const char *name : {"meta", hardStateName, snapshotName}) {
        std::error_code ignored;
        std::filesystem::remove(folder + "/" + name + temporarySuffix, ignored);
    }
    const Result<std::optional<HardState>, StorageError> hardState =
            readDocument<HardState>(folder + "/" + hardStateName);
    if (!isOk(hardState)) {
        return errorOf(hardState);
    }
    if (!valueOf(hardState)) {
        return StorageError{StorageErrorKind::Damaged,
                            "expected " + folder + "/" + hardStateName + ", found none"};
    }
    log.hardState = *valueOf(hardState);
    Result<std::optional<Snapshot>, StorageError> snapshot =
            readDocument<Snapshot>(folder + "/" + snapshotName);
    if (!isOk(snapshot)) {
        return errorOf(snapshot);
    }
    log.snapshot = takeValue(std::move(snapshot));
    const Result<RecoveredSegments, StorageError> segments = m_segments.recover();
    if (!isOk(segments)) {
        return errorOf(segments);
    }
    if (!valueOf(segments).found) {
        return StorageError{StorageErrorKind::Damaged,
                            "expected log segments in " + folder + ", found none"};
    }
    const Result<Done, StorageError> replayed = replay(valueOf(segments), log);
    if (!isOk(replayed)) {
        return errorOf(replayed);
    }
    return log;
}

Result<Done, StorageError> DiskLogStorage::createContent()
{
    const std::string &folder = m_options.folder;
    // Without a meta file only a crash during creation explains other files, and then the log and
    // the hard state are empty. A snapshot or more shows that the meta file was lost.
    const Result<RecoveredSegments, StorageError> segments = m_segments.recover();
    if (!isOk(segments)) {
        return errorOf(segments);
    }
    if (!valueOf(segments).batches.empty()
        || std::filesystem::exists(folder + "/" + snapshotName)) {
        return StorageError{StorageErrorKind::Damaged,
                            "expected " + folder + "/meta beside the log, found none"};
    }
    if (m_segments.current() == 0) {
        const Result<Done, StorageError> created = m_segments.create(0);
        if (!isOk(created)) {
            return created;
        }
    }
    const Result<Done, StorageError> saved =
            replaceFile(m_options.calls, folder, hardStateName, packed(HardState{}), {});
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
    std::vector<EntryPlace> places;
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
                        batch.place + ": expected entry "
                                + std::to_string(entries.empty() ? snapshotIndex + 1 : next)
                                + ", found " + std::to_string(entry.index)};
            }
            while (!entries.empty() && entries.back().index >= entry.index) {
                entries.pop_back();
                places.pop_back();
            }
            entries.push_back(entry);
            places.push_back({entry.term, batch.segment});
        }
    }
    m_entries.assign(places.begin(), places.end());
    if (!entries.empty()) {
        m_snapshotIndex = entries.front().index - 1;
    }
    if (log.snapshot) {
        dropThrough(log.snapshot->lastIndex, log.snapshot->lastTerm);
        m_snapshotBytes = std::filesystem::file_size(m_options.folder + "/" + snapshotName);
    }
    m_startsLog = m_entries.empty() && (!entries.empty() || m_segments.current() == 0);
    log.entries.assign(entries.end() - static_cast<std::ptrdiff_t>(m_entries.size()),
                       entries.end());
    return compact();
}

Result<Done, StorageError> DiskLogStorage::saveHardState(const HardState &hardState)
{
    if (m_failed) {
        return *m_failed;
    }
    return kept(
            replaceFile(m_options.calls, m_options.folder, hardStateName, packed(hardState), {}));
}

Result<Done, StorageError> DiskLogStorage::append(const std::vector<LogEntry> &entries)
{
    if (m_failed) {
        return *m_failed;
    }
    return kept(appendChecked(entries));
}

Result<Done, StorageError> DiskLogStorage::appendChecked(const std::vector<LogEntry> &entries)
{
    if (entries.empty()) {
        return Done{};
    }
    const std::uint64_t first = entries.front().index;
    const std::uint64_t next = m_snapshotIndex + m_entries.size() + 1;
    if (first <= m_snapshotIndex || first > next) {
        return misuse("expected entries from an index between "
                      + std::to_string(m_snapshotIndex + 1) + " and " + std::to_string(next)
                      + ", found " + std::to_string(first));
    }
    for (std::size_t offset = 0; offset < entries.size(); ++offset) {
        if (entries[offset].index != first + offset) {
            return misuse("expected entry " + std::to_string(first + offset) + ", found "
                          + std::to_string(entries[offset].index));
        }
    }
    if (m_startsLog || m_segments.currentBytes() >= m_options.segmentBytes) {
        const Result<Done, StorageError> created =
                m_segments.create(m_startsLog ? std::optional(m_snapshotIndex) : std::nullopt);
        if (!isOk(created)) {
            return created;
        }
        m_startsLog = false;
    }
    const Result<Done, StorageError> appended = m_segments.append(entries);
    if (!isOk(appended)) {
        return appended;
    }
    m_entries.resize(first - m_snapshotIndex - 1);
    for (const LogEntry &entry : entries) {
        m_entries.push_back({entry.term, m_segments.current()});
    }
    return Done{};
}

Result<Done, StorageError> DiskLogStorage::saveSnapshot(const Snapshot &snapshot)
{
    if (m_failed) {
        return *m_failed;
    }
    if (snapshot.lastIndex <= m_snapshotIndex) {
        return Done{};
    }
    return kept(writeSnapshot(snapshot));
}

Result<Done, StorageError> DiskLogStorage::writeSnapshot(const Snapshot &snapshot)
{
    const std::string payload = packed(snapshot);
    const Result<Done, StorageError> replaced =
            replaceFile(m_options.calls, m_options.folder, snapshotName, payload,
                        {crashPoints::snapshotWrite, crashPoints::snapshotSync});
    if (!isOk(replaced)) {
        return replaced;
    }
    m_snapshotBytes = payload.size();
    dropThrough(snapshot.lastIndex, snapshot.lastTerm);
    m_startsLog = m_startsLog || m_entries.empty();
    return compact();
}

void DiskLogStorage::dropThrough(std::uint64_t lastIndex, std::uint64_t lastTerm)
{
    const std::uint64_t lastEntry = m_snapshotIndex + m_entries.size();
    const bool known = lastIndex > m_snapshotIndex && lastIndex <= lastEntry;
    // Another term at the snapshot's end means that the entries behind it belong to a log that was
    // never agreed.
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
    if (m_startsLog) {
        const Result<Done, StorageError> created = m_segments.create(m_snapshotIndex);
        if (!isOk(created)) {
            // On a full disk the dropped entries stay until the next append.
            const bool full = errorOf(created).kind == StorageErrorKind::DiskFull;
            return full ? Result<Done, StorageError>(Done{}) : created;
        }
        m_startsLog = false;
    }
    return m_segments.removeBefore(m_entries.empty() ? m_segments.current()
                                                     : m_entries.front().segment);
}

std::uint64_t DiskLogStorage::sizeBytes() const
{
    return m_segments.sizeBytes() + m_snapshotBytes;
}

Result<Done, StorageError> DiskLogStorage::kept(Result<Done, StorageError> result)
{
    if (!isOk(result) && errorOf(result).kind != StorageErrorKind::DiskFull) {
        m_failed = errorOf(result);
    }
    return result;
}

} // namespace dandelionloom
