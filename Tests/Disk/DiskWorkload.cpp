#include "Disk/DiskWorkload.h"

#include <algorithm>

namespace dandelionloom::test {

namespace {

/// Small, so that the workload starts several segments.
constexpr std::uint64_t smallSegmentBytes = 300;

DiskStep appendStep(std::uint64_t index, std::uint64_t term, std::size_t count)
{
    const std::vector<LogEntry> batch = entriesFrom(index, term, count);
    return {"append " + std::to_string(count) + " from " + std::to_string(index),
            [batch](LogStorage &storage) { return storage.append(batch); },
            [batch](StoredState &state) { state.append(batch); }};
}

DiskStep termStep(std::uint64_t term)
{
    const HardState hardState{term, "voter-" + std::to_string(term)};
    return {"term " + std::to_string(term),
            [hardState](LogStorage &storage) { return storage.saveHardState(hardState); },
            [hardState](StoredState &state) { state.hardState = hardState; }};
}

DiskStep snapshotStep(std::uint64_t index, std::uint64_t term)
{
    const Snapshot snapshot{
            index, term, {{"voter-1", "id-1"}}, "state at " + std::to_string(index)};
    return {"snapshot at " + std::to_string(index),
            [snapshot](LogStorage &storage) { return storage.saveSnapshot(snapshot); },
            [snapshot](StoredState &state) { state.save(snapshot); }};
}

} // namespace

std::uint64_t StoredState::lastIndex() const
{
    if (!entries.empty()) {
        return entries.back().index;
    }
    return snapshot ? snapshot->lastIndex : 0;
}

void StoredState::append(const std::vector<LogEntry> &batch)
{
    std::erase_if(entries,
                  [&](const LogEntry &entry) { return entry.index >= batch.front().index; });
    entries.insert(entries.end(), batch.begin(), batch.end());
}

void StoredState::save(const Snapshot &saved)
{
    const bool conflict = std::any_of(entries.begin(), entries.end(), [&](const LogEntry &entry) {
        return entry.index == saved.lastIndex && entry.term != saved.lastTerm;
    });
    std::erase_if(entries, [&](const LogEntry &entry) {
        return conflict || entry.index <= saved.lastIndex;
    });
    snapshot = saved;
}

StoredState stateOf(const RecoveredLog &log)
{
    return {log.hardState, log.snapshot, log.entries};
}

DiskLogOptions diskOptions(const std::string &folder, FileCalls calls)
{
    return {folder, "cluster-1", "region-1", smallSegmentBytes, std::move(calls)};
}

std::vector<LogEntry> entriesFrom(std::uint64_t index, std::uint64_t term, std::size_t count)
{
    std::vector<LogEntry> entries;
    for (std::uint64_t offset = 0; offset < count; ++offset) {
        entries.push_back(
                {index + offset, term, 0,
                 "command " + std::to_string(index + offset) + " of term " + std::to_string(term)});
    }
    return entries;
}

std::vector<DiskStep> diskWorkload()
{
    std::vector<DiskStep> steps;
    steps.push_back(termStep(1));
    steps.push_back(appendStep(1, 1, 1));
    steps.push_back(appendStep(2, 1, 3));
    steps.push_back(appendStep(5, 1, 6));
    steps.push_back(termStep(2));
    steps.push_back(appendStep(8, 2, 2));
    steps.push_back(appendStep(10, 2, 5));
    steps.push_back(snapshotStep(6, 1));
    steps.push_back(appendStep(15, 2, 4));
    steps.push_back(appendStep(19, 2, 4));
    steps.push_back(snapshotStep(20, 2));
    steps.push_back(appendStep(23, 2, 2));
    steps.push_back(snapshotStep(40, 3));
    steps.push_back(termStep(3));
    steps.push_back(appendStep(41, 3, 4));
    steps.push_back(appendStep(45, 3, 8));
    steps.push_back(appendStep(53, 3, 1));
    steps.push_back(snapshotStep(50, 4));
    steps.push_back(termStep(4));
    steps.push_back(appendStep(51, 4, 3));
    steps.push_back(snapshotStep(53, 4));
    steps.push_back(appendStep(54, 4, 1));
    return steps;
}

} // namespace dandelionloom::test
