#pragma once

#include <string>
#include <vector>

namespace dandelionloom {

/// Returns the choice with the smallest edit distance to `word`, or an empty string if none is
/// similar.
std::string closestMatch(const std::string &word, const std::vector<std::string> &choices);

/// Returns whether the text is an IP address with a port from 1 to 65535.
bool isAddress(const std::string &text);

/// Returns whether the text is a name of 1 to 128 letters, digits, '-', '_' or '.'.
bool isValidIdentifier(const std::string &text);

} // namespace dandelionloom
