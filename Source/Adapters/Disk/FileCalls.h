#pragma once

#include <sys/types.h>

#include <functional>
#include <string>

namespace dandelionloom {

/// The file system calls that modify files. Tests replace them to inject errors and crashes. Each
/// one returns the result of the corresponding system call and sets errno.
struct FileCalls
{
    std::function<int(const std::string &path, int flags)> open;
    std::function<ssize_t(int descriptor, const char *data, size_t length, off_t offset)> write;
    /// Syncs the data of a file and the metadata needed to read it, as fdatasync() does.
    std::function<int(int descriptor)> sync;
    std::function<int(int descriptor, off_t length)> truncate;
    std::function<int(const std::string &from, const std::string &to)> rename;
    std::function<int(const std::string &path)> remove;
    /// Syncs the directory entries of a folder.
    std::function<int(const std::string &folder)> syncFolder;
    /// Called with the name of a crash point right before the operation that it is named after.
    std::function<void(const std::string &crashPoint)> reachCrashPoint;
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

/// Returns the real system calls. If the environment variable DANDELIONLOOM_CRASH_POINT is "name"
/// or "name:count", the process exits with status 137 when it reaches that crash point for the
/// first or the count-th time.
FileCalls systemFileCalls();

} // namespace dandelionloom
