#include "Disk/SimulatedDisk.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace dandelionloom::test {

std::string contentOf(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

void writeContent(const std::string &path, const std::string &content)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << content;
}

std::vector<std::string> fileNamesIn(const std::string &folder)
{
    std::vector<std::string> names;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        names.push_back(entry.path().filename().string());
    }
    std::sort(names.begin(), names.end());
    return names;
}

FileCalls unsyncedFileCalls()
{
    FileCalls calls = systemFileCalls();
    calls.sync = [](int) { return 0; };
    calls.syncFolder = [](const std::string &) { return 0; };
    return calls;
}

SimulatedDisk::SimulatedDisk(std::string folder) : m_folder(std::move(folder))
{
    for (const std::string &name : fileNamesIn(m_folder)) {
        m_liveNames[name] = m_files.size();
        m_files.push_back({contentOf(m_folder + "/" + name)});
    }
    m_durableNames = m_liveNames;
}

void SimulatedDisk::crashAt(const std::string &crashPoint, int count)
{
    m_crashPoint = crashPoint;
    m_crashCount = count;
}

void SimulatedDisk::failWrite(int count, int errorNumber, std::size_t keptBytes)
{
    m_failWriteAt = count;
    m_failErrno = errorNumber;
    m_keptBytes = keptBytes;
}

void SimulatedDisk::failOpen(int count, int errorNumber)
{
    m_failOpenAt = count;
    m_failErrno = errorNumber;
}

void SimulatedDisk::failSync(int count)
{
    m_failSyncAt = count;
}

FileCalls SimulatedDisk::calls()
{
    FileCalls calls = systemFileCalls();
    calls.open = [this](const std::string &path, int flags) { return open(path, flags); };
    calls.write = [this](int descriptor, const char *data, size_t length, off_t offset) {
        return write(descriptor, data, length, offset);
    };
    calls.sync = [this](int descriptor) { return sync(descriptor); };
    calls.rename = [this](const std::string &from, const std::string &to) {
        m_liveNames[nameOf(to)] = m_liveNames.at(nameOf(from));
        m_liveNames.erase(nameOf(from));
        return std::rename(from.c_str(), to.c_str());
    };
    calls.remove = [this](const std::string &path) {
        m_liveNames.erase(nameOf(path));
        return ::unlink(path.c_str());
    };
    calls.syncFolder = [this](const std::string &folder) {
        if (folder == m_folder && !m_ignoresSyncs) {
            m_durableNames = m_liveNames;
        }
        return 0;
    };
    calls.reachCrashPoint = [this](const std::string &crashPoint) {
        if (crashPoint == m_crashPoint && --m_crashCount == 0) {
            throw SimulatedCrash();
        }
    };
    return calls;
}

std::string SimulatedDisk::nameOf(const std::string &path) const
{
    return std::filesystem::path(path).filename().string();
}

int SimulatedDisk::open(const std::string &path, int flags)
{
    if ((flags & O_CREAT) != 0 && ++m_opens == m_failOpenAt) {
        m_failed = true;
        errno = m_failErrno;
        return -1;
    }
    const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC, 0600);
    if (descriptor < 0) {
        return descriptor;
    }
    const std::string name = nameOf(path);
    if (!m_liveNames.contains(name)) {
        m_liveNames[name] = m_files.size();
        m_files.emplace_back();
    }
    m_open[descriptor] = {m_liveNames.at(name), path};
    return descriptor;
}

ssize_t SimulatedDisk::write(int descriptor, const char *data, size_t length, off_t offset)
{
    if (++m_writes != m_failWriteAt) {
        return ::pwrite(descriptor, data, length, offset);
    }
    m_failed = true;
    if (m_keptBytes > 0) {
        // A short write first; the write of the remaining bytes then fails.
        const size_t kept = std::min(m_keptBytes, length - 1);
        m_keptBytes = 0;
        if (kept > 0) {
            ++m_failWriteAt;
            return ::pwrite(descriptor, data, kept, offset);
        }
    }
    errno = m_failErrno;
    return -1;
}

int SimulatedDisk::sync(int descriptor)
{
    if (++m_syncs == m_failSyncAt) {
        errno = EIO;
        return -1;
    }
    if (!m_ignoresSyncs) {
        const auto &[file, path] = m_open.at(descriptor);
        m_files[file].durable = contentOf(path);
    }
    return 0;
}

void SimulatedDisk::losePower(Unsynced unsynced, std::mt19937 &random)
{
    std::map<std::string, std::string> surviving;
    std::map<std::size_t, std::string> liveContent;
    for (const auto &[name, file] : m_liveNames) {
        liveContent[file] = contentOf(m_folder + "/" + name);
    }
    if (unsynced == Unsynced::Kept) {
        for (const auto &[name, file] : m_liveNames) {
            surviving[name] = liveContent.at(file);
        }
    } else {
        for (const auto &[name, file] : m_durableNames) {
            std::string content = m_files[file].durable;
            const auto live = liveContent.find(file);
            if (unsynced == Unsynced::Partial && live != liveContent.end()
                && live->second.size() > content.size()) {
                const std::size_t more = random() % (live->second.size() - content.size() + 1);
                content += live->second.substr(content.size(), more);
            }
            surviving[name] = content;
        }
    }
    for (const std::string &name : fileNamesIn(m_folder)) {
        if (name != "lock") {
            std::filesystem::remove(m_folder + "/" + name);
        }
    }
    for (const auto &[name, content] : surviving) {
        writeContent(m_folder + "/" + name, content);
    }
}

} // namespace dandelionloom::test
