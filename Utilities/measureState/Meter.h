#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dandelionloom::measure {

/// Memory usage of this process in bytes.
struct MemoryUsage
{
    /// Resident set size after the allocator has returned free pages to the system.
    std::int64_t resident = 0;
    /// Bytes in use by allocations.
    std::int64_t allocated = 0;
};

MemoryUsage memoryUsage();

/// Returns the median processor time of a call on this thread, in microseconds. The call is
/// repeated until it has used 300 ms of processor time, at least 5 and at most 200 times. `prepare`
/// runs before each call and is not measured.
double medianMicroseconds(
        const std::function<void()> &call, const std::function<void()> &prepare = [] {});

/// Measured values of one quantity, one for each size.
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

/// Fits a line to the values by least squares.
Line fitLine(const std::vector<double> &sizes, const std::vector<double> &values);

/// Prints a row for each series with its value at each size and its fitted line.
void printTable(const std::string &sizeName, const std::vector<double> &sizes,
                const std::vector<Series> &table);

} // namespace dandelionloom::measure
