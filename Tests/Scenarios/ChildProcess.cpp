#include "ChildProcess.h"

#include <csignal>
#include <cstring>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace dandelionloom::scenario {

namespace {

std::vector<char *> pointersTo(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> arguments, const std::string &outputPath,
                           const std::vector<std::string> &environment)
{
    std::vector<std::string> variables = environment;
    for (char **variable = environ; *variable != nullptr; ++variable) {
        variables.emplace_back(*variable);
    }
    std::vector<char *> argumentPointers = pointersTo(arguments);
    std::vector<char *> variablePointers = pointersTo(variables);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int outputFlags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(), outputFlags,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&m_id, arguments.front().c_str(), &actions, nullptr,
                                  argumentPointers.data(), variablePointers.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start " + arguments.front() + ": " + std::strerror(error));
    }
}

ChildProcess::~ChildProcess()
{
    if (isRunning()) {
        signal(SIGKILL);
        wait();
    }
}

void ChildProcess::signal(int number) const
{
    if (!m_ended) {
        kill(m_id, number);
    }
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (!m_ended && waitpid(m_id, &status, WNOHANG) == m_id) {
        recordExit(status);
    }
    return !m_ended;
}

int ChildProcess::wait()
{
    int status = 0;
    if (!m_ended && waitpid(m_id, &status, 0) == m_id) {
        recordExit(status);
    }
    return m_exitCode;
}

void ChildProcess::recordExit(int status)
{
    constexpr int signalExitBase = 128;
    m_ended = true;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
}

} // namespace dandelionloom::scenario
