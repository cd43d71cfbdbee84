#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>

#include "Adapters/Disk/AtomicFile.h"
#include "Adapters/Disk/Records.h"
#include "Disk/DiskWorkload.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

Result<RecoveredLog, StorageError> openOnce(const std::string &folder)
{
    DiskLogStorage storage(diskOptions(folder, unsyncedFileCalls()));
    return storage.open();
}

template <typename T>
void assertFails(StorageErrorKind kind, const std::string &part,
                 const Result<T, StorageError> &result)
{
    CPPUNIT_ASSERT(!isOk(result));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(errorOf(result).message,
                                 std::string(storageErrorKindNames.name(kind)),
                                 std::string(storageErrorKindNames.name(errorOf(result).kind)));
    CPPUNIT_ASSERT_MESSAGE(errorOf(result).message,
                           errorOf(result).message.find(part) != std::string::npos);
}

/// A data folder with three records in one segment, a hard state and a snapshot.
struct FilledFolder
{
    FilledFolder()
    {
        DiskLogOptions options = diskOptions(folder.path(), unsyncedFileCalls());
        options.segmentBytes = 1U << 20U;
        DiskLogStorage storage(options);
        CPPUNIT_ASSERT(isOk(storage.open()));
        CPPUNIT_ASSERT(isOk(storage.saveHardState({7, "voter-1"})));
        CPPUNIT_ASSERT(isOk(storage.append(entriesFrom(1, 1, 2))));
        CPPUNIT_ASSERT(isOk(storage.saveSnapshot({1, 1, {}, "state"})));
        lastRecordOffset = contentOf(segment()).size();
        for (const std::uint64_t index : {3, 5}) {
            lastRecordOffset = contentOf(segment()).size();
            CPPUNIT_ASSERT(isOk(storage.append(entriesFrom(index, 1, 2))));
        }
    }

    std::string segment() const { return folder.path() + "/log-000000000001"; }

    TemporaryFolder folder;
    std::size_t lastRecordOffset = 0;
};

/// Content of all files in the folder, by name.
std::map<std::string, std::string> allContent(const std::string &folder)
{
    std::map<std::string, std::string> result;
    for (const std::string &name : fileNamesIn(folder)) {
        result[name] = contentOf(folder + "/" + name);
    }
    return result;
}

} // namespace

namespace {

/// A rejected change may leave an empty new segment, but must change nothing else.
void assertUnchanged(const std::string &step, const std::map<std::string, std::string> &before,
                     const std::map<std::string, std::string> &after)
{
    for (const auto &[name, content] : before) {
        CPPUNIT_ASSERT_MESSAGE(step + " " + name, after.contains(name));
        CPPUNIT_ASSERT_MESSAGE(step + " " + name, after.at(name) == content);
    }
    CPPUNIT_ASSERT_MESSAGE(step, after.size() <= before.size() + 1);
    for (const auto &[name, content] : after) {
        if (!before.contains(name)) {
            CPPUNIT_ASSERT_MESSAGE(step + " " + name, name.starts_with("log-"));
            CPPUNIT_ASSERT_MESSAGE(step + " " + name, content.size() < 2 * recordHeaderBytes);
        }
    }
}

} // namespace

class DiskFaultTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DiskFaultTest);
    CPPUNIT_TEST(flippedBytesAreReportedAsDamage);
    CPPUNIT_TEST(missingFilesAreReportedAsDamage);
    CPPUNIT_TEST(fullDiskChangesNothing);
    CPPUNIT_TEST(failedSyncIsPermanent);
    CPPUNIT_TEST(secondProcessIsRejected);
    CPPUNIT_TEST(foreignFoldersAreRejected);
    CPPUNIT_TEST(outOfOrderAppendsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against serving damaged entries, and against silently truncating damaged records.
    void flippedBytesAreReportedAsDamage()
    {
        const FilledFolder filled;
        const std::string all = contentOf(filled.segment());
        for (std::size_t offset = 0; offset < all.size(); ++offset) {
            std::string flipped = all;
            flipped[offset] = static_cast<char>(flipped[offset] ^ (1 << (offset % 8)));
            writeContent(filled.segment(), flipped);
            const Result<RecoveredLog, StorageError> opened = openOnce(filled.folder.path());
            if (offset < filled.lastRecordOffset) {
                assertFails(StorageErrorKind::Damaged, filled.segment() + " at offset ", opened);
                CPPUNIT_ASSERT(contentOf(filled.segment()) == flipped);
            } else {
                CPPUNIT_ASSERT(isOk(opened));
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(all.size() - filled.lastRecordOffset),
                                     valueOf(opened).tornBytes);
                CPPUNIT_ASSERT(valueOf(opened).entries.back() == entriesFrom(4, 1, 1).front());
            }
        }
        writeContent(filled.segment(), all);
        for (const char *name : {"meta", "hard-state", "snapshot"}) {
            const std::string path = filled.folder.path() + "/" + name;
            const std::string content = contentOf(path);
            for (std::size_t offset = 0; offset < content.size(); ++offset) {
                std::string flipped = content;
                flipped[offset] = static_cast<char>(flipped[offset] ^ 1);
                writeContent(path, flipped);
                assertFails(StorageErrorKind::Damaged, path + " at offset 0",
                            openOnce(filled.folder.path()));
            }
            writeContent(path, content);
        }
        CPPUNIT_ASSERT(isOk(openOnce(filled.folder.path())));
        section("a record moved to another offset is no valid record", [&] {
            const std::string record = encodeRecord({1, 50}, "payload");
            CPPUNIT_ASSERT(scanRecords(1, record).tail == RecordTail::Torn);
            CPPUNIT_ASSERT(scanRecords(1, encodeRecord({1, 0}, "payload")).tail
                           == RecordTail::Complete);
        });
    }

    /// Guards against starting a replica whose data folder has lost files as if its data were
    /// complete.
    void missingFilesAreReportedAsDamage()
    {
        for (const char *name : {"meta", "hard-state", "snapshot", "log-000000000001"}) {
            const FilledFolder filled;
            std::filesystem::remove(filled.folder.path() + "/" + name);
            if (std::string(name) == "snapshot") {
                // Entry 1 is still in the segment, so the log is complete without the snapshot.
                CPPUNIT_ASSERT(isOk(openOnce(filled.folder.path())));
                continue;
            }
            assertFails(StorageErrorKind::Damaged, "expected", openOnce(filled.folder.path()));
        }
        section("a lost snapshot behind which the log is empty", [] {
            const FilledFolder filled;
            {
                DiskLogStorage storage(diskOptions(filled.folder.path(), unsyncedFileCalls()));
                CPPUNIT_ASSERT(isOk(storage.open()));
                CPPUNIT_ASSERT(isOk(storage.saveSnapshot({6, 1, {}, "state"})));
            }
            CPPUNIT_ASSERT(isOk(openOnce(filled.folder.path())));
            std::filesystem::remove(filled.folder.path() + "/snapshot");
            assertFails(StorageErrorKind::Damaged, "expected a snapshot of entry 6",
                        openOnce(filled.folder.path()));
        });
    }

    /// Guards against a full disk that leaves part of a record, or that makes all later writes
    /// fail.
    void fullDiskChangesNothing()
    {
        for (const std::size_t keptBytes : {0, 1, 20}) {
            for (const bool atOpen : {false, true}) {
                int count = 0;
                for (bool failed = true; failed;) {
                    failed = runWithFullDisk(++count, keptBytes, atOpen);
                }
                CPPUNIT_ASSERT(count > 10);
            }
        }
    }

    /// Guards against retrying a failed sync, which can report success for data that the kernel has
    /// discarded.
    void failedSyncIsPermanent()
    {
        int count = 0;
        for (bool failed = true; failed;) {
            const TemporaryFolder folder;
            SimulatedDisk disk(folder.path());
            disk.failSync(++count);
            DiskLogStorage storage(diskOptions(folder.path(), disk.calls()));
            const Result<RecoveredLog, StorageError> opened = storage.open();
            failed = !isOk(opened);
            for (const DiskStep &step : diskWorkload()) {
                if (failed) {
                    break;
                }
                const Result<Done, StorageError> done = step.run(storage);
                failed = !isOk(done);
                if (failed) {
                    assertFails(StorageErrorKind::InputOutput, "sync", done);
                }
            }
            if (failed) {
                const int syncs = disk.syncCount();
                for (const DiskStep &step : diskWorkload()) {
                    assertFails(StorageErrorKind::InputOutput, "", step.run(storage));
                }
                CPPUNIT_ASSERT_EQUAL(syncs, disk.syncCount());
            }
        }
        CPPUNIT_ASSERT(count > 10);
    }

    /// Guards against two processes writing to the same log.
    void secondProcessIsRejected()
    {
        const TemporaryFolder folder;
        {
            DiskLogStorage first(diskOptions(folder.path(), unsyncedFileCalls()));
            CPPUNIT_ASSERT(isOk(first.open()));
            assertFails(StorageErrorKind::InputOutput, "no other process", openOnce(folder.path()));
            const pid_t child = ::fork();
            if (child == 0) {
                ::_exit(isOk(openOnce(folder.path())) ? 0 : 3);
            }
            int status = 0;
            CPPUNIT_ASSERT(::waitpid(child, &status, 0) == child);
            CPPUNIT_ASSERT(WIFEXITED(status));
            CPPUNIT_ASSERT_EQUAL(3, WEXITSTATUS(status));
        }
        CPPUNIT_ASSERT(isOk(openOnce(folder.path())));
    }

    /// Guards against using data of another cluster, and against misreading a newer format.
    void foreignFoldersAreRejected()
    {
        const TemporaryFolder folder;
        const Result<RecoveredLog, StorageError> created = openOnce(folder.path());
        CPPUNIT_ASSERT(isOk(created));
        CPPUNIT_ASSERT(valueOf(created).created);
        CPPUNIT_ASSERT_EQUAL(std::size_t(32), valueOf(created).storageId.size());
        section("the storage id stays, and differs between folders", [&] {
            const Result<RecoveredLog, StorageError> again = openOnce(folder.path());
            CPPUNIT_ASSERT(isOk(again));
            CPPUNIT_ASSERT(!valueOf(again).created);
            CPPUNIT_ASSERT_EQUAL(valueOf(created).storageId, valueOf(again).storageId);
            const TemporaryFolder other;
            CPPUNIT_ASSERT(valueOf(openOnce(other.path())).storageId != valueOf(created).storageId);
        });
        const std::map<std::string, std::string> before = allContent(folder.path());
        section("another cluster and another group", [&] {
            DiskLogOptions options = diskOptions(folder.path(), unsyncedFileCalls());
            options.clusterId = "cluster-2";
            assertFails(StorageErrorKind::ForeignCluster, "expected cluster \"cluster-2\"",
                        DiskLogStorage(options).open());
            options.clusterId = "cluster-1";
            options.group = "region-2";
            assertFails(StorageErrorKind::ForeignCluster, "found \"cluster-1\" and \"region-1\"",
                        DiskLogStorage(options).open());
        });
        CPPUNIT_ASSERT(allContent(folder.path()) == before);
        section("a newer format", [&] {
            CPPUNIT_ASSERT(isOk(writeMeta(unsyncedFileCalls(), folder.path(),
                                          {diskFormatVersion + 1, "cluster-1", "region-1", "id"})));
            assertFails(StorageErrorKind::NewerFormat,
                        "expected format version 1 or lower, found 2", openOnce(folder.path()));
        });
    }

    /// Guards against callers that would create a gap in the log.
    void outOfOrderAppendsAreRejected()
    {
        const auto assertRejected = [](const std::vector<LogEntry> &entries) {
            const TemporaryFolder folder;
            DiskLogStorage storage(diskOptions(folder.path(), unsyncedFileCalls()));
            CPPUNIT_ASSERT(isOk(storage.open()));
            CPPUNIT_ASSERT(isOk(storage.append(entriesFrom(1, 1, 4))));
            CPPUNIT_ASSERT(isOk(storage.saveSnapshot({2, 1, {}, "state"})));
            assertFails(StorageErrorKind::InputOutput, "expected entr", storage.append(entries));
        };
        assertRejected(entriesFrom(6, 1, 1));
        assertRejected(entriesFrom(2, 1, 1));
        std::vector<LogEntry> gap = entriesFrom(5, 1, 3);
        gap.erase(gap.begin() + 1);
        assertRejected(gap);
    }

