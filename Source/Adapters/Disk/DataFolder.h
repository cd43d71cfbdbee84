#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "Adapters/Disk/FileCalls.h"
#include "Ports/LogStorage.h"

namespace dandelionloom {

/// Version of the files in the data folder.
inline constexpr std::uint32_t diskFormatVersion = 1;

/// Content of the meta file. The version stays the first field in all versions.
struct FolderMeta
{
    std::uint32_t formatVersion = diskFormatVersion;
    std::string clusterId;
    std::string group;
    std::string storageId;

    MSGPACK_DEFINE_ARRAY(formatVersion, clusterId, group, storageId)
};

/// Exclusive use of a folder by one process, until destruction.
class FolderLock
{
public:
    FolderLock() = default;
    ~FolderLock();
    FolderLock(const FolderLock &) = delete;
    FolderLock &operator=(const FolderLock &) = delete;

    /// Fails if another process, or another object of this one, holds the lock.
    Result<Done, StorageError> acquire(const std::string &folder);

private:
    int m_descriptor = -1;
};

/// Creates the folder if it doesn't exist, and syncs its parent.
Result<Done, StorageError> createFolder(const FileCalls &calls, const std::string &folder);

/// The meta file if there is one. Refuses another cluster or group and a newer format.
Result<std::optional<FolderMeta>, StorageError>
readMeta(const std::string &folder, const std::string &clusterId, const std::string &group);
Result<Done, StorageError> writeMeta(const FileCalls &calls, const std::string &folder,
                                     const FolderMeta &meta);

/// 128 random bits as hexadecimal digits.
std::string randomStorageId();

} // namespace dandelionloom
