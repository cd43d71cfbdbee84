#include "Adapters/Disk/FileCalls.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace dandelionloom {

namespace {

constexpr mode_t fileMode = 0600;
/// Exit status that shells report for a process killed by SIGKILL (128 + 9).
constexpr int crashStatus = 137;

std::function<void(const std::string &)> crashPointFromEnvironment()
{
    const char *setting = std::getenv("DANDELIONLOOM_CRASH_POINT");
    if (setting == nullptr) {
        return [](const std::string &) {};
    }
    std::string name = setting;
    long count = 1;
    if (const std::size_t colon = name.find(':'); colon != std::string::npos) {
        count = std::strtol(name.c_str() + colon + 1, nullptr, 10);
        name.resize(colon);
    }
    const auto remaining = std::make_shared<long>(count);
    return [name, remaining](const std::string &crashPoint) {
        if (crashPoint == name && --*remaining == 0) {
            ::_exit(crashStatus);
        }
    };
}

int fsyncFolder(const std::string &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return -1;
    }
    const int result = ::fsync(descriptor);
    ::close(descriptor);
    return result;
}

} // namespace

FileCalls systemFileCalls()
{
    FileCalls calls;
    calls.open = [](const std::string &path, int flags) {
        return ::open(path.c_str(), flags | O_CLOEXEC, fileMode);
    };
    calls.write = [](int descriptor, const char *data, size_t length, off_t offset) {
        return ::pwrite(descriptor, data, length, offset);
    };
    calls.sync = [](int descriptor) { return ::fdatasync(descriptor); };
    calls.truncate = [](int descriptor, off_t length) { return ::ftruncate(descriptor, length); };
    calls.rename = [](const std::string &from, const std::string &to) {
        return std::rename(from.c_str(), to.c_str());
    };
    calls.remove = [](const std::string &path) { return ::unlink(path.c_str()); };
    calls.syncFolder = fsyncFolder;
    calls.reachCrashPoint = crashPointFromEnvironment();
    return calls;
}

} // namespace dandelionloom