private:
    /// Runs the workload with a full disk at the count-th write or open; false if the workload
    /// makes fewer than `count` of them.
    static bool runWithFullDisk(int count, std::size_t keptBytes, bool atOpen)
    {
        const TemporaryFolder folder;
        StoredState expected;
        SimulatedDisk disk(folder.path());
        if (atOpen) {
            disk.failOpen(count, ENOSPC);
        } else {
            disk.failWrite(count, ENOSPC, keptBytes);
        }
        {
            auto storage =
                    std::make_unique<DiskLogStorage>(diskOptions(folder.path(), disk.calls()));
            const Result<RecoveredLog, StorageError> opened = storage->open();
            if (!isOk(opened)) {
                assertFails(StorageErrorKind::DiskFull, "", opened);
                storage.reset();
                storage =
                        std::make_unique<DiskLogStorage>(diskOptions(folder.path(), disk.calls()));
                CPPUNIT_ASSERT(isOk(storage->open()));
            }
            for (const DiskStep &step : diskWorkload()) {
                const std::map<std::string, std::string> before = allContent(folder.path());
                Result<Done, StorageError> done = step.run(*storage);
                if (!isOk(done)) {
                    assertFails(StorageErrorKind::DiskFull, "", done);
                    assertUnchanged(step.name, before, allContent(folder.path()));
                    done = step.run(*storage);
                }
                CPPUNIT_ASSERT_MESSAGE(isOk(done) ? "" : errorOf(done).message, isOk(done));
                step.apply(expected);
            }
        }
        const Result<RecoveredLog, StorageError> opened = openOnce(folder.path());
        CPPUNIT_ASSERT_MESSAGE(isOk(opened) ? "" : errorOf(opened).message, isOk(opened));
        CPPUNIT_ASSERT(stateOf(valueOf(opened)) == expected);
        return disk.failed();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiskFaultTest);
