#include "Consensus/MemoryLogStorage.h"

namespace dandelionloom::test {

MemoryLogStorage::MemoryLogStorage(std::string name) : m_name(std::move(name)) { }

Result<RecoveredLog, StorageError> MemoryLogStorage::open()
{
    const std::lock_guard lock(m_mutex);
    RecoveredLog recovered;
    recovered.storageId = m_name + "-" + std::to_string(m_disk);
    recovered.created = m_created;
    recovered.hardState = m_hardState;
    recovered.snapshot = m_snapshot;
    recovered.entries = m_entries;
    m_created = false;
    return recovered;
}

Result<Done, StorageError> MemoryLogStorage::saveHardState(const HardState &hardState)
{
    std::unique_lock lock(m_mutex);
    if (const auto error = fault(lock)) {
        return *error;
    }
    m_hardState = hardState;
    return Done{};
}

Result<Done, StorageError> MemoryLogStorage::append(const std::vector<LogEntry> &entries)
{
    std::unique_lock lock(m_mutex);
    if (const auto error = fault(lock)) {
        return *error;
    }
    if (entries.empty()) {
        return Done{};
    }
    std::erase_if(m_entries,
                  [&](const LogEntry &entry) { return entry.index >= entries.front().index; });
    m_entries.insert(m_entries.end(), entries.begin(), entries.end());
    return Done{};
}

Result<Done, StorageError> MemoryLogStorage::saveSnapshot(const Snapshot &snapshot)
{
    std::unique_lock lock(m_mutex);
    if (const auto error = fault(lock)) {
        return *error;
    }
    m_snapshot = snapshot;
    std::erase_if(m_entries,
                  [&](const LogEntry &entry) { return entry.index <= snapshot.lastIndex; });
    return Done{};
}

std::uint64_t MemoryLogStorage::sizeBytes() const
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t bytes = m_snapshot ? m_snapshot->state.size() : 0;
    for (const LogEntry &entry : m_entries) {
        bytes += entry.payload.size();
    }
    return bytes;
}

void MemoryLogStorage::loseDisk()
{
    const std::lock_guard lock(m_mutex);
    ++m_disk;
    m_created = true;
    m_hardState = {};
    m_snapshot.reset();
    m_entries.clear();
}

void MemoryLogStorage::failWith(std::optional<StorageErrorKind> kind)
{
    const std::lock_guard lock(m_mutex);
    m_failure = kind;
}

std::size_t MemoryLogStorage::syncs() const
{
    const std::lock_guard lock(m_mutex);
    return m_syncs;
}

void MemoryLogStorage::block(bool blocked)
{
    {
        const std::lock_guard lock(m_mutex);
        m_blocked = blocked;
    }
    m_unblocked.notify_all();
}

std::optional<StorageError> MemoryLogStorage::fault(std::unique_lock<std::mutex> &lock)
{
    m_unblocked.wait(lock, [&] { return !m_blocked; });
    ++m_syncs;
    if (!m_failure) {
        return std::nullopt;
    }
    return StorageError{*m_failure,
                        "simulated " + std::string(storageErrorKindNames.name(*m_failure))};
}

} // namespace dandelionloom::test
