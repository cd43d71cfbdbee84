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
    DiskLogStorage storage(diskOptions(folder, quickFileCalls()));
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

/// A folder with three records in one segment, a hard state and a snapshot.
struct FilledFolder
{
    FilledFolder()
    {
        DiskLogOptions options = diskOptions(folder.path(), quickFileCalls());
        options.segmentBytes = 1U << 20U;
        DiskLogStorage storage(options);
        CPPUNIT_ASSERT(isOk(storage.open()));
        CPPUNIT_ASSERT(isOk(storage.saveHardState({7, "voter-1"})));
        CPPUNIT_ASSERT(isOk(storage.append(entriesFrom(1, 1, 2))));
        CPPUNIT_ASSERT(isOk(storage.saveSnapshot({1, 1, {}, "state"})));
        lastRecord = contentOf(segment()).size();
        for (const std::uint64_t index : {3, 5}) {
            lastRecord = contentOf(segment()).size();
            CPPUNIT_ASSERT(isOk(storage.append(entriesFrom(index, 1, 2))));
        }
    }

    std::string segment() const { return folder.path() + "/log-000000000001"; }

    TemporaryFolder folder;
    std::size_t lastRecord = 0;
};

/// Content of all files but the lock.
std::map<std::string, std::string> allContent(const std::string &folder)
{
    std::map<std::string, std::string> result;
    for (const std::string &name : namesIn(folder)) {
        result[name] = contentOf(folder + "/" + name);
    }
    return result;
}

} // namespace

namespace {

/// A refused change may leave an empty new segment and nothing else.
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
    CPPUNIT_TEST(flippedBytesAreDamage);
    CPPUNIT_TEST(missingFilesAreDamage);
    CPPUNIT_TEST(fullDiskChangesNothing);
    CPPUNIT_TEST(failedSyncIsFinal);
    CPPUNIT_TEST(oneProcessUsesAFolder);
    CPPUNIT_TEST(foreignFoldersAreRefused);
    CPPUNIT_TEST(wrongOrderIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against damaged entries that are served, and against damage that is silently cut.
    void flippedBytesAreDamage()
    {
        const FilledFolder filled;
        const std::string all = contentOf(filled.segment());
        for (std::size_t offset = 0; offset < all.size(); ++offset) {
            std::string flipped = all;
            flipped[offset] = static_cast<char>(flipped[offset] ^ (1 << (offset % 8)));
            setContent(filled.segment(), flipped);
            const Result<RecoveredLog, StorageError> opened = openOnce(filled.folder.path());
            if (offset < filled.lastRecord) {
                assertFails(StorageErrorKind::Damaged, filled.segment() + " at offset ", opened);
                CPPUNIT_ASSERT(contentOf(filled.segment()) == flipped);
            } else {
                CPPUNIT_ASSERT(isOk(opened));
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(all.size() - filled.lastRecord),
                                     valueOf(opened).tornBytes);
                CPPUNIT_ASSERT(valueOf(opened).entries.back() == entriesFrom(4, 1, 1).front());
            }
        }
        setContent(filled.segment(), all);
        for (const char *name : {"meta", "hard-state", "snapshot"}) {
            const std::string path = filled.folder.path() + "/" + name;
            const std::string content = contentOf(path);
            for (std::size_t offset = 0; offset < content.size(); ++offset) {
                std::string flipped = content;
                flipped[offset] = static_cast<char>(flipped[offset] ^ 1);
                setContent(path, flipped);
                assertFails(StorageErrorKind::Damaged, path + " at offset 0",
                            openOnce(filled.folder.path()));
            }
            setContent(path, content);
        }
        CPPUNIT_ASSERT(isOk(openOnce(filled.folder.path())));
        section("a record moved to another offset is no valid record", [&] {
            const std::string record = encodeRecord({1, 50}, "payload");
            CPPUNIT_ASSERT(scanRecords(1, record).tail == RecordTail::Torn);
            CPPUNIT_ASSERT(scanRecords(1, encodeRecord({1, 0}, "payload")).tail
                           == RecordTail::Whole);
        });
    }

