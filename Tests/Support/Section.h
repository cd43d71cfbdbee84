#pragma once

#include <functional>
#include <string>

namespace dandelionloom::test {

/// Runs one step of a test. Sections nest; a failure reports the names of the enclosing sections.
void section(const std::string &name, const std::function<void()> &body);

} // namespace dandelionloom::test
