#pragma once

#include <sys/types.h>

#include <functional>
#include <string>

namespace dandelionloom {

/// The calls that change files, replaceable so that tests can fail or crash each of them. They
/// return what the system call of the same purpose returns, and set errno.
struct FileCalls
{
    std::function<int(const std::string &path, int flags)> open;
    std::function<ssize_t(int descriptor, const char *data, size_t length, off_t offset)> write;
    /// Data of a file and the size that is needed to read it.
    std::function<int(int descriptor)> sync;
    std::function<int(int descriptor, off_t length)> truncate;
    std::function<int(const std::string &from, const std::string &to)> rename;
    std::function<int(const std::string &path)> remove;
    /// Names of the files in a folder.
    std::function<int(const std::string &folder)> syncFolder;
    /// Passed right before the operation that the point is named for.
    std::function<void(const std::string &point)> point;
};

namespace crashPoints {
inline constexpr auto append = "append";
inline constexpr auto sync = "sync";
inline constexpr auto snapshotWrite = "snapshot-write";
inline constexpr auto snapshotSync = "snapshot-sync";
inline constexpr auto rename = "rename";
inline constexpr auto folderSync = "folder-sync";
inline constexpr auto truncate = "truncate";
inline constexpr auto stateWrite = "state-write";
inline constexpr auto stateSync = "state-sync";
inline constexpr auto remove = "remove";
} // namespace crashPoints

/// The calls of the system. If the environment variable DANDELIONLOOM_CRASH_POINT is "name" or
/// "name:count", the process ends with status 137 when it passes that point for the count-th time.
FileCalls systemFileCalls();

} // namespace dandelionloom
