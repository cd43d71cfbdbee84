#pragma once

#include <optional>
#include <string>

#include "Adapters/Disk/FileCalls.h"
#include "Ports/LogStorage.h"

namespace dandelionloom {

/// Maps the errno of a failed call to an error: ENOSPC and EDQUOT are DiskFull, all others are
/// InputOutput.
StorageError storageErrorFromErrno(int errorNumber, const std::string &what,
                                   const std::string &path);

/// Returns 0, or the errno of the write that failed. On failure part of the data may have been
/// written.
int writeAll(const FileCalls &calls, int descriptor, const std::string &data, off_t offset);

/// Names of the crash points before the write and the sync of a replacement.
struct ReplaceCrashPoints
{
    const char *write = crashPoints::stateWrite;
    const char *sync = crashPoints::stateSync;
};

/// Atomically replaces a file with a single record that holds the payload: writes and syncs a
/// temporary file, renames it over the old file and syncs the folder. On DiskFull the old file
/// stays unchanged.
Result<Done, StorageError> replaceRecordFile(const FileCalls &calls, const std::string &folder,
                                             const std::string &name, const std::string &payload,
                                             const ReplaceCrashPoints &points);

/// Reads a file; no value if it does not exist.
Result<std::optional<std::string>, StorageError> readFile(const std::string &path);

/// Reads the payload of a file written by replaceRecordFile(); no value if the file does not exist.
/// Fails with Damaged if the file is not exactly one complete record.
Result<std::optional<std::string>, StorageError> readRecordFile(const std::string &path);

inline constexpr auto temporarySuffix = ".tmp";

} // namespace dandelionloom
