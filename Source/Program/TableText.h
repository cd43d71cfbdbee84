#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace dandelionloom {

using TableRow = std::vector<std::string>;

/// Writes rows in aligned columns below their headings. Control characters in cells are replaced
/// by '?', so that names from outside cannot control a terminal.
void writeTable(std::ostream &out, const TableRow &headings, const std::vector<TableRow> &rows);

} // namespace dandelionloom
