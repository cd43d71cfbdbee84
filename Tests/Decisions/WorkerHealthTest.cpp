#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "Decisions/TaskLeases.h"
#include "Decisions/WorkerHealth.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

constexpr SteadyTimeMs now = 10000000;

std::vector<WorkerFacts> workersOf(int count)
{
    std::vector<WorkerFacts> workers(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        workers[static_cast<std::size_t>(index)].id = "w" + std::to_string(index);
        workers[static_cast<std::size_t>(index)].pool = "risk";
    }
    return workers;
}

std::string reasonFor(const WorkerHealthReport &verdicts, const std::string &worker)
{
    for (const WorkerVerdict &verdict : verdicts.workers) {
        if (verdict.worker == worker) {
            return std::string(workerReasonNames.name(verdict.reason));
        }
    }
    return "none";
}

} // namespace

class WorkerHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerHealthTest);
    CPPUNIT_TEST(failingWorkersAndJobs);
    CPPUNIT_TEST(quarantineShare);
    CPPUNIT_TEST(quarantineEnds);
    CPPUNIT_TEST(leases);
    CPPUNIT_TEST(leasesOverSeeds);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a quarantine of workers for a job that fails on every worker, and against a
    /// job that counts as failing because of a worker on which every job fails.
    void failingWorkersAndJobs()
    {
        const auto workers = workersOf(20);
        std::vector<StartRecord> starts;
        for (const std::string job : {"a", "b", "c"}) {
            starts.push_back({job, "w0", false, now});
            starts.push_back({job, "w1", true, now});
        }
        section("three jobs fail on one worker and run on another", [&] {
            const WorkerHealthReport verdicts = evaluateStarts(starts, workers, {}, now);
            CPPUNIT_ASSERT_EQUAL(std::string("fails-everything"), reasonFor(verdicts, "w0"));
            CPPUNIT_ASSERT(verdicts.quarantined.contains("w0"));
            CPPUNIT_ASSERT(verdicts.failingJobs.empty());
        });
        section("a worker with one success on it is kept, and not quarantined", [&] {
            auto mixed = starts;
            mixed.push_back({"d", "w0", true, now});
            CPPUNIT_ASSERT(evaluateStarts(mixed, workers, {}, now).quarantined.empty());
        });
        section("old failures don't count", [&] {
            CPPUNIT_ASSERT(evaluateStarts(starts, workers, {}, now + 700000).quarantined.empty());
        });
        section("three broken jobs on every worker are three failing jobs and no worker", [&] {
            std::vector<StartRecord> broken;
            for (int index = 2; index < 6; ++index) {
                const std::string worker = "w" + std::to_string(index);
                for (const std::string job : {"x", "y", "z"}) {
                    broken.push_back({job, worker, false, now});
                }
                if (index < 5) {
                    broken.push_back({"sound", worker, true, now});
                }
            }
            const WorkerHealthReport verdicts = evaluateStarts(broken, workers, {}, now);
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), verdicts.failingJobs.size());
            CPPUNIT_ASSERT(verdicts.quarantined.empty());
        });
    }

    /// Guards against a fault that affects all jobs (a broken network) and quarantines the whole
    /// pool.
    void quarantineShare()
    {
        std::vector<StartRecord> starts;
        for (int worker = 0; worker < 20; ++worker) {
            for (int job = 0; job < 3; ++job) {
                starts.push_back({std::to_string(worker) + "-" + std::to_string(job),
                                  "w" + std::to_string(worker), false, now});
            }
        }
        const WorkerHealthReport verdicts = evaluateStarts(starts, workersOf(20), {}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), verdicts.quarantined.size());
        CPPUNIT_ASSERT_EQUAL(std::string("quarantine-full"), reasonFor(verdicts, "w19"));
    }

    /// Guards against a repaired worker that stays in quarantine, and against old failures that
    /// quarantine it again.
    void quarantineEnds()
    {
        auto workers = workersOf(20);
        workers[0].quarantinedAtMs = now;
        std::vector<StartRecord> starts;
        for (const std::string job : {"a", "b", "c"}) {
            starts.push_back({job, "w0", false, now - 1});
        }
        WorkerHealthLimits limits;
        limits.windowMs = 10000000;
        CPPUNIT_ASSERT(
                evaluateStarts(starts, workers, limits, now + 1000).quarantined.contains("w0"));
        const SteadyTimeMs later = now + limits.quarantineMs;
        const WorkerHealthReport verdicts = evaluateStarts(starts, workers, limits, later);
        CPPUNIT_ASSERT_EQUAL(std::string("quarantine-ended"), reasonFor(verdicts, "w0"));
        CPPUNIT_ASSERT(verdicts.quarantined.empty());
        section("new failures quarantine it again", [&] {
            for (const std::string job : {"a", "b", "c"}) {
                starts.push_back({job, "w0", false, later - 1});
            }
            CPPUNIT_ASSERT(
                    evaluateStarts(starts, workers, limits, later).quarantined.contains("w0"));
        });
    }

    /// Guards against a restart while the first run may still be active.
    void leases()
    {
        const LeaseTiming rules{10000, 5000, 0.01, 2000};
        TaskLease lease;
        lease.lastSentAtMs = now;
        section("not before delivery, lease, stop and clock drift have passed", [&] {
            const LeaseDecision early = mayRestart(lease, rules, now + 17000);
            CPPUNIT_ASSERT(!early.mayRestart);
            CPPUNIT_ASSERT(early.reason == LeaseReason::LeaseMayBeValid);
            CPPUNIT_ASSERT_EQUAL(SteadyTimeMs(now + 17340), early.retryAtMs);
            CPPUNIT_ASSERT(mayRestart(lease, rules, early.retryAtMs).mayRestart);
        });
        section("an earlier leader may have renewed until it stopped to lead", [&] {
            lease.earlierLeaderUntilMs = now + 3000;
            const LeaseDecision decision = mayRestart(lease, rules, now + 17340);
            CPPUNIT_ASSERT(decision.reason == LeaseReason::EarlierLeaderMayHaveRenewed);
        });
        section("a confirmed end needs no wait", [&] {
            lease.endConfirmed = true;
            CPPUNIT_ASSERT(mayRestart(lease, rules, now).mayRestart);
        });
    }

    /// Guards against any delivery time, clock rate and time to stop within the rules for which two
    /// runs of a task overlap.
    void leasesOverSeeds()
    {
        const LeaseTiming rules;
        std::mt19937_64 random(1);
        for (int trial = 0; trial < 10000; ++trial) {
            const auto share = [&] { return static_cast<double>(random() % 1001) / 1000; };
            TaskLease lease;
            lease.lastSentAtMs = now;
            const LeaseDecision decision = mayRestart(lease, rules, now);
            // Both clocks may be off by the bound, in opposite directions.
            const double leaderRate = 1 + rules.maxClockDrift * (2 * share() - 1);
            const double workerRate = 1 + rules.maxClockDrift * (2 * share() - 1);
            const double received = share() * static_cast<double>(rules.maxDeliveryMs);
            const double stops = received + static_cast<double>(stopTaskAt(0, rules)) / workerRate
                    + share() * static_cast<double>(rules.maxStopMs);
            const double restarts = static_cast<double>(decision.retryAtMs - now) / leaderRate;
            CPPUNIT_ASSERT(restarts >= stops);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerHealthTest);
