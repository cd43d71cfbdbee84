#include "Clients/ProcessChecks.h"

#include <poll.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include <cppunit/TestAssert.h>

#include "Model/Time.h"

namespace dandelionloom::test {

namespace {

constexpr std::size_t kilobytesPerMb = 1024;
/// For the first leader, the configuration and the announcements.
constexpr std::int64_t startLimitMs = 30000;
constexpr int retryMs = 20;

std::size_t peakMemoryKb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    const std::string prefix = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(prefix)) {
            return std::stoul(line.substr(prefix.size()));
        }
    }
    CPPUNIT_FAIL("no peak memory of process " + std::to_string(process));
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/// Descriptors that become readable when a process ends.
class ProcessEnds
{
public:
    explicit ProcessEnds(const std::vector<scenario::ChildProcess *> &processes)
    {
        for (const scenario::ChildProcess *process : processes) {
            const auto descriptor = static_cast<int>(::syscall(SYS_pidfd_open, process->id(), 0U));
            m_entries.push_back({descriptor, POLLIN, 0});
        }
    }
    ~ProcessEnds()
    {
        for (const pollfd &entry : m_entries) {
            ::close(entry.fd);
        }
    }
    ProcessEnds(const ProcessEnds &) = delete;
    ProcessEnds &operator=(const ProcessEnds &) = delete;

    /// Returns true if a process has ended.
    bool wait(int timeoutMs) { return ::poll(m_entries.data(), m_entries.size(), timeoutMs) > 0; }

private:
    std::vector<pollfd> m_entries;
};

} // namespace

void checkProcess(const std::string &name, scenario::ChildProcess &process,
                  const ProcessBounds &bounds)
{
    CPPUNIT_ASSERT_MESSAGE(name + " lives", process.isRunning());
    const std::size_t peakKb = peakMemoryKb(process.id());
    CPPUNIT_ASSERT_MESSAGE(name + ": expected a peak of at most "
                                   + std::to_string(bounds.memoryMb * kilobytesPerMb)
                                   + " kB of memory, found " + std::to_string(peakKb),
                           peakKb <= bounds.memoryMb * kilobytesPerMb);
    const std::size_t descriptors = openDescriptors(process.id());
    CPPUNIT_ASSERT_MESSAGE(name + ": expected at most " + std::to_string(bounds.descriptors)
                                   + " descriptors, found " + std::to_string(descriptors),
                           descriptors <= bounds.descriptors);
}

bool eventually(const std::vector<scenario::ChildProcess *> &processes,
                const std::function<bool()> &condition)
{
    ProcessEnds ends(processes);
    const SteadyTimeMs end = steadyTimeNow() + startLimitMs;
    while (!condition()) {
        // A system that starts tells nobody that it is ready, so that the condition is tried again.
        if (ends.wait(retryMs) || steadyTimeNow() >= end) {
            return false;
        }
    }
    return true;
}

} // namespace dandelionloom::test
