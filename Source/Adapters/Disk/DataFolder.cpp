#include "Adapters/Disk/DataFolder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <random>

#include "Adapters/Disk/AtomicFile.h"

namespace dandelionloom {

namespace {

constexpr auto lockFileName = "lock";
constexpr auto metaFileName = "meta";
constexpr mode_t folderMode = 0700;
constexpr int storageIdWords = 4;

StorageError inputOutputError(const std::string &what, const std::string &path)
{
    return {StorageErrorKind::InputOutput, what + " " + path + ": " + std::strerror(errno)};
}

} // namespace

FolderLock::~FolderLock()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

Result<Done, StorageError> FolderLock::acquire(const std::string &folder)
{
    const std::string path = folder + "/" + lockFileName;
    m_descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (m_descriptor < 0) {
        return inputOutputError("open", path);
    }
    if (::flock(m_descriptor, LOCK_EX | LOCK_NB) != 0) {
        return StorageError{StorageErrorKind::InputOutput,
                            "expected a data folder that no other process uses, found " + path
                                    + " locked"};
    }
    return Done{};
}

Result<Done, StorageError> createFolder(const FileCalls &calls, const std::string &folder)
{
    if (::mkdir(folder.c_str(), folderMode) != 0) {
        if (errno == EEXIST) {
            return Done{};
        }
        return storageErrorFromErrno(errno, "create", folder);
    }
    const std::string parent = std::filesystem::absolute(folder).parent_path().string();
    if (calls.syncFolder(parent) != 0) {
        return inputOutputError("sync folder", parent);
    }
    return Done{};
}

Result<std::optional<FolderMeta>, StorageError>
readMeta(const std::string &folder, const std::string &clusterId, const std::string &group)
{
    const std::string path = folder + "/" + metaFileName;
    const Result<std::optional<std::string>, StorageError> payload = readRecordFile(path);
    if (!isOk(payload)) {
        return errorOf(payload);
    }
    if (!valueOf(payload)) {
        return std::optional<FolderMeta>();
    }
    FolderMeta meta;
    try {
        const std::string &bytes = *valueOf(payload);
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        // Only the version is decoded first, because the fields after it may differ in a newer
        // format.
        if (handle->type != msgpack::type::ARRAY || handle->via.array.size == 0) {
            throw msgpack::type_error();
        }
        const auto version = handle->via.array.ptr[0].as<std::uint32_t>();
        if (version > diskFormatVersion) {
            return StorageError{StorageErrorKind::NewerFormat,
                                path + ": expected format version "
                                        + std::to_string(diskFormatVersion) + " or lower, found "
                                        + std::to_string(version)};
        }
        meta = handle->as<FolderMeta>();
    } catch (const std::exception &) {
        return StorageError{StorageErrorKind::Damaged,
                            path + " at offset 0: expected a meta record, found different content"};
    }
    if (meta.clusterId != clusterId || meta.group != group) {
        return StorageError{StorageErrorKind::ForeignCluster,
                            path + ": expected cluster \"" + clusterId + "\" and group \"" + group
                                    + "\", found \"" + meta.clusterId + "\" and \"" + meta.group
                                    + "\""};
    }
    return std::optional<FolderMeta>(std::move(meta));
}

Result<Done, StorageError> writeMeta(const FileCalls &calls, const std::string &folder,
                                     const FolderMeta &meta)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, meta);
    return replaceRecordFile(calls, folder, metaFileName, {buffer.data(), buffer.size()}, {});
}

std::string randomStorageId()
{
    std::random_device device;
    std::string result;
    for (int word = 0; word < storageIdWords; ++word) {
        std::array<char, 9> text{};
        std::snprintf(text.data(), text.size(), "%08x", device());
        result += text.data();
    }
    return result;
}

} // namespace dandelionloom
