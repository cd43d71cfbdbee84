#pragma once

#include <functional>
#include <string>

namespace dandelionloom::test {

/// Runs one step of a test story. Sections nest; a failure inside reports the path of their names.
void section(const std::string &name, const std::function<void()> &body);

} // namespace dandelionloom::test
