#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dandelionloom::measure {

/// Memory of this process, in bytes.
struct MemoryUse
{
    /// Resident set, after free pages were given back to the system.
    std::int64_t resident = 0;
    /// What the allocator has handed out.
    std::int64_t allocated = 0;
};

MemoryUse memoryUse();

/// Median processor time of one call on this thread, in microseconds. Repeats the call until
/// 300 ms of processor time are spent, at least 5 and at most 200 times.
/// `prepare` runs before each call and is not measured.
double microsecondsOf(
        const std::function<void()> &call, const std::function<void()> &prepare = [] {});

/// Values of one quantity over the sizes, and the line fitted to them by least squares.
struct Series
{
    std::string name;
    std::string unit;
    std::vector<double> values;
};

struct Line
{
    double intercept = 0;
    double slope = 0;
};

Line fitLine(const std::vector<double> &sizes, const std::vector<double> &values);

/// Prints one row for each series: its value at each size and its fitted line.
void printTable(const std::string &sizeName, const std::vector<double> &sizes,
                const std::vector<Series> &table);

} // namespace dandelionloom::measure
