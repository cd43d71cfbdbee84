#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "Scenarios/ChildProcess.h"

namespace dandelionloom::test {

/// What a process may use at most.
struct ProcessBounds
{
    std::size_t memoryMb = 0;
    std::size_t descriptors = 0;
};

/// Checks that a process lives, and that its peak memory and its open descriptors are within the
/// bounds.
void checkProcess(const std::string &name, scenario::ChildProcess &process,
                  const ProcessBounds &bounds);

/// Waits until a condition holds. Returns false if it doesn't within the time that a system may
/// take to start, or if one of the processes ends.
bool eventually(const std::vector<scenario::ChildProcess *> &processes,
                const std::function<bool()> &condition);

} // namespace dandelionloom::test
