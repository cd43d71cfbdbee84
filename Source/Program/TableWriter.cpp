#include "Program/TableWriter.h"

#include <algorithm>

namespace dandelionloom {

namespace {

std::string printable(std::string text)
{
    std::replace_if(
            text.begin(), text.end(),
            [](char character) {
                return static_cast<unsigned char>(character) < 0x20 || character == 0x7F;
            },
            '?');
    return text;
}

void writeRow(std::ostream &out, const TableRow &row, const std::vector<std::size_t> &widths)
{
    for (std::size_t index = 0; index < row.size(); ++index) {
        const std::string cell = printable(row[index]);
        out << cell;
        if (index + 1 < row.size()) {
            out << std::string(widths[index] - cell.size() + 2, ' ');
        }
    }
    out << "\n";
}

} // namespace

void writeTable(std::ostream &out, const TableRow &headings, const std::vector<TableRow> &rows)
{
    std::vector<std::size_t> widths;
    for (const std::string &heading : headings) {
        widths.push_back(heading.size());
    }
    for (const TableRow &row : rows) {
        for (std::size_t index = 0; index < row.size(); ++index) {
            widths[index] = std::max(widths[index], row[index].size());
        }
    }
    writeRow(out, headings, widths);
    for (const TableRow &row : rows) {
        writeRow(out, row, widths);
    }
}

} // namespace dandelionloom
