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

struct Round
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

    JobFacts &running(const std::string &id, const std::string &worker, double processors,
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

std::string told(const PlacementPlan &plan, const std::string &job)
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
    /// Guards against placing by declarations, which are far off in both directions.
    void observedUse()
    {
        Round round;
        round.worker("w1");
        round.job("a", 12, 4);
        round.job("b", 12, 4);
        section("without observations the declaration counts", [&] {
            const PlacementPlan plan = round.place();
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-declaration"), told(plan, "a"));
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), told(plan, "b"));
        });
        section("a kind that used little fits twice", [&] {
            round.facts.profiles["kind-of-a"] = {5, {2, 1 * gigabyte, 0}, 60000};
            round.facts.profiles["kind-of-b"] = {5, {2, 1 * gigabyte, 0}, 60000};
            const PlacementPlan plan = round.place();
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-kind-use"), told(plan, "b"));
        });
        section("two runs are not enough to trust", [&] {
            round.facts.profiles["kind-of-b"].runs = 2;
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-declaration"),
                                 told(round.place(), "b"));
        });
        section("a running job counts by its own reports, grown over their age", [&] {
            Round busy;
            busy.worker("w1");
            JobFacts &job = busy.running("old", "w1", 1, 4);
            job.usage->memoryBytes = 8 * gigabyte;
            job.usage->memoryGrowthPerSecond = 1 * gigabyte;
            busy.job("new", 1, 12);
            // 8 GB, and 8 s of growth until the next pass: 16 of the 28.8 GB that are used.
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-declaration"),
                                 told(busy.place(), "new"));
            busy.facts.jobs[0].usage->takenAtMs = now - 10000;
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), told(busy.place(), "new"));
        });
    }

    /// Guards against a job that waits for ever although it can never run.
    void impossibleJobs()
    {
        Round round;
        round.worker("w1");
        round.running("busy", "w1", 14, 4);
        round.job("fits-later", 12, 4);
        round.job("too-large", 12, 64);
        round.job("no-pool", 1, 1).pool = "unknown";
        round.job("no-allowance", 1, 1).declared.accelerators = 2;
        const PlacementPlan plan = round.place();
        CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), told(plan, "fits-later"));
        CPPUNIT_ASSERT_EQUAL(std::string("refuse no-worker-large-enough"), told(plan, "too-large"));
        CPPUNIT_ASSERT_EQUAL(std::string("refuse no-pool"), told(plan, "no-pool"));
        CPPUNIT_ASSERT_EQUAL(std::string("refuse allowance-too-small"), told(plan, "no-allowance"));
        section("a declaration far too large is no reason if the kind uses little", [&] {
            round.facts.profiles["kind-of-too-large"] = {5, {1, 1 * gigabyte, 0}, 60000};
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), told(round.place(), "fits-later"));
            round.facts.jobs.erase(round.facts.jobs.begin());
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-kind-use"),
                                 told(round.place(), "too-large"));
        });
        section("accelerators in use count against the plan's allowance", [&] {
            round.facts.allowances["plan-1"].accelerators = 3;
            round.worker("w2").capacity.accelerators = 8;
            round.running("holds-two", "w2", 1, 1).declared.accelerators = 2;
            CPPUNIT_ASSERT_EQUAL(std::string("wait allowance-spent"),
                                 told(round.place(), "no-allowance"));
        });
    }

    /// Guards against a wave of cancellations that takes a pass for each job, and against room
    /// that is used before its job has ended.
    void cancellations()
    {
        Round round;
        round.worker("w1");
        for (int index = 0; index < 6; ++index) {
            round.running("running-" + std::to_string(index), "w1", 2, 1).cancelled = true;
        }
        for (int index = 0; index < 2000; ++index) {
            round.job("waiting-" + std::to_string(index), 2, 1).cancelled = true;
        }
        round.job("next", 10, 1);
        const PlacementPlan plan = round.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2007), plan.decisions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("stop cancelled"), told(plan, "running-5"));
        CPPUNIT_ASSERT_EQUAL(std::string("drop cancelled"), told(plan, "waiting-1999"));
        CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), told(plan, "next"));
    }

    /// Guards against urgent work that waits behind other work, and against more checkpoints than
    /// it needs.
    void urgentWork()
    {
        Round round;
        round.worker("w1");
        round.running("batch", "w1", 6, 4).checkpointable = true;
        round.facts.jobs.back().urgency = Urgency::Batch;
        round.running("normal", "w1", 6, 4).checkpointable = true;
        round.facts.jobs.back().startedAtMs = now - 1000;
        section("it is placed before normal work that came earlier", [&] {
            Round both = round;
            both.job("earlier", 2, 1);
            both.job("urgent", 2, 1).urgency = Urgency::Urgent;
            const PlacementPlan plan = both.place();
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), told(plan, "earlier"));
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-declaration"), told(plan, "urgent"));
        });
        round.job("urgent", 6, 4).urgency = Urgency::Urgent;
        section("one checkpoint of batch work makes room", [&] {
            const PlacementPlan plan = round.place();
            CPPUNIT_ASSERT_EQUAL(std::string("checkpoint makes-room-for-urgent"),
                                 told(plan, "batch"));
            CPPUNIT_ASSERT_EQUAL(std::string("urgent"), decisionFor(plan, "batch").forJob);
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), told(plan, "normal"));
            CPPUNIT_ASSERT_EQUAL(std::string("wait waits-for-checkpoint"), told(plan, "urgent"));
        });
        section("of two batch jobs the one that started last yields", [&] {
            Round both = round;
            both.facts.jobs[1].urgency = Urgency::Batch;
            CPPUNIT_ASSERT_EQUAL(std::string("checkpoint makes-room-for-urgent"),
                                 told(both.place(), "normal"));
        });
        section("the next round waits for it and checkpoints nothing more", [&] {
            round.facts.jobs[0].state = JobState::Checkpointing;
            const PlacementPlan plan = round.place();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.decisions.size());
            CPPUNIT_ASSERT_EQUAL(std::string("wait waits-for-checkpoint"), told(plan, "urgent"));
        });
        section("also when nothing else could be checkpointed", [&] {
            Round alone = round;
            alone.facts.jobs[1].checkpointable = false;
            CPPUNIT_ASSERT_EQUAL(std::string("wait waits-for-checkpoint"),
                                 told(alone.place(), "urgent"));
        });
        section("then the urgent job gets the room, and not the one that gave it up", [&] {
            round.facts.jobs[0].state = JobState::Waiting;
            const PlacementPlan plan = round.place();
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-declaration"), told(plan, "urgent"));
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), told(plan, "batch"));
        });
        section("a slot that is ending is promised once", [&] {
            Round slots;
            slots.worker("w1").slots = 1;
            slots.running("ending", "w1", 1, 1).state = JobState::Checkpointing;
            slots.job("first", 1, 1).urgency = Urgency::Urgent;
            slots.job("second", 1, 1).urgency = Urgency::Urgent;
            const PlacementPlan plan = slots.place();
            CPPUNIT_ASSERT_EQUAL(std::string("wait waits-for-checkpoint"), told(plan, "first"));
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), told(plan, "second"));
        });
        section("work that can't be checkpointed is left alone", [&] {
            for (JobFacts &job : round.facts.jobs) {
                job.checkpointable = false;
            }
            round.facts.jobs[0].state = JobState::Running;
            const PlacementPlan plan = round.place();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.decisions.size());
            CPPUNIT_ASSERT_EQUAL(std::string("wait no-room"), told(plan, "urgent"));
        });
    }

    /// Guards against a job that takes the memory of its neighbours.
    void outgrownMemory()
    {
        Round round;
        round.worker("w1");
        round.running("neighbour", "w1", 2, 12);
        JobFacts &grower = round.running("grower", "w1", 2, 4);
        grower.usage->memoryBytes = 12 * gigabyte;
        grower.usage->memoryGrowthPerSecond = 0.2 * gigabyte;
        section("outgrown but with room: nothing happens", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), told(round.place(), "grower"));
        });
        section("it will have 9 tenths of the worker used by the next pass: it is throttled", [&] {
            round.facts.jobs[1].usage->memoryBytes = 16 * gigabyte;
            const PlacementPlan plan = round.place();
            CPPUNIT_ASSERT_EQUAL(std::string("throttle outgrew-memory"), told(plan, "grower"));
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), told(plan, "neighbour"));
        });
        section("throttled, it stays throttled while memory is short", [&] {
            round.facts.jobs[1].throttle = round.limits.smallestThrottle;
            round.facts.jobs[1].usage->processors = 0.2;
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), told(round.place(), "grower"));
        });
        section("with checkpoints it is moved, and placed by what it used", [&] {
            round.facts.jobs[1].throttle = 1;
            round.facts.jobs[1].checkpointable = true;
            CPPUNIT_ASSERT_EQUAL(std::string("checkpoint outgrew-memory"),
                                 told(round.place(), "grower"));
            round.facts.jobs[1].state = JobState::Waiting;
            round.worker("w2");
            const PlacementPlan plan = round.place();
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-own-use"), told(plan, "grower"));
            CPPUNIT_ASSERT_EQUAL(16 * gigabyte, decisionFor(plan, "grower").expected.memoryBytes);
        });
    }

    /// Guards against a job that takes the processors of its neighbours, and against a throttle
    /// that stays when the pressure is over.
    void outgrownProcessors()
    {
        Round round;
        round.worker("w1");
        round.running("neighbour", "w1", 6, 4);
        round.running("greedy", "w1", 4, 4).usage->processors = 10;
        const PlacementPlan plan = round.place();
        CPPUNIT_ASSERT_EQUAL(std::string("throttle outgrew-processors"), told(plan, "greedy"));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, decisionFor(plan, "greedy").throttle, 0.001);
        CPPUNIT_ASSERT_EQUAL(std::string("nothing"), told(plan, "neighbour"));
        section("with the neighbour gone it is let go", [&] {
            round.facts.jobs[1].throttle = 0.4;
            round.facts.jobs[1].usage->processors = 4;
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), told(round.place(), "greedy"));
            round.facts.jobs[0].worker = "elsewhere";
            CPPUNIT_ASSERT_EQUAL(std::string("throttle pressure-ended"),
                                 told(round.place(), "greedy"));
        });
    }

    /// Guards against a few jobs that run many times longer than the rest and come to hold the
    /// whole pool.
    void stragglers()
    {
        Round round;
        round.worker("w1");
        round.worker("w2");
        for (int index = 0; index < 4; ++index) {
            JobFacts &job = round.running("long-" + std::to_string(index), "w1", 3, 1);
            job.kind = "kind";
            job.startedAtMs = now - 700000 + index;
            job.checkpointable = index != 2;
        }
        round.facts.profiles["kind"] = {9, {3, 1 * gigabyte, 0}, 60000};
        section("of 32 processors they may hold 6.4: the latest yield", [&] {
            const PlacementPlan plan = round.place();
            CPPUNIT_ASSERT_EQUAL(std::string("checkpoint straggler-share"), told(plan, "long-3"));
            CPPUNIT_ASSERT_EQUAL(std::string("throttle straggler-share"), told(plan, "long-2"));
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), told(plan, "long-1"));
        });
        section("throttled, it stays throttled although the worker is free", [&] {
            round.facts.jobs[2].throttle = round.limits.smallestThrottle;
            round.facts.jobs[2].usage->processors = 0.3;
            CPPUNIT_ASSERT_EQUAL(std::string("nothing"), told(round.place(), "long-2"));
        });
        section("one that yielded starts again only within the share", [&] {
            round.facts.jobs[3].state = JobState::Waiting;
            round.facts.jobs[3].ranBeforeMs = 700000;
            CPPUNIT_ASSERT_EQUAL(std::string("wait stragglers-hold-share"),
                                 told(round.place(), "long-3"));
            round.facts.jobs[0].worker = "elsewhere";
            CPPUNIT_ASSERT_EQUAL(std::string("start placed-by-own-use"),
                                 told(round.place(), "long-3"));
        });
    }

    /// Guards against a retry on the worker or in the rack that failed the job, and against a
    /// second run while the lease of the first may be valid.
    void retries()
    {
        Round round;
        round.worker("w1", "rack-1");
        round.worker("w2", "rack-1");
        round.worker("w3", "rack-2");
        round.job("a", 2, 1).failedOn = {"w1"};
        CPPUNIT_ASSERT_EQUAL(std::string("w3"), decisionFor(round.place(), "a").worker);
        round.facts.workers[2].inService = false;
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), decisionFor(round.place(), "a").worker);
        section("a worker that fails everything gets no job", [&] {
            Round failing = round;
            for (const std::string job : {"x", "y", "z"}) {
                failing.facts.starts.push_back({job, "w2", false, now});
            }
            CPPUNIT_ASSERT_EQUAL(std::string("w1"), decisionFor(failing.place(), "a").worker);
            CPPUNIT_ASSERT(failing.place().health.quarantined.contains("w2"));
        });
        round.facts.jobs[0].leaseOpen = true;
        CPPUNIT_ASSERT_EQUAL(std::string("wait lease-may-be-valid"), told(round.place(), "a"));
    }

    /// Guards against any mix of jobs for which a worker is filled beyond its size or slots, or a
    /// waiting job gets no decision or two.
    void capacityOverSeeds()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            section("seed " + std::to_string(seed), [&] {
                std::mt19937_64 random(seed);
                const auto draw = [&](std::uint32_t below) {
                    return static_cast<std::uint32_t>(random() % below);
                };
                Round round;
                for (std::uint32_t index = 0; index < 12; ++index) {
                    round.worker("w" + std::to_string(index), "rack-" + std::to_string(index / 4))
                            .inService = draw(6) != 0;
                }
                for (std::uint32_t index = 0; index < 150; ++index) {
                    JobFacts &job =
                            round.job("j" + std::to_string(index), 1 + draw(20), 1 + draw(40));
                    job.urgency = static_cast<Urgency>(draw(3));
                    job.checkpointable = draw(2) == 0;
                    job.cancelled = draw(10) == 0;
                }
                std::map<std::string, JobFacts *> byName;
                for (JobFacts &job : round.facts.jobs) {
                    byName[job.id] = &job;
                }
                for (int pass = 0; pass < 6; ++pass) {
                    const PlacementPlan plan = round.place();
                    std::set<std::string> decided;
                    for (const JobDecision &decision : plan.decisions) {
                        CPPUNIT_ASSERT(decided.insert(decision.job).second);
                        JobFacts &job = *byName.at(decision.job);
                        if (decision.action == JobAction::Start) {
                            job.state = JobState::Running;
                            job.worker = decision.worker;
                            job.startedAtMs = round.nowMs;
                        } else if (decision.action == JobAction::Checkpoint) {
                            job.state = JobState::Checkpointing;
                        }
                    }
                    for (const JobFacts &job : round.facts.jobs) {
                        const bool waits = job.state == JobState::Waiting;
                        CPPUNIT_ASSERT(!waits || decided.contains(job.id));
                    }
                    for (const WorkerFacts &worker : round.facts.workers) {
                        Resources used;
                        std::uint32_t slots = 0;
                        for (const JobFacts &job : round.facts.jobs) {
                            if (job.state != JobState::Waiting && job.worker == worker.id) {
                                used = used + job.declared;
                                ++slots;
                            }
                        }
                        CPPUNIT_ASSERT(fits(used, worker.capacity) && slots <= worker.slots);
                        CPPUNIT_ASSERT(slots == 0 || worker.inService);
                    }
                    for (JobFacts &job : round.facts.jobs) {
                        if (job.state == JobState::Checkpointing) {
                            job.state = JobState::Waiting;
                        }
                    }
                    round.nowMs += 1000;
                }
            });
        }
    }

    /// Guards against a round over the fleet of two years from now that takes seconds, in which
    /// urgent work must start.
    void planningTime()
    {
        Round round;
        std::mt19937_64 random(1);
        for (int index = 0; index < 22000; ++index) {
            round.worker("w" + std::to_string(index), "rack-" + std::to_string(index / 4)).pool =
                    "pool-" + std::to_string(index % 64);
        }
        for (int index = 0; index < 100000; ++index) {
            JobFacts &job =
                    round.job("j" + std::to_string(index), static_cast<double>(1 + random() % 8),
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
        const PlacementPlan plan = round.place();
        const std::clock_t elapsed = std::clock() - start;
        CPPUNIT_ASSERT(plan.decisions.size() >= 50000);
        CPPUNIT_ASSERT(elapsed < CLOCKS_PER_SEC);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
