#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace dandelionloom {

using TableRow = std::vector<std::string>;

/// Writes rows in aligned columns below their headings. Control characters in cells are replaced
/// by '?', so that names chosen by other parties cannot inject terminal escape sequences.
void writeTable(std::ostream &out, const TableRow &headings, const std::vector<TableRow> &rows);

} // namespace dandelionloom
