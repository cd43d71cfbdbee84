#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace dandelionloom {

/// Runs a subcommand, named by the first argument. Returns the exit code of the process.
int runProgram(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace dandelionloom
