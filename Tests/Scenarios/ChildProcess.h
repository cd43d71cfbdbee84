#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace dandelionloom::scenario {

/// One process of the system under test, with its output in a file. The destructor kills the
/// process if it still runs.
class ChildProcess
{
public:
    /// Starts a program. Throws std::runtime_error if it cannot be started.
    ChildProcess(std::vector<std::string> arguments, const std::string &outputPath,
                 const std::vector<std::string> &environment);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;
    bool isRunning();
    /// Blocks until the process has ended; returns its exit code, or 128 plus the signal number.
    int wait();
    pid_t id() const { return m_id; }

private:
    void recordExit(int status);

    pid_t m_id = -1;
    bool m_ended = false;
    int m_exitCode = 0;
};

} // namespace dandelionloom::scenario
