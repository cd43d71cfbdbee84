#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ctime>
#include <random>

#include "Decisions/Placement.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

constexpr double gigabyte = 1e9;
constexpr SteadyTimeMs now = 10000000;

struct PlacementFixture
{
    PlacementFacts facts;
    PlacementLimits limits;
    SteadyTimeMs nowMs = now;

    WorkerFacts &worker(const std::string &id, const std::string &rack = "rack-1")
    {
        WorkerFacts worker;
        worker.id = id;
        worker.pool = "risk";
        worker.rack = rack;
        worker.capacity = {16, 32 * gigabyte, 0};
        return facts.workers.emplace_back(worker);
    }

    JobFacts &job(const std::string &id, double processors, double gigabytes)
    {
        JobFacts job;
        job.id = id;
        job.plan = "plan-1";
        job.pool = "risk";
        job.kind = "kind-of-" + id;
        job.declared = {processors, gigabytes * gigabyte, 0};
        job.submittedAtMs = now - 1000 + static_cast<SteadyTimeMs>(facts.jobs.size());
        return facts.jobs.emplace_back(job);
    }

    JobFacts &addRunningJob(const std::string &id, const std::string &worker, double processors,
                            double gigabytes)
    {
        JobFacts &result = job(id, processors, gigabytes);
        result.state = JobState::Running;
        result.worker = worker;
        result.startedAtMs = now - 600000;
        result.usage = JobUsage{processors, gigabytes * gigabyte, 0, now - 3000};
        return result;
    }

    PlacementPlan place() const { return placeJobs(facts, limits, nowMs); }
};

JobDecision decisionFor(const PlacementPlan &plan, const std::string &job)
{
    const auto found =
            std::find_if(plan.decisions.begin(), plan.decisions.end(),
                         [&](const JobDecision &decision) { return decision.job == job; });
    return found == plan.decisions.end() ? JobDecision{} : *found;
}

