#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "Adapters/Disk/FileCalls.h"
#include "Ports/LogStorage.h"

namespace dandelionloom {

/// Format version of the files in the data folder.
inline constexpr std::uint32_t diskFormatVersion = 1;

/// Content of the meta file. The version must stay the first field in every format version, so that
/// any program can read it.
struct FolderMeta
{
    std::uint32_t formatVersion = diskFormatVersion;
    std::string clusterId;
    std::string group;
    std::string storageId;

    MSGPACK_DEFINE_ARRAY(formatVersion, clusterId, group, storageId)
};

/// Holds an exclusive lock on a data folder until destruction.
class FolderLock
{
public:
    FolderLock() = default;
    ~FolderLock();
    FolderLock(const FolderLock &) = delete;
    FolderLock &operator=(const FolderLock &) = delete;

    /// Fails if another process, or another FolderLock in this process, holds the lock.
    Result<Done, StorageError> acquire(const std::string &folder);

private:
    int m_descriptor = -1;
};

/// Creates the folder if it does not exist, and then syncs its parent folder.
Result<Done, StorageError> createFolder(const FileCalls &calls, const std::string &folder);

/// Reads the meta file; no value if it does not exist. Fails with ForeignCluster if it belongs to
/// another cluster or group, and with NewerFormat if its format version is not supported.
Result<std::optional<FolderMeta>, StorageError>
readMeta(const std::string &folder, const std::string &clusterId, const std::string &group);
Result<Done, StorageError> writeMeta(const FileCalls &calls, const std::string &folder,
                                     const FolderMeta &meta);

/// 128 random bits as hexadecimal digits.
std::string randomStorageId();

} // namespace dandelionloom
