#include "Adapters/Disk/AtomicFile.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "Adapters/Disk/Records.h"

namespace dandelionloom {

namespace {

constexpr std::size_t readChunkBytes = 1U << 20U;

} // namespace

StorageError storageErrorFromErrno(int errorNumber, const std::string &what,
                                   const std::string &path)
{
    const bool full = errorNumber == ENOSPC || errorNumber == EDQUOT;
    return {full ? StorageErrorKind::DiskFull : StorageErrorKind::InputOutput,
            what + " " + path + ": " + std::strerror(errorNumber)};
}

int writeAll(const FileCalls &calls, int descriptor, const std::string &data, off_t offset)
{
    std::size_t written = 0;
    while (written < data.size()) {
        const ssize_t count = calls.write(descriptor, data.data() + written, data.size() - written,
                                          offset + static_cast<off_t>(written));
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return count == 0 ? EIO : errno;
        }
        written += static_cast<std::size_t>(count);
    }
    return 0;
}

Result<Done, StorageError> replaceRecordFile(const FileCalls &calls, const std::string &folder,
                                             const std::string &name, const std::string &payload,
                                             const ReplaceCrashPoints &points)
{
    const std::string path = folder + "/" + name;
    const std::string temporary = path + temporarySuffix;
    calls.reachCrashPoint(points.write);
    const int descriptor = calls.open(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    if (descriptor < 0) {
        return storageErrorFromErrno(errno, "open", temporary);
    }
    const int writeErrno = writeAll(calls, descriptor, encodeRecord({}, payload), 0);
    if (writeErrno != 0) {
        ::close(descriptor);
        calls.remove(temporary);
        return storageErrorFromErrno(writeErrno, "write", temporary);
    }
    calls.reachCrashPoint(points.sync);
    const int synced = calls.sync(descriptor);
    const int syncErrno = errno;
    ::close(descriptor);
    if (synced != 0) {
        return StorageError{StorageErrorKind::InputOutput,
                            "sync " + temporary + ": " + std::strerror(syncErrno)};
    }
    calls.reachCrashPoint(crashPoints::rename);
    if (calls.rename(temporary, path) != 0) {
        const StorageError error = storageErrorFromErrno(errno, "rename", temporary);
        calls.remove(temporary);
        return error;
    }
    calls.reachCrashPoint(crashPoints::folderSync);
    if (calls.syncFolder(folder) != 0) {
        return StorageError{StorageErrorKind::InputOutput,
                            "sync folder " + folder + ": " + std::strerror(errno)};
    }
    return Done{};
}

Result<std::optional<std::string>, StorageError> readFile(const std::string &path)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0 && errno == ENOENT) {
        return std::optional<std::string>();
    }
    if (descriptor < 0) {
        return StorageError{StorageErrorKind::InputOutput,
                            "open " + path + ": " + std::strerror(errno)};
    }
    std::string content;
    for (;;) {
        const std::size_t before = content.size();
        content.resize(before + readChunkBytes);
        const ssize_t count = ::read(descriptor, content.data() + before, readChunkBytes);
        const int readErrno = errno;
        content.resize(before + (count > 0 ? static_cast<std::size_t>(count) : 0));
        if (count < 0 && readErrno == EINTR) {
            continue;
        }
        if (count < 0) {
            ::close(descriptor);
            return StorageError{StorageErrorKind::InputOutput,
                                "read " + path + ": " + std::strerror(readErrno)};
        }
        if (count == 0) {
            ::close(descriptor);
            return std::optional<std::string>(std::move(content));
        }
    }
}

Result<std::optional<std::string>, StorageError> readRecordFile(const std::string &path)
{
    Result<std::optional<std::string>, StorageError> content = readFile(path);
    if (!isOk(content) || !valueOf(content)) {
        return content;
    }
    RecordScan scan = scanRecords(0, *valueOf(content));
    if (scan.records.size() != 1 || scan.tail != RecordTail::Complete) {
        return StorageError{StorageErrorKind::Damaged,
                            path + " at offset 0: expected one complete record, found "
                                    + std::to_string(valueOf(content)->size())
                                    + " bytes that form none"};
    }
    return std::optional<std::string>(std::move(scan.records.front().payload));
}

} // namespace dandelionloom
