#include "Meter.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>

#include <malloc.h>
#include <unistd.h>

namespace dandelionloom::measure {

namespace {

constexpr double targetMicroseconds = 300000;
constexpr std::size_t minCalls = 5;
constexpr std::size_t maxCalls = 200;

double threadCpuMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

} // namespace

MemoryUsage memoryUsage()
{
    malloc_trim(0);
    std::ifstream file("/proc/self/statm");
    std::int64_t totalPages = 0;
    std::int64_t residentPages = 0;
    file >> totalPages >> residentPages;
    const auto heap = mallinfo2();
    return {residentPages * sysconf(_SC_PAGESIZE),
            static_cast<std::int64_t>(heap.uordblks + heap.hblkhd)};
}

double medianMicroseconds(const std::function<void()> &call, const std::function<void()> &prepare)
{
    std::vector<double> times;
    double total = 0;
    while (times.size() < minCalls || (total < targetMicroseconds && times.size() < maxCalls)) {
        prepare();
        const double before = threadCpuMicroseconds();
        call();
        times.push_back(threadCpuMicroseconds() - before);
        total += times.back();
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

Line fitLine(const std::vector<double> &sizes, const std::vector<double> &values)
{
    const auto count = static_cast<double>(sizes.size());
    double meanSize = 0;
    double meanValue = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        meanSize += sizes[index] / count;
        meanValue += values[index] / count;
    }
    double covariance = 0;
    double variance = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        covariance += (sizes[index] - meanSize) * (values[index] - meanValue);
        variance += (sizes[index] - meanSize) * (sizes[index] - meanSize);
    }
    Line line;
    line.slope = variance > 0 ? covariance / variance : 0;
    line.intercept = meanValue - line.slope * meanSize;
    return line;
}

void printTable(const std::string &sizeName, const std::vector<double> &sizes,
                const std::vector<Series> &table)
{
    std::printf("%-40s %-6s", sizeName.c_str(), "unit");
    for (const double size : sizes) {
        std::printf(" %12.0f", size);
    }
    std::printf(" %14s %14s\n", "intercept", "slope");
    for (const Series &series : table) {
        std::printf("%-40s %-6s", series.name.c_str(), series.unit.c_str());
        for (const double value : series.values) {
            std::printf(" %12.0f", value);
        }
        const Line line = fitLine(sizes, series.values);
        std::printf(" %14.1f %14.4f\n", line.intercept, line.slope);
    }
    std::printf("\n");
    std::fflush(stdout);
}

} // namespace dandelionloom::measure