    /// Guards against a start with an emptied folder that passes for the old replica.
    void missingFilesAreDamage()
    {
        for (const char *name : {"meta", "hard-state", "snapshot", "log-000000000001"}) {
            const FilledFolder filled;
            std::filesystem::remove(filled.folder.path() + "/" + name);
            if (std::string(name) == "snapshot") {
                // Entry 1 is still in the segment, so that the log is whole without the snapshot.
                CPPUNIT_ASSERT(isOk(openOnce(filled.folder.path())));
                continue;
            }
            assertFails(StorageErrorKind::Damaged, "expected", openOnce(filled.folder.path()));
        }
        section("a lost snapshot behind which the log is empty", [] {
            const FilledFolder filled;
            {
                DiskLogStorage storage(diskOptions(filled.folder.path(), quickFileCalls()));
                CPPUNIT_ASSERT(isOk(storage.open()));
                CPPUNIT_ASSERT(isOk(storage.saveSnapshot({6, 1, {}, "state"})));
            }
            CPPUNIT_ASSERT(isOk(openOnce(filled.folder.path())));
            std::filesystem::remove(filled.folder.path() + "/snapshot");
            assertFails(StorageErrorKind::Damaged, "expected a snapshot of entry 6",
                        openOnce(filled.folder.path()));
        });
    }

    /// Guards against a full disk that leaves part of a record, or that counts as a fault for good.
    void fullDiskChangesNothing()
    {
        for (const std::size_t kept : {0, 1, 20}) {
            for (const bool atOpen : {false, true}) {
                int count = 0;
                for (bool failed = true; failed;) {
                    failed = runWithFullDisk(++count, kept, atOpen);
                }
                CPPUNIT_ASSERT(count > 10);
            }
        }
    }

    /// Guards against a second sync that reports success for data that the system has dropped.
    void failedSyncIsFinal()
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

    /// Guards against two processes that write one log.
    void oneProcessUsesAFolder()
    {
        const TemporaryFolder folder;
        {
            DiskLogStorage first(diskOptions(folder.path(), quickFileCalls()));
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

    /// Guards against data of another cluster or of a newer program that is misread.
    void foreignFoldersAreRefused()
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
            DiskLogOptions options = diskOptions(folder.path(), quickFileCalls());
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
            CPPUNIT_ASSERT(isOk(writeMeta(quickFileCalls(), folder.path(),
                                          {diskFormatVersion + 1, "cluster-1", "region-1", "id"})));
            assertFails(StorageErrorKind::NewerFormat,
                        "expected format version 1 or lower, found 2", openOnce(folder.path()));
        });
    }

    /// Guards against a caller that would write a log with a gap.
    void wrongOrderIsRefused()
    {
        const auto refused = [](const std::vector<LogEntry> &entries) {
            const TemporaryFolder folder;
            DiskLogStorage storage(diskOptions(folder.path(), quickFileCalls()));
            CPPUNIT_ASSERT(isOk(storage.open()));
            CPPUNIT_ASSERT(isOk(storage.append(entriesFrom(1, 1, 4))));
            CPPUNIT_ASSERT(isOk(storage.saveSnapshot({2, 1, {}, "state"})));
            assertFails(StorageErrorKind::InputOutput, "expected entr", storage.append(entries));
        };
        refused(entriesFrom(6, 1, 1));
        refused(entriesFrom(2, 1, 1));
        std::vector<LogEntry> gap = entriesFrom(5, 1, 3);
        gap.erase(gap.begin() + 1);
        refused(gap);
    }

private:
    /// Runs the workload with no room at one write or open; false if that many never happened.
    static bool runWithFullDisk(int count, std::size_t kept, bool atOpen)
    {
        const TemporaryFolder folder;
        StoredState expected;
        SimulatedDisk disk(folder.path());
        if (atOpen) {
            disk.failOpen(count, ENOSPC);
        } else {
            disk.failWrite(count, ENOSPC, kept);
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
