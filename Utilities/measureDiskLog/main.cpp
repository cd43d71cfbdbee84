// Measures appends to the disk log: measureDiskLog FOLDER [SECONDS] [ENTRY_BYTES]
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "Adapters/Disk/DiskLogStorage.h"

using namespace dandelionloom;

namespace {

/// Appends batches of `batchSize` entries for `seconds` and prints throughput and latency.
bool measure(const std::string &folder, std::size_t batchSize, double seconds,
             std::size_t entryBytes)
{
    using Clock = std::chrono::steady_clock;
    DiskLogOptions options;
    options.folder = folder + "/batch-" + std::to_string(batchSize);
    options.clusterId = "measure";
    options.group = "measure";
    DiskLogStorage storage(std::move(options));
    const Result<RecoveredLog, StorageError> opened = storage.open();
    if (!isOk(opened) || !valueOf(opened).created) {
        std::cerr << (isOk(opened) ? "expected an empty folder" : errorOf(opened).message) << "\n";
        return false;
    }
    std::vector<LogEntry> batch(batchSize, LogEntry{0, 1, 0, std::string(entryBytes, 'x')});
    std::vector<double> latenciesUs;
    std::uint64_t nextIndex = 1;
    const Clock::time_point start = Clock::now();
    double elapsed = 0;
    while (elapsed < seconds) {
        for (LogEntry &entry : batch) {
            entry.index = nextIndex++;
        }
        const Clock::time_point before = Clock::now();
        if (!isOk(storage.append(batch))) {
            return false;
        }
        const Clock::time_point after = Clock::now();
        latenciesUs.push_back(std::chrono::duration<double, std::micro>(after - before).count());
        elapsed = std::chrono::duration<double>(after - start).count();
    }
    std::sort(latenciesUs.begin(), latenciesUs.end());
    const auto quantile = [&](double fraction) {
        return latenciesUs[static_cast<std::size_t>(fraction
                                                    * static_cast<double>(latenciesUs.size() - 1))];
    };
    std::cout << "batch " << batchSize << ": " << static_cast<double>(nextIndex - 1) / elapsed
              << " entries/s, append p50 " << quantile(0.5) << " us, p99 " << quantile(0.99)
              << " us, " << latenciesUs.size() << " appends\n";
    return true;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount < 2) {
        std::cerr << "expected measureDiskLog FOLDER [SECONDS] [ENTRY_BYTES], found no folder\n";
        return 2;
    }
    const double seconds = argumentCount > 2 ? std::atof(arguments[2]) : 3;
    const std::size_t entryBytes =
            argumentCount > 3 ? std::strtoull(arguments[3], nullptr, 10) : 300;
    for (const std::size_t batchSize : {1, 8, 64, 256}) {
        if (!measure(arguments[1], batchSize, seconds, entryBytes)) {
            return 1;
        }
    }
    return 0;
}
