#pragma once

#include <optional>
#include <string>

#include "Adapters/Disk/FileCalls.h"
#include "Ports/LogStorage.h"

namespace dandelionloom {

/// The error of a failed call, by errno: no room is DiskFull, all else is InputOutput.
StorageError storageErrorOf(int number, const std::string &what, const std::string &path);

/// 0, or the errno of the write that failed. Part of the data may then have been written.
int writeAll(const FileCalls &calls, int descriptor, const std::string &data, off_t offset);

/// Points that a replacement passes before its write and its sync.
struct ReplacePoints
{
    const char *write = crashPoints::stateWrite;
    const char *sync = crashPoints::stateSync;
};

/// Replaces a file by one record with the payload: written to a new file, synced, renamed, and the
/// folder synced. DiskFull leaves the old file in place.
Result<Done, StorageError> replaceFile(const FileCalls &calls, const std::string &folder,
                                       const std::string &name, const std::string &payload,
                                       const ReplacePoints &points);

/// Content of a file; no value if it doesn't exist.
Result<std::optional<std::string>, StorageError> readFile(const std::string &path);

/// Payload of a file that replaceFile() wrote; no value if it doesn't exist. Damaged if it isn't
/// one whole record.
Result<std::optional<std::string>, StorageError> readRecordFile(const std::string &path);

inline constexpr auto temporarySuffix = ".tmp";

} // namespace dandelionloom