std::string decisionText(const PlacementPlan &plan, const std::string &job)
{
    const JobDecision decision = decisionFor(plan, job);
    if (decision.job.empty()) {
        return "nothing";
    }
    return std::string(jobActionNames.name(decision.action)) + " "
            + std::string(jobReasonNames.name(decision.reason));
}

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(observedUse);
    CPPUNIT_TEST(impossibleJobs);
    CPPUNIT_TEST(cancellations);
    CPPUNIT_TEST(urgentWork);
    CPPUNIT_TEST(outgrownMemory);
    CPPUNIT_TEST(outgrownProcessors);
    CPPUNIT_TEST(stragglers);
    CPPUNIT_TEST(retries);
    CPPUNIT_TEST(capacityOverSeeds);
    CPPUNIT_TEST(planningTime);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against placement by declared usage, which is far off in both directions.
    void observedUse()
    {
        PlacementFixture fixture;
        fixture.worker("w1");
        fixture.job("a", 12, 4);
        fixture.job("b", 12, 4);
        section("without observations the declaration counts", [&] {
            const PlacementPlan plan = fixture.place();
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-declaration"),
                                 decisionText(plan, "a"));
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), decisionText(plan, "b"));
        });
        section("a kind that used little fits twice", [&] {
            fixture.facts.profiles["kind-of-a"] = {5, {2, 1 * gigabyte, 0}, 60000};
            fixture.facts.profiles["kind-of-b"] = {5, {2, 1 * gigabyte, 0}, 60000};
            const PlacementPlan plan = fixture.place();
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-kind-use"), decisionText(plan, "b"));
        });
        section("two runs are too few to use the profile", [&] {
            fixture.facts.profiles["kind-of-b"].runs = 2;
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-declaration"),
                                 decisionText(fixture.place(), "b"));
        });
        section("a running job counts by its own reports, grown over their age", [&] {
            PlacementFixture busy;
            busy.worker("w1");
            JobFacts &job = busy.addRunningJob("old", "w1", 1, 4);
            job.usage->memoryBytes = 8 * gigabyte;
            job.usage->memoryGrowthPerSecond = 1 * gigabyte;
            busy.job("new", 1, 12);
            // 8 GB, and 8 s of growth until the next pass: 16 GB of the 28.8 GB without headroom.
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-declaration"),
                                 decisionText(busy.place(), "new"));
            busy.facts.jobs[0].usage->takenAtMs = now - 10000;
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), decisionText(busy.place(), "new"));
        });
    }

    /// Guards against a job that waits indefinitely although it can never run.
    void impossibleJobs()
    {
        PlacementFixture fixture;
        fixture.worker("w1");
        fixture.addRunningJob("busy", "w1", 14, 4);
        fixture.job("fits-later", 12, 4);
        fixture.job("too-large", 12, 64);
        fixture.job("no-pool", 1, 1).pool = "unknown";
        fixture.job("no-allowance", 1, 1).declared.accelerators = 2;
        const PlacementPlan plan = fixture.place();
        CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), decisionText(plan, "fits-later"));
        CPPUNIT_ASSERT_EQUAL(std::string("refuse no-worker-large-enough"),
                             decisionText(plan, "too-large"));
        CPPUNIT_ASSERT_EQUAL(std::string("refuse no-pool"), decisionText(plan, "no-pool"));
        CPPUNIT_ASSERT_EQUAL(std::string("refuse allowance-too-small"),
                             decisionText(plan, "no-allowance"));
        section("an oversized declaration is no reason to refuse if the kind uses little", [&] {
            fixture.facts.profiles["kind-of-too-large"] = {5, {1, 1 * gigabyte, 0}, 60000};
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"),
                                 decisionText(fixture.place(), "fits-later"));
            fixture.facts.jobs.erase(fixture.facts.jobs.begin());
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-kind-use"),
                                 decisionText(fixture.place(), "too-large"));
        });
        section("accelerators in use count against the plan's allowance", [&] {
            fixture.facts.allowances["plan-1"].accelerators = 3;
            fixture.worker("w2").capacity.accelerators = 8;
            fixture.addRunningJob("holds-two", "w2", 1, 1).declared.accelerators = 2;
            CPPUNIT_ASSERT_EQUAL(std::string("wait allowance-spent"),
                                 decisionText(fixture.place(), "no-allowance"));
        });
    }

    /// Guards against a burst of cancellations that takes one pass per job, and against capacity
    /// that is reused before its job has ended.
    void cancellations()
    {
        PlacementFixture fixture;
        fixture.worker("w1");
        for (int index = 0; index < 6; ++index) {
            fixture.addRunningJob("running-" + std::to_string(index), "w1", 2, 1).cancelled = true;
        }
        for (int index = 0; index < 2000; ++index) {
            fixture.job("waiting-" + std::to_string(index), 2, 1).cancelled = true;
        }
        fixture.job("next", 10, 1);
        const PlacementPlan plan = fixture.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2007), plan.decisions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("stop cancelled"), decisionText(plan, "running-5"));
        CPPUNIT_ASSERT_EQUAL(std::string("drop cancelled"), decisionText(plan, "waiting-1999"));
        CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), decisionText(plan, "next"));
    }

    /// Guards against urgent work that waits behind other work, and against more checkpoints than
    /// it needs.
    void urgentWork()
    {
        PlacementFixture fixture;
        fixture.worker("w1");
        fixture.addRunningJob("batch", "w1", 6, 4).checkpointable = true;
        fixture.facts.jobs.back().urgency = Urgency::Batch;
        fixture.addRunningJob("normal", "w1", 6, 4).checkpointable = true;
        fixture.facts.jobs.back().startedAtMs = now - 1000;
        section("it is placed before normal work that came earlier", [&] {
            PlacementFixture both = fixture;
            both.job("earlier", 2, 1);
            both.job("urgent", 2, 1).urgency = Urgency::Urgent;
            const PlacementPlan plan = both.place();
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), decisionText(plan, "earlier"));
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-declaration"),
                                 decisionText(plan, "urgent"));
        });
        fixture.job("urgent", 6, 4).urgency = Urgency::Urgent;
        section("one checkpoint of batch work makes room", [&] {
            const PlacementPlan plan = fixture.place();
            CPPUNIT_ASSERT_EQUAL(std::string("checkpoint makes-room-for-urgent"),
                                 decisionText(plan, "batch"));
            CPPUNIT_ASSERT_EQUAL(std::string("urgent"), decisionFor(plan, "batch").forJob);
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), decisionText(plan, "normal"));
            CPPUNIT_ASSERT_EQUAL(std::string("wait waits-for-checkpoint"),
                                 decisionText(plan, "urgent"));
        });
        section("of two batch jobs the one that started last is checkpointed", [&] {
            PlacementFixture both = fixture;
            both.facts.jobs[1].urgency = Urgency::Batch;
            CPPUNIT_ASSERT_EQUAL(std::string("checkpoint makes-room-for-urgent"),
                                 decisionText(both.place(), "normal"));
        });
        section("the next round waits for it and checkpoints nothing more", [&] {
            fixture.facts.jobs[0].state = JobState::Checkpointing;
            const PlacementPlan plan = fixture.place();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.decisions.size());
            CPPUNIT_ASSERT_EQUAL(std::string("wait waits-for-checkpoint"),
                                 decisionText(plan, "urgent"));
        });
        section("also when nothing else could be checkpointed", [&] {
            PlacementFixture alone = fixture;
            alone.facts.jobs[1].checkpointable = false;
            CPPUNIT_ASSERT_EQUAL(std::string("wait waits-for-checkpoint"),
                                 decisionText(alone.place(), "urgent"));
        });
        section("then the urgent job gets the room, and not the one that gave it up", [&] {
            fixture.facts.jobs[0].state = JobState::Waiting;
            const PlacementPlan plan = fixture.place();
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-declaration"),
                                 decisionText(plan, "urgent"));
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), decisionText(plan, "batch"));
        });
        section("the slot of an ending job is assigned once", [&] {
            PlacementFixture slots;
            slots.worker("w1").slots = 1;
            slots.addRunningJob("ending", "w1", 1, 1).state = JobState::Checkpointing;
            slots.job("first", 1, 1).urgency = Urgency::Urgent;
            slots.job("second", 1, 1).urgency = Urgency::Urgent;
            const PlacementPlan plan = slots.place();
            CPPUNIT_ASSERT_EQUAL(std::string("wait waits-for-checkpoint"),
                                 decisionText(plan, "first"));
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), decisionText(plan, "second"));
        });
        section("work that can't be checkpointed is left alone", [&] {
            for (JobFacts &job : fixture.facts.jobs) {
                job.checkpointable = false;
            }
            fixture.facts.jobs[0].state = JobState::Running;
            const PlacementPlan plan = fixture.place();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.decisions.size());
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), decisionText(plan, "urgent"));
        });
    }

    /// Guards against a job that takes the memory of other jobs on its worker.
    void outgrownMemory()
    {
        PlacementFixture fixture;
        fixture.worker("w1");
        fixture.addRunningJob("neighbour", "w1", 2, 12);
        JobFacts &grower = fixture.addRunningJob("grower", "w1", 2, 4);
        grower.usage->memoryBytes = 12 * gigabyte;
        grower.usage->memoryGrowthPerSecond = 0.2 * gigabyte;
        section("outgrown but with room: nothing happens", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), decisionText(fixture.place(), "grower"));
        });
        section("over 9 tenths of the worker used by the next pass: it is throttled", [&] {
            fixture.facts.jobs[1].usage->memoryBytes = 16 * gigabyte;
            const PlacementPlan plan = fixture.place();
            CPPUNIT_ASSERT_EQUAL(std::string("throttle outgrew-memory"),
                                 decisionText(plan, "grower"));
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), decisionText(plan, "neighbour"));
        });
        section("throttled, it stays throttled while memory is short", [&] {
            fixture.facts.jobs[1].throttle = fixture.limits.minThrottle;
            fixture.facts.jobs[1].usage->processors = 0.2;
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), decisionText(fixture.place(), "grower"));
        });
        section("with checkpoints it is moved, and placed by its observed usage", [&] {
            fixture.facts.jobs[1].throttle = 1;
            fixture.facts.jobs[1].checkpointable = true;
            CPPUNIT_ASSERT_EQUAL(std::string("checkpoint outgrew-memory"),
                                 decisionText(fixture.place(), "grower"));
            fixture.facts.jobs[1].state = JobState::Waiting;
            fixture.worker("w2");
            const PlacementPlan plan = fixture.place();
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-own-use"),
                                 decisionText(plan, "grower"));
            CPPUNIT_ASSERT_EQUAL(16 * gigabyte, decisionFor(plan, "grower").expected.memoryBytes);
        });
    }

    /// Guards against a job that takes the processors of other jobs on its worker, and against a
    /// throttle that stays after the utilization has dropped.
    void outgrownProcessors()
    {
        PlacementFixture fixture;
        fixture.worker("w1");
        fixture.addRunningJob("neighbour", "w1", 6, 4);
        fixture.addRunningJob("greedy", "w1", 4, 4).usage->processors = 10;
        const PlacementPlan plan = fixture.place();
        CPPUNIT_ASSERT_EQUAL(std::string("throttle outgrew-processors"),
                             decisionText(plan, "greedy"));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, decisionFor(plan, "greedy").throttle, 0.001);
        CPPUNIT_ASSERT_EQUAL(std::string("nothing"), decisionText(plan, "neighbour"));
        section("with the neighbour gone its throttle is lifted", [&] {
            fixture.facts.jobs[1].throttle = 0.4;
            fixture.facts.jobs[1].usage->processors = 4;
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), decisionText(fixture.place(), "greedy"));
            fixture.facts.jobs[0].worker = "elsewhere";
            CPPUNIT_ASSERT_EQUAL(std::string("throttle pressure-ended"),
                                 decisionText(fixture.place(), "greedy"));
        });
    }

    /// Guards against a few jobs that run many times longer than the rest and eventually occupy the
    /// whole pool.
    void stragglers()
    {
        PlacementFixture fixture;
        fixture.worker("w1");
        fixture.worker("w2");
        for (int index = 0; index < 4; ++index) {
            JobFacts &job = fixture.addRunningJob("long-" + std::to_string(index), "w1", 3, 1);
            job.kind = "kind";
            job.startedAtMs = now - 700000 + index;
            job.checkpointable = index != 2;
        }
        fixture.facts.profiles["kind"] = {9, {3, 1 * gigabyte, 0}, 60000};
        section("of 32 processors they may hold 6.4: the latest started are limited", [&] {
            const PlacementPlan plan = fixture.place();
            CPPUNIT_ASSERT_EQUAL(std::string("checkpoint straggler-share"),
                                 decisionText(plan, "long-3"));
            CPPUNIT_ASSERT_EQUAL(std::string("throttle straggler-share"),
                                 decisionText(plan, "long-2"));
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), decisionText(plan, "long-1"));
        });
        section("throttled, it stays throttled although the worker is free", [&] {
            fixture.facts.jobs[2].throttle = fixture.limits.minThrottle;
            fixture.facts.jobs[2].usage->processors = 0.3;
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), decisionText(fixture.place(), "long-2"));
        });
        section("one that was checkpointed starts again only within the share", [&] {
            fixture.facts.jobs[3].state = JobState::Waiting;
            fixture.facts.jobs[3].runBeforeCheckpointMs = 700000;
            CPPUNIT_ASSERT_EQUAL(std::string("wait stragglers-hold-share"),
                                 decisionText(fixture.place(), "long-3"));
            fixture.facts.jobs[0].worker = "elsewhere";
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-own-use"),
                                 decisionText(fixture.place(), "long-3"));
        });
    }

    /// Guards against a retry on the worker or in the rack that failed the job, and against a
    /// second run while the lease of the first may be valid.
    void retries()
    {
        PlacementFixture fixture;
        fixture.worker("w1", "rack-1");
        fixture.worker("w2", "rack-1");
        fixture.worker("w3", "rack-2");
        fixture.job("a", 2, 1).failedOn = {"w1"};
        CPPUNIT_ASSERT_EQUAL(std::string("w3"), decisionFor(fixture.place(), "a").worker);
        fixture.facts.workers[2].inService = false;
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), decisionFor(fixture.place(), "a").worker);
        section("a worker that fails everything gets no job", [&] {
            PlacementFixture failing = fixture;
            for (const std::string job : {"x", "y", "z"}) {
                failing.facts.starts.push_back({job, "w2", false, now});
            }
            CPPUNIT_ASSERT_EQUAL(std::string("w1"), decisionFor(failing.place(), "a").worker);
            CPPUNIT_ASSERT(failing.place().health.quarantined.contains("w2"));
        });
        fixture.facts.jobs[0].leaseMayBeValid = true;
        CPPUNIT_ASSERT_EQUAL(std::string("wait lease-may-be-valid"),
                             decisionText(fixture.place(), "a"));
    }

    /// Guards against any mix of jobs for which a worker is filled beyond its capacity or slots, or
    /// a waiting job gets no decision or two.
    void capacityOverSeeds()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            section("seed " + std::to_string(seed), [&] {
                std::mt19937_64 random(seed);
                const auto draw = [&](std::uint32_t below) {
                    return static_cast<std::uint32_t>(random() % below);
                };
                PlacementFixture fixture;
                for (std::uint32_t index = 0; index < 12; ++index) {
                    fixture.worker("w" + std::to_string(index), "rack-" + std::to_string(index / 4))
                            .inService = draw(6) != 0;
                }
                for (std::uint32_t index = 0; index < 150; ++index) {
                    JobFacts &job =
                            fixture.job("j" + std::to_string(index), 1 + draw(20), 1 + draw(40));
                    job.urgency = static_cast<Urgency>(draw(3));
                    job.checkpointable = draw(2) == 0;
                    job.cancelled = draw(10) == 0;
                }
                std::map<std::string, JobFacts *> byName;
                for (JobFacts &job : fixture.facts.jobs) {
                    byName[job.id] = &job;
                }
                for (int pass = 0; pass < 6; ++pass) {
                    const PlacementPlan plan = fixture.place();
                    std::set<std::string> decided;
                    for (const JobDecision &decision : plan.decisions) {
                        CPPUNIT_ASSERT(decided.insert(decision.job).second);
                        JobFacts &job = *byName.at(decision.job);
                        if (decision.action == JobAction::Start) {
                            job.state = JobState::Running;
                            job.worker = decision.worker;
                            job.startedAtMs = fixture.nowMs;
                        } else if (decision.action == JobAction::Checkpoint) {
                            job.state = JobState::Checkpointing;
                        }
                    }
                    for (const JobFacts &job : fixture.facts.jobs) {
                        const bool waits = job.state == JobState::Waiting;
                        CPPUNIT_ASSERT(!waits || decided.contains(job.id));
                    }
                    for (const WorkerFacts &worker : fixture.facts.workers) {
                        Resources used;
                        std::uint32_t slots = 0;
                        for (const JobFacts &job : fixture.facts.jobs) {
                            if (job.state != JobState::Waiting && job.worker == worker.id) {
                                used = used + job.declared;
                                ++slots;
                            }
                        }
                        CPPUNIT_ASSERT(fits(used, worker.capacity) && slots <= worker.slots);
                        CPPUNIT_ASSERT(slots == 0 || worker.inService);
                    }
                    for (JobFacts &job : fixture.facts.jobs) {
                        if (job.state == JobState::Checkpointing) {
                            job.state = JobState::Waiting;
                        }
                    }
                    fixture.nowMs += 1000;
                }
            });
        }
    }

    /// Guards against a placement round that takes seconds for the fleet size expected in two
    /// years; urgent work starts only with a round.
    void planningTime()
    {
        PlacementFixture fixture;
        std::mt19937_64 random(1);
        for (int index = 0; index < 22000; ++index) {
            fixture.worker("w" + std::to_string(index), "rack-" + std::to_string(index / 4)).pool =
                    "pool-" + std::to_string(index % 64);
        }
        for (int index = 0; index < 100000; ++index) {
            JobFacts &job =
                    fixture.job("j" + std::to_string(index), static_cast<double>(1 + random() % 8),
                                static_cast<double>(1 + random() % 8));
            job.pool = "pool-" + std::to_string(index % 64);
            job.checkpointable = true;
            if (index % 2 == 0) {
                job.state = JobState::Running;
                job.worker = "w" + std::to_string(index % 22000);
                job.startedAtMs = now - 1000;
            } else if (index % 10 == 1) {
                job.urgency = Urgency::Urgent;
            }
        }
        const std::clock_t start = std::clock();
        const PlacementPlan plan = fixture.place();
        const std::clock_t elapsed = std::clock() - start;
        CPPUNIT_ASSERT(plan.decisions.size() >= 50000);
        CPPUNIT_ASSERT(elapsed < CLOCKS_PER_SEC);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
