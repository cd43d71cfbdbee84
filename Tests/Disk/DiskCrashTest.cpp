#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <random>

#include "Disk/DiskWorkload.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr int crashStatus = 137;

const std::array<std::string, 10> allCrashPoints{
        crashPoints::append,       crashPoints::sync,   crashPoints::snapshotWrite,
        crashPoints::snapshotSync, crashPoints::rename, crashPoints::folderSync,
        crashPoints::truncate,     crashPoints::remove, crashPoints::stateWrite,
        crashPoints::stateSync};

struct CrashedRun
{
    bool crashed = false;
    /// Expected state without and with the step that was in progress at the crash.
    StoredState before;
    StoredState after;
};

/// Runs the workload until it ends or crashes. A failed write reaches the truncate crash point.
CrashedRun runUntilCrash(const std::string &folder, SimulatedDisk &disk)
{
    CrashedRun result;
    DiskLogStorage storage(diskOptions(folder, disk.calls()));
    try {
        const Result<RecoveredLog, StorageError> opened = storage.open();
        CPPUNIT_ASSERT_MESSAGE(isOk(opened) ? "" : errorOf(opened).message, isOk(opened));
        for (const DiskStep &step : diskWorkload()) {
            result.after = result.before;
            step.apply(result.after);
            const Result<Done, StorageError> done = step.run(storage);
            if (!isOk(done) && errorOf(done).kind == StorageErrorKind::DiskFull) {
                step.run(storage);
            }
            result.before = result.after;
        }
    } catch (const SimulatedCrash &) {
        result.crashed = true;
    }
    return result;
}

/// Describes why recovery failed; empty if it yields one of the allowed states and the log accepts
/// another append.
std::string recoveryError(const std::string &folder, const CrashedRun &run)
{
    StoredState found;
    {
        DiskLogStorage storage(diskOptions(folder, unsyncedFileCalls()));
        const Result<RecoveredLog, StorageError> opened = storage.open();
        if (!isOk(opened)) {
            return errorOf(opened).message;
        }
        found = stateOf(valueOf(opened));
        if (found != run.before && found != run.after) {
            return "found last entry " + std::to_string(found.lastIndex()) + ", expected "
                    + std::to_string(run.before.lastIndex()) + " or "
                    + std::to_string(run.after.lastIndex());
        }
        const std::vector<LogEntry> more = entriesFrom(found.lastIndex() + 1, 9, 2);
        found.append(more);
        if (!isOk(storage.append(more))) {
            return "the recovered log rejects an append";
        }
    }
    DiskLogStorage storage(diskOptions(folder, unsyncedFileCalls()));
    const Result<RecoveredLog, StorageError> opened = storage.open();
    if (!isOk(opened) || stateOf(valueOf(opened)) != found) {
        return "the append after the recovery was lost";
    }
    return {};
}

} // namespace

class DiskCrashTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DiskCrashTest);
    CPPUNIT_TEST(powerLossAtEachCrashPoint);
    CPPUNIT_TEST(ignoredSyncsAreDetected);
    CPPUNIT_TEST(processExitAtCrashPoints);
    CPPUNIT_TEST(tornWriteAtEachByte);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against losing acknowledged data in a crash, and against recovery that fails after
    /// one.
    void powerLossAtEachCrashPoint()
    {
        const std::uint32_t seed = std::random_device{}();
        std::cout << " seed " << seed << std::flush;
        std::mt19937 random(seed);
        int crashes = 0;
        for (const std::string &crashPoint : allCrashPoints) {
            for (const Unsynced unsynced : {Unsynced::Lost, Unsynced::Kept, Unsynced::Partial}) {
                int count = 0;
                for (bool crashed = true; crashed;) {
                    const TemporaryFolder folder;
                    SimulatedDisk disk(folder.path());
                    disk.crashAt(crashPoint, ++count);
                    if (crashPoint == crashPoints::truncate) {
                        disk.failWrite(10 + count, ENOSPC, 20);
                        disk.crashAt(crashPoint, 1);
                    }
                    const CrashedRun run = runUntilCrash(folder.path(), disk);
                    crashed = run.crashed || (crashPoint == crashPoints::truncate && disk.failed());
                    if (!run.crashed) {
                        continue;
                    }
                    ++crashes;
                    disk.losePower(unsynced, random);
                    const std::string error = recoveryError(folder.path(), run);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE("crash at " + crashPoint + ":"
                                                         + std::to_string(count),
                                                 std::string(), error);
                }
            }
        }
        std::cout << " crashes " << crashes << std::flush;
        CPPUNIT_ASSERT(crashes > 100);
    }

    /// Guards against a simulated disk that keeps unsynced data on a power loss, with which
    /// powerLossAtEachCrashPoint() would pass without any sync.
    void ignoredSyncsAreDetected()
    {
        std::mt19937 random(1);
        const TemporaryFolder folder;
        {
            SimulatedDisk untouched(folder.path());
            DiskLogStorage storage(diskOptions(folder.path(), untouched.calls()));
            CPPUNIT_ASSERT(isOk(storage.open()));
        }
        SimulatedDisk disk(folder.path());
        disk.ignoreSyncs();
        disk.crashAt(crashPoints::append, 3);
        const CrashedRun run = runUntilCrash(folder.path(), disk);
        CPPUNIT_ASSERT(run.crashed);
        disk.losePower(Unsynced::Lost, random);
        CPPUNIT_ASSERT(!recoveryError(folder.path(), run).empty());
    }

    /// Guards against crash points that have no effect in a real process, and against losing
    /// acknowledged steps when a process exits there.
    void processExitAtCrashPoints()
    {
        for (const std::string &crashPoint : allCrashPoints) {
            if (crashPoint == crashPoints::truncate) {
                continue;
            }
            for (const int count : {1, 2, 4}) {
                const TemporaryFolder folder;
                std::array<int, 2> pipeEnds{};
                CPPUNIT_ASSERT(::pipe(pipeEnds.data()) == 0);
                const pid_t child = ::fork();
                if (child == 0) {
                    runWorkloadInChild(folder.path(), crashPoint + ":" + std::to_string(count),
                                       pipeEnds[1]);
                }
                ::close(pipeEnds[1]);
                CrashedRun run;
                std::size_t acknowledged = 0;
                for (char byte = 0; ::read(pipeEnds[0], &byte, 1) == 1;) {
                    ++acknowledged;
                }
                ::close(pipeEnds[0]);
                int status = 0;
                CPPUNIT_ASSERT(::waitpid(child, &status, 0) == child);
                const std::string name = crashPoint + ":" + std::to_string(count);
                CPPUNIT_ASSERT_MESSAGE(name, WIFEXITED(status));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, crashStatus, WEXITSTATUS(status));
                const std::vector<DiskStep> steps = diskWorkload();
                for (std::size_t index = 0; index < acknowledged; ++index) {
                    steps[index].apply(run.before);
                }
                run.after = run.before;
                if (acknowledged < steps.size()) {
                    steps[acknowledged].apply(run.after);
                }
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(),
                                             recoveryError(folder.path(), run));
            }
        }
    }

    /// Guards against a torn last record, of any length, that makes the records before it
    /// unreadable.
    void tornWriteAtEachByte()
    {
        const TemporaryFolder folder;
        StoredState expected;
        std::size_t wholeBytes = 0;
        const std::string path = folder.path() + "/log-000000000001";
        {
            DiskLogStorage storage(diskOptions(folder.path(), unsyncedFileCalls()));
            CPPUNIT_ASSERT(isOk(storage.open()));
            for (const std::uint64_t index : {1, 3}) {
                CPPUNIT_ASSERT(isOk(storage.append(entriesFrom(index, 1, 2))));
                expected.append(entriesFrom(index, 1, 2));
            }
            wholeBytes = contentOf(path).size();
            CPPUNIT_ASSERT(isOk(storage.append(entriesFrom(5, 1, 2))));
        }
        const std::string all = contentOf(path);
        for (std::size_t length = wholeBytes; length < all.size(); ++length) {
            for (const bool zeros : {false, true}) {
                const std::string torn =
                        all.substr(0, length) + std::string(zeros ? all.size() - length : 0, '\0');
                if (torn == all) {
                    continue;
                }
                writeContent(path, torn);
                DiskLogStorage storage(diskOptions(folder.path(), unsyncedFileCalls()));
                const Result<RecoveredLog, StorageError> opened = storage.open();
                CPPUNIT_ASSERT_MESSAGE(isOk(opened) ? "" : errorOf(opened).message, isOk(opened));
                CPPUNIT_ASSERT(stateOf(valueOf(opened)) == expected);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(torn.size() - wholeBytes),
                                     valueOf(opened).tornBytes);
                CPPUNIT_ASSERT_EQUAL(wholeBytes, contentOf(path).size());
            }
        }
    }

private:
    [[noreturn]] static void runWorkloadInChild(const std::string &folder,
                                                const std::string &crashPoint, int acknowledged)
    {
        ::setenv("DANDELIONLOOM_CRASH_POINT", crashPoint.c_str(), 1);
        DiskLogStorage storage(diskOptions(folder, systemFileCalls()));
        if (!isOk(storage.open())) {
            ::_exit(1);
        }
        for (const DiskStep &step : diskWorkload()) {
            if (!isOk(step.run(storage))) {
                ::_exit(2);
            }
            (void)!::write(acknowledged, "x", 1);
        }
        ::_exit(0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiskCrashTest);
