#pragma once

#include <string>
#include <vector>

namespace dandelionloom {

/// The known word that is nearest to `word` by edit distance; empty if none is near.
std::string nearestWord(const std::string &word, const std::vector<std::string> &known);

/// Whether the text is an IP number with a port from 1 to 65535.
bool isAddress(const std::string &text);

/// Whether the text is a name of 1 to 128 letters, digits, '-', '_' or '.'.
bool isEntryName(const std::string &text);

} // namespace dandelionloom
