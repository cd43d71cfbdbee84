#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Scheduling/DisruptionBudgets.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr SteadyTimeMs now = 10000;
constexpr std::int64_t maxAnswerAgeMs = 2600;

/// Scheduler state and worker views as the leader has them. Each change is followed by
/// forgetAvailability().
class Fleet
{
public:
    explicit Fleet(const std::vector<std::string> &workers)
    {
        for (const std::string &id : workers) {
            WorkerRecord worker;
            worker.id = id;
            worker.startTimeMs = 1;
            state.apply(WorkerJoined{worker});
            views[id].renewedAt = now;
        }
    }

    void submit(const std::string &job, std::uint32_t count, std::uint32_t maxUnavailable,
                bool longRunning = true)
    {
        StepSpec step;
        step.count = count;
        step.longRunning = longRunning;
        step.maxUnavailable = maxUnavailable;
        JobSpec spec;
        spec.id = job;
        spec.steps = {step};
        state.apply(JobAccepted{spec, {}, 1});
        budgets.forgetAvailability();
    }

    /// Assigns the task to the worker, which reports it as available.
    void assign(const std::string &job, std::uint32_t index, const std::string &worker)
    {
        const TaskKey task{job, 0, 0, index};
        const std::uint32_t run = state.task(task)->run + 1;
        state.apply(RunAssigned{task, run, worker});
        CPPUNIT_ASSERT_EQUAL(worker, state.task(task)->worker);
        RunView &view = views.at(worker).runs[task];
        view.run = run;
        view.state = RunState::Running;
        view.percent = 100;
        budgets.forgetAvailability();
    }

    void end(const std::string &job, std::uint32_t index)
    {
        const TaskKey task{job, 0, 0, index};
        const TaskRecord before = *state.task(task);
        views.at(before.worker).runs.erase(task);
        state.apply(RunEnded{task, before.run, RunOutcome::Stopped, {}, 1});
        budgets.forgetAvailability();
    }

    RunView &runOf(const std::string &job, std::uint32_t index)
    {
        const TaskKey task{job, 0, 0, index};
        return views.at(state.task(task)->worker).runs.at(task);
    }

    void stop(const std::string &job, std::uint32_t index)
    {
        runOf(job, index).stopping = true;
        budgets.forgetAvailability();
    }

    std::string violation(const std::string &worker) const
    {
        return budgets.violation(worker, now);
    }

    /// Name of the task to evict; empty if there is none.
    std::string evicted(const std::string &worker) const
    {
        const std::optional<TaskKey> task = budgets.taskToEvict(worker, now);
        return task ? taskName(*task) : std::string();
    }

    SchedulerState state;
    std::map<std::string, WorkerView> views;
    DisruptionBudgets budgets{state, views, maxAnswerAgeMs};
};

const std::string none;

} // namespace

class DisruptionBudgetsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DisruptionBudgetsTest);
    CPPUNIT_TEST(withinBudget);
    CPPUNIT_TEST(atBudget);
    CPPUNIT_TEST(tasksBeingStopped);
    CPPUNIT_TEST(evictions);
    CPPUNIT_TEST(evictionBesideUnavailableTask);
    CPPUNIT_TEST(tasksNotEvicted);
    CPPUNIT_TEST(keptResults);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against maintenance that is held up although no budget would be exceeded.
    void withinBudget()
    {
        Fleet fleet({"w1", "w2", "w3"});
        fleet.submit("a", 3, 1);
        for (std::uint32_t index = 0; index < 3; ++index) {
            fleet.assign("a", index, "w" + std::to_string(index + 1));
        }
        section("any one of the workers may be taken out of service", [&] {
            for (const auto &[worker, view] : fleet.views) {
                CPPUNIT_ASSERT_EQUAL(none, fleet.violation(worker));
            }
        });
        section("so may the one whose task is unavailable already, and only this one", [&] {
            fleet.views.at("w1").leaving = true;
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT_EQUAL(none, fleet.violation("w1"));
            CPPUNIT_ASSERT(!fleet.violation("w2").empty());
            CPPUNIT_ASSERT(!fleet.violation("w3").empty());
        });
        section("steps without a budget, tasks that end by themselves and ended jobs don't count",
                [&] {
                    fleet.state.apply(JobCancelled{"a", 1});
                    fleet.submit("free", 2, 0);
                    fleet.submit("short", 2, 1, false);
                    for (const char *job : {"free", "short"}) {
                        fleet.assign(job, 0, "w2");
                        fleet.assign(job, 1, "w2");
                    }
                    CPPUNIT_ASSERT_EQUAL(none, fleet.violation("w2"));
                    CPPUNIT_ASSERT_EQUAL(none, fleet.violation("w3"));
                });
        section("a worker without tasks, or that is not known, has none to protect", [&] {
            CPPUNIT_ASSERT_EQUAL(none, Fleet({"w1"}).violation("w1"));
            CPPUNIT_ASSERT_EQUAL(none, fleet.violation("w9"));
        });
    }

    /// Guards against a second task of a step that is taken down while another one is unavailable,
    /// for whatever reason.
    void atBudget()
    {
        const auto violationIf = [](const std::function<void(Fleet &)> &change) {
            Fleet fleet({"w1", "w2"});
            fleet.submit("a", 2, 1);
            fleet.assign("a", 0, "w1");
            fleet.assign("a", 1, "w2");
            CPPUNIT_ASSERT_EQUAL(none, fleet.violation("w2"));
            change(fleet);
            fleet.budgets.forgetAvailability();
            return fleet.violation("w2");
        };
        const std::string violation = "a.0.0.1: 1 unavailable elsewhere and 1 on this worker, at "
                                      "most 1 allowed by the disruption budget";
        section("it starts up", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    violation, violationIf([](Fleet &fleet) { fleet.runOf("a", 0).percent = 99; }));
        });
        section("its start is not confirmed", [&] {
            for (const RunState state : {RunState::ToSend, RunState::Sent, RunState::Unknown}) {
                CPPUNIT_ASSERT_EQUAL(violation, violationIf([state](Fleet &fleet) {
                                         fleet.runOf("a", 0).state = state;
                                     }));
            }
        });
        section("it is being stopped", [&] {
            CPPUNIT_ASSERT_EQUAL(violation, violationIf([](Fleet &fleet) {
                                     fleet.runOf("a", 0).stopping = true;
                                 }));
        });
        section("it waits for a worker", [&] {
            CPPUNIT_ASSERT_EQUAL(violation, violationIf([](Fleet &fleet) { fleet.end("a", 0); }));
        });
        section("its worker is shut down, or leaves", [&] {
            CPPUNIT_ASSERT_EQUAL(violation, violationIf([](Fleet &fleet) {
                                     fleet.views.at("w1").leaving = true;
                                 }));
            CPPUNIT_ASSERT_EQUAL(violation, violationIf([](Fleet &fleet) {
                                     WorkerRecord worker = *fleet.state.worker("w1");
                                     worker.draining = true;
                                     fleet.state.apply(WorkerJoined{worker});
                                 }));
        });
        section("its worker has not answered in this term", [&] {
            CPPUNIT_ASSERT_EQUAL(violation, violationIf([](Fleet &fleet) {
                                     fleet.views.at("w1").renewedAt = 0;
                                 }));
            CPPUNIT_ASSERT_EQUAL(violation,
                                 violationIf([](Fleet &fleet) { fleet.views.erase("w1"); }));
        });
        section("its worker has left a renewal unanswered, however recent its last answer is", [&] {
            CPPUNIT_ASSERT_EQUAL(violation, violationIf([](Fleet &fleet) {
                                     fleet.views.at("w1").renewFailures = 1;
                                 }));
        });
        section("its worker has been silent for too long", [&] {
            const auto silentFor = [&](std::int64_t ageMs) {
                return violationIf(
                        [ageMs](Fleet &fleet) { fleet.views.at("w1").renewedAt = now - ageMs; });
            };
            CPPUNIT_ASSERT_EQUAL(none, silentFor(maxAnswerAgeMs - 1));
            CPPUNIT_ASSERT_EQUAL(violation, silentFor(maxAnswerAgeMs));
        });
    }

    /// Guards against tasks that are being stopped and are counted twice, or as protected: they are
    /// unavailable, wherever they are, and their worker no longer holds them.
    void tasksBeingStopped()
    {
        Fleet fleet({"w1", "w2"});
        fleet.submit("a", 3, 1);
        fleet.assign("a", 0, "w1");
        fleet.assign("a", 1, "w1");
        fleet.assign("a", 2, "w2");
        fleet.stop("a", 0);
        section("one of two tasks on the worker counts as unavailable elsewhere", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.0: 1 unavailable elsewhere and 1 on this "
                                             "worker, at most 1 allowed by the disruption budget"),
                                 fleet.violation("w1"));
        });
        section("the tasks of other workers are protected", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.2: 1 unavailable elsewhere and 1 on this "
                                             "worker, at most 1 allowed by the disruption budget"),
                                 fleet.violation("w2"));
        });
        section("a worker on which all are being stopped may be taken out of service", [&] {
            fleet.stop("a", 1);
            CPPUNIT_ASSERT_EQUAL(none, fleet.violation("w1"));
            CPPUNIT_ASSERT(!fleet.violation("w2").empty());
        });
    }

    /// Guards against a worker that holds more tasks of a step than its budget permits and could
    /// never be maintained, and against evictions that exceed the budget.
    void evictions()
    {
        Fleet fleet({"w1", "w2", "w3"});
        fleet.submit("a", 4, 1);
        for (std::uint32_t index = 0; index < 3; ++index) {
            fleet.assign("a", index, "w1");
        }
        fleet.assign("a", 3, "w2");
        CPPUNIT_ASSERT(!fleet.violation("w1").empty());
        section("one task is evicted",
                [&] { CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.0"), fleet.evicted("w1")); });
        section("the next one waits until it is available on another worker", [&] {
            fleet.stop("a", 0);
            CPPUNIT_ASSERT_EQUAL(none, fleet.evicted("w1"));
            fleet.end("a", 0);
            CPPUNIT_ASSERT_EQUAL(none, fleet.evicted("w1"));
            fleet.assign("a", 0, "w3");
            fleet.runOf("a", 0).percent = 50;
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT_EQUAL(none, fleet.evicted("w1"));
            fleet.runOf("a", 0).percent = 100;
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.1"), fleet.evicted("w1"));
        });
        section("the task that is left goes with the worker", [&] {
            fleet.end("a", 1);
            fleet.assign("a", 1, "w3");
            CPPUNIT_ASSERT_EQUAL(none, fleet.evicted("w1"));
            CPPUNIT_ASSERT_EQUAL(none, fleet.violation("w1"));
        });
    }

    /// Guards against an eviction that ends a task that is at work while another one of its step,
    /// on the same worker, is unavailable.
    void evictionBesideUnavailableTask()
    {
        Fleet fleet({"w1", "w2"});
        fleet.submit("a", 3, 1);
        fleet.assign("a", 0, "w1");
        fleet.assign("a", 1, "w1");
        fleet.assign("a", 2, "w2");
        section("the one that starts up is evicted, as no other one is unavailable then", [&] {
            fleet.runOf("a", 1).percent = 50;
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.1"), fleet.evicted("w1"));
        });
        section("none is, if one starts up that can't be evicted", [&] {
            fleet.runOf("a", 1).state = RunState::Sent;
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT_EQUAL(none, fleet.evicted("w1"));
        });
        section("once it is available, either may be", [&] {
            fleet.runOf("a", 1).state = RunState::Running;
            fleet.runOf("a", 1).percent = 100;
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.0"), fleet.evicted("w1"));
        });
        section("none is while two start up", [&] {
            for (const std::uint32_t index : {0, 1}) {
                fleet.runOf("a", index).percent = 50;
                fleet.runOf("a", index).progressAt = now - maxAnswerAgeMs + 1;
            }
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT_EQUAL(none, fleet.evicted("w1"));
        });
        section("unless they make no progress: a hung worker could never be maintained", [&] {
            fleet.runOf("a", 1).progressAt = now - maxAnswerAgeMs;
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.1"), fleet.evicted("w1"));
        });
    }

    /// Guards against stopping tasks that hold no worker up, or that can't be stopped now.
    void tasksNotEvicted()
    {
        section("of a step within its budget, or without one", [] {
            Fleet fleet({"w1"});
            fleet.submit("a", 2, 2);
            fleet.submit("b", 3, 0);
            fleet.submit("c", 3, 1, false);
            for (const char *job : {"a", "b", "c"}) {
                fleet.assign(job, 0, "w1");
                fleet.assign(job, 1, "w1");
            }
            CPPUNIT_ASSERT_EQUAL(none, fleet.evicted("w1"));
            CPPUNIT_ASSERT_EQUAL(none, fleet.evicted("w9"));
        });
        section("not confirmed, or of an ended job", [] {
            Fleet fleet({"w1"});
            fleet.submit("a", 3, 2);
            fleet.assign("a", 0, "w1");
            fleet.assign("a", 1, "w1");
            fleet.assign("a", 2, "w1");
            fleet.runOf("a", 0).state = RunState::Unknown;
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.1"), fleet.evicted("w1"));
            fleet.state.apply(JobCancelled{"a", 1});
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT_EQUAL(none, fleet.evicted("w1"));
        });
        section("of a step at its budget, which does not hide another step", [] {
            Fleet fleet({"w1", "w2"});
            for (const char *job : {"a", "b"}) {
                fleet.submit(job, 3, 1);
                fleet.assign(job, 0, "w1");
                fleet.assign(job, 1, "w1");
                fleet.assign(job, 2, "w2");
            }
            fleet.runOf("a", 2).percent = 10;
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT_EQUAL(std::string("b.0.0.0"), fleet.evicted("w1"));
        });
    }

    /// Guards against a wave that evaluates the same step anew for each worker, and against results
    /// that outlive a change or the moment.
    void keptResults()
    {
        Fleet fleet({"w1", "w2"});
        fleet.submit("a", 2, 1);
        fleet.assign("a", 0, "w1");
        fleet.assign("a", 1, "w2");
        CPPUNIT_ASSERT_EQUAL(none, fleet.violation("w2"));
        section("a step is not evaluated again until a change is told", [&] {
            fleet.views.at("w1").leaving = true;
            CPPUNIT_ASSERT_EQUAL(none, fleet.violation("w2"));
            fleet.budgets.forgetAvailability();
            CPPUNIT_ASSERT(!fleet.violation("w2").empty());
        });
        section("at another time it is", [&] {
            fleet.views.at("w1").leaving = false;
            CPPUNIT_ASSERT(!fleet.violation("w2").empty());
            CPPUNIT_ASSERT_EQUAL(none, fleet.budgets.violation("w2", now + 1));
            CPPUNIT_ASSERT(!fleet.budgets.violation("w2", now + maxAnswerAgeMs).empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DisruptionBudgetsTest);
