#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <set>
#include <tuple>
#include <vector>

#include "Scheduling/ServiceLoads.h"
#include "Scheduling/ShareMeter.h"
#include "Scheduling/StepRanking.h"
#include "Scheduling/SubmissionForecast.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::int64_t fleetMilli = 100000;
constexpr std::int64_t tickMs = 50;

/// A job that arrives at a service, and what became of it.
struct ReplayedJob
{
    std::string team;
    WallTimeMs arrivesAt = 0;
    double coreMs = 2000;
    std::int64_t pathMs = 500;
    std::int64_t priority = 1;

    bool beyondShare = false;
    SubmissionVerdict verdict = SubmissionVerdict::Accepted;
    std::int64_t retryAfterMs = 0;
    double remainingCoreMs = 0;
    WallTimeMs endedAt = 0;

    StepAttributes attributes() const
    {
        StepAttributes result;
        result.priority = priority;
        result.dueAtMs = arrivesAt;
        result.jobPathMs = pathMs;
        result.remainingPathMs =
                static_cast<std::int64_t>(static_cast<double>(pathMs) * remainingCoreMs / coreMs);
        result.remainingWork = remainingCoreMs;
        result.stretch = 1.6;
        result.targetLatencyMs = 600;
        return result;
    }
    bool isAccepted() const { return verdict == SubmissionVerdict::Accepted; }
    bool wasOfUse() const { return endedAt != 0 && endedAt <= usefulDeadline(attributes()); }
    bool wasOnTime() const { return endedAt != 0 && endedAt <= objectiveDeadline(attributes()); }
};

/// Numbers of the jobs of some teams.
struct ReplayCounts
{
    int jobs = 0;
    int refused = 0;
    int onTime = 0;
    int ofUse = 0;
};

/// A pool of fleetMilli that serves jobs in placement order. A job can't run faster than its
/// critical path.
class Replay
{
public:
    Replay(std::int64_t weight, bool refuses) : m_weight(weight), m_refuses(refuses) { }

    void add(ReplayedJob job) { m_jobs.push_back(std::move(job)); }

    void run()
    {
        std::stable_sort(m_jobs.begin(), m_jobs.end(),
                         [](const ReplayedJob &left, const ReplayedJob &right) {
                             return left.arrivesAt < right.arrivesAt;
                         });
        std::size_t next = 0;
        const WallTimeMs end = m_jobs.back().arrivesAt + 20000;
        for (WallTimeMs now = m_jobs.front().arrivesAt; now < end; now += tickMs) {
            for (; next < m_jobs.size() && m_jobs[next].arrivesAt <= now; ++next) {
                submit(m_jobs[next], now);
            }
            serve(now);
        }
    }

    ReplayCounts countsOf(const std::function<bool(const ReplayedJob &)> &selects) const
    {
        ReplayCounts counts;
        for (const ReplayedJob &job : m_jobs) {
            if (selects(job)) {
                ++counts.jobs;
                counts.refused += job.isAccepted() ? 0 : 1;
                counts.onTime += job.wasOnTime() ? 1 : 0;
                counts.ofUse += job.wasOfUse() ? 1 : 0;
            }
        }
        return counts;
    }

    const std::vector<ReplayedJob> &jobs() const { return m_jobs; }

private:
    void submit(ReplayedJob &job, WallTimeMs now)
    {
        job.remainingCoreMs = job.coreMs;
        job.beyondShare = !m_shares.isWithinShare(job.team, m_weight, now);
        SubmissionFacts facts;
        facts.now = now;
        facts.jobCoreMs = job.coreMs;
        facts.jobPathMs = job.pathMs;
        facts.usefulUntil = usefulDeadline(job.attributes());
        facts.withinShare = !job.beyondShare;
        facts.msUntilWithinShare = m_shares.msUntilWithinShare(job.team, m_weight, now);
        facts.targetLatencyMs = job.attributes().targetLatencyMs;
        facts.callerSpread = static_cast<double>(m_submitted++ % 16) / 16;
        facts.load = loadOf(job, now);
        const SubmissionDecision decision = decideSubmission(facts, {});
        if (m_refuses) {
            job.verdict = decision.verdict;
            job.retryAfterMs = decision.retryAfterMs;
        }
        if (job.isAccepted()) {
            if (!job.beyondShare) {
                m_shares.record(job.team, now);
            }
            m_waiting.push_back(&job);
        }
    }

    ServiceLoad loadOf(const ReplayedJob &job, WallTimeMs now) const
    {
        WaitingWork work;
        for (const ReplayedJob *each : inOrder(now)) {
            const StepRank rank = rankStep(each->attributes(), now);
            if (!each->beyondShare && rank.group != StepGroup::Overdue) {
                work.add(rank, each->remainingCoreMs, latestOnTimeStart(each->attributes()));
            }
        }
        ServiceLoad load{work.totalCoreMs(), fleetMilli, 0, std::nullopt};
        if (!job.beyondShare) {
            const StepAttributes attributes = job.attributes();
            const StepRank rank = rankStep(attributes, now);
            load.aheadCoreMs = work.coreMsBefore(rank);
            load.onTimeWaitMs =
                    work.onTimeWaitMs(rank, latestOnTimeStart(attributes), fleetMilli, now);
        }
        return load;
    }

    std::vector<ReplayedJob *> inOrder(WallTimeMs now) const
    {
        std::vector<ReplayedJob *> order = m_waiting;
        const auto position = [now](const ReplayedJob *job) {
            const StepRank rank = rankStep(job->attributes(), now);
            const bool isOverdue = rank.group == StepGroup::Overdue;
            return std::make_tuple(isOverdue, job->beyondShare, rank);
        };
        std::stable_sort(order.begin(), order.end(),
                         [&](const ReplayedJob *left, const ReplayedJob *right) {
                             return position(left) < position(right);
                         });
        return order;
    }

    void serve(WallTimeMs now)
    {
        double freeCoreMs = static_cast<double>(fleetMilli * tickMs) / milliPerCore;
        for (ReplayedJob *job : inOrder(now)) {
            const double most =
                    job->coreMs * static_cast<double>(tickMs) / static_cast<double>(job->pathMs);
            const double given = std::min({most, freeCoreMs, job->remainingCoreMs});
            job->remainingCoreMs -= given;
            freeCoreMs -= given;
            if (job->remainingCoreMs <= 0) {
                job->endedAt = now + tickMs;
            }
        }
        std::erase_if(m_waiting, [](const ReplayedJob *job) { return job->endedAt != 0; });
    }

    const std::int64_t m_weight;
    const bool m_refuses;
    std::vector<ReplayedJob> m_jobs;
    std::vector<ReplayedJob *> m_waiting;
    ShareMeter m_shares;
    std::uint64_t m_submitted = 0;
};

/// Adds a team's jobs at an even rate for 20 s.
void addEvenly(Replay &replay, const std::string &team, int perSecond)
{
    for (int job = 0; job < perSecond * 20; ++job) {
        ReplayedJob added;
        added.team = team;
        added.arrivesAt = 1000000 + job * 1000 / perSecond;
        replay.add(added);
    }
}

/// Ten teams that use four fifths of the pool, within their shares of five jobs a second.
void addUsual(Replay &replay)
{
    for (int team = 0; team < 10; ++team) {
        addEvenly(replay, "team" + std::to_string(team), 4);
    }
}

void addAtOnce(Replay &replay, int count, const ReplayedJob &like)
{
    for (int job = 0; job < count; ++job) {
        ReplayedJob added = like;
        added.team = "burst" + std::to_string(job % 100);
        added.arrivesAt = 1005000;
        replay.add(added);
    }
}

bool isUsual(const ReplayedJob &job)
{
    return job.team.starts_with("team");
}

bool isAny(const ReplayedJob &)
{
    return true;
}

void print(const char *what, const ReplayCounts &counts)
{
    std::cout << " " << what << " jobs " << counts.jobs << " refused " << counts.refused
              << " on time " << counts.onTime << " of use " << counts.ofUse << ";";
}

SubmissionFacts waitingFor(double aheadCoreMs)
{
    SubmissionFacts facts;
    facts.now = 1000;
    facts.jobCoreMs = 2000;
    facts.jobPathMs = 500;
    facts.usefulUntil = 1000 + 4200;
    facts.targetLatencyMs = 600;
    facts.load = {aheadCoreMs, 60000, 40000, std::nullopt};
    return facts;
}

} // namespace

class SubmissionForecastTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SubmissionForecastTest);
    CPPUNIT_TEST(verdicts);
    CPPUNIT_TEST(retryAfter);
    CPPUNIT_TEST(waitingWork);
    CPPUNIT_TEST(overtakenWork);
    CPPUNIT_TEST(hotTeam);
    CPPUNIT_TEST(bursts);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against the refusal of a job that can still be of use.
    void verdicts()
    {
        const auto verdictOf = [](const SubmissionFacts &facts) {
            return submissionVerdictNames.name(decideSubmission(facts, {}).verdict);
        };
        section("a job is refused only if it is too late even after a shorter wait", [&] {
            // 100 cores: a wait of 5550 ms, less by a half of the rest, ends at the bound.
            CPPUNIT_ASSERT_EQUAL(std::string_view("accepted"), verdictOf(waitingFor(0)));
            CPPUNIT_ASSERT_EQUAL(std::string_view("accepted"), verdictOf(waitingFor(555000)));
            CPPUNIT_ASSERT_EQUAL(std::string_view("too-late"), verdictOf(waitingFor(556000)));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(5560),
                                 decideSubmission(waitingFor(556000), {}).predictedWaitMs);
        });
        section("no job that is predicted to end in its useful time is refused", [&] {
            for (double ahead = 0; ahead < 2000000; ahead += 1000) {
                const SubmissionFacts facts = waitingFor(ahead);
                const SubmissionDecision decision = decideSubmission(facts, {});
                const bool isOfUse =
                        facts.now + decision.predictedWaitMs + facts.jobPathMs <= facts.usefulUntil;
                CPPUNIT_ASSERT(!isOfUse || decision.verdict == SubmissionVerdict::Accepted);
            }
        });
        section("a job that no wait could make useful is not refused for its wait", [&] {
            SubmissionFacts facts = waitingFor(556000);
            facts.usefulUntil = facts.now + 499;
            CPPUNIT_ASSERT_EQUAL(std::string_view("accepted"), verdictOf(facts));
        });
        section("nothing is refused while no capacity is known", [&] {
            SubmissionFacts facts = waitingFor(5000000);
            facts.load.capacityMilli = 0;
            facts.load.reachableMilli = 0;
            CPPUNIT_ASSERT_EQUAL(std::string_view("accepted"), verdictOf(facts));
        });
        section("an excess is refused only while others would wait", [&] {
            SubmissionFacts facts = waitingFor(60000);
            facts.withinShare = false;
            CPPUNIT_ASSERT_EQUAL(std::string_view("accepted"), verdictOf(facts));
            facts.load.aheadCoreMs = 61000;
            CPPUNIT_ASSERT_EQUAL(std::string_view("beyond-share"), verdictOf(facts));
        });
    }

    /// Guards against refused callers that all return at the same time.
    void retryAfter()
    {
        std::set<std::int64_t> delays;
        SubmissionFacts facts = waitingFor(1000000);
        for (int caller = 0; caller < 100; ++caller) {
            facts.callerSpread = caller / 100.0;
            delays.insert(decideSubmission(facts, {}).retryAfterMs);
        }
        CPPUNIT_ASSERT(delays.size() > 90);
        CPPUNIT_ASSERT(*delays.begin() >= 4000);
        CPPUNIT_ASSERT(*delays.rbegin() > *delays.begin() * 19 / 10);
        section("within the bounds, and spread there too", [&] {
            for (const double ahead : {556000.0, 1e9}) {
                facts.load.aheadCoreMs = ahead;
                facts.callerSpread = 0;
                const std::int64_t first = decideSubmission(facts, {}).retryAfterMs;
                facts.callerSpread = 1;
                const std::int64_t last = decideSubmission(facts, {}).retryAfterMs;
                CPPUNIT_ASSERT(first >= 1000 && first < last && last <= 15000);
            }
        });
    }

    /// Guards against work that is counted twice, or that is placed after the job.
    void waitingWork()
    {
        SchedulerState state;
        WaitingSteps waiting;
        const auto add = [&](const std::string &id, double coreMs, WallTimeMs dueAtMs,
                             bool beyondShare) {
            JobAccepted accepted;
            accepted.spec.id = id;
            accepted.spec.steps.resize(2);
            accepted.spec.beyondShare = beyondShare;
            state.apply(accepted);
            std::vector<WaitingStep> steps;
            for (std::uint32_t step = 0; step < 2; ++step) {
                WaitingStep entry{{id, 0, step}, {}, {0}};
                entry.attributes.dueAtMs = dueAtMs;
                entry.attributes.jobPathMs = 500;
                entry.attributes.remainingPathMs = 500;
                entry.attributes.targetLatencyMs = 600;
                entry.attributes.remainingWork = coreMs * milliPerCore;
                steps.push_back(entry);
            }
            waiting.replace(id, "s", std::move(steps), 10000);
        };
        add("small", 100, 10000, false);
        add("large", 400, 10000, false);
        add("late", 50, 9000, false);
        add("overdue", 7, 1000, false);
        add("excess", 9, 10000, true);
        const WaitingWork work = waitingWorkOf(state, waiting, waiting.byService().at("s"), 10000);
        const auto before = [&](double coreMs) {
            return work.coreMsBefore({StepGroup::OnTime, 0, coreMs * milliPerCore});
        };
        CPPUNIT_ASSERT_EQUAL(0.0, before(99));
        CPPUNIT_ASSERT_EQUAL(100.0, before(100));
        CPPUNIT_ASSERT_EQUAL(100.0, before(399));
        CPPUNIT_ASSERT_EQUAL(500.0, before(1000));
        CPPUNIT_ASSERT_EQUAL(550.0, work.totalCoreMs());
    }

    /// Guards against the refusal of a job for work ahead that turns late before it can start.
    void overtakenWork()
    {
        const StepRank urgent{StepGroup::OnTime, 0, 2000};
        const StepRank usual{StepGroup::OnTime, 1, 2000};
        WaitingWork work;
        for (int job = 0; job < 300; ++job) {
            work.add(urgent, 2000, 1900);
        }
        // On 100 cores each job takes 20 ms, so that 46 of them start in the 900 ms that are left.
        section("a job that turns late after them starts when they have turned late", [&] {
            const auto waitMs = work.onTimeWaitMs(usual, 2150, 100000, 1000);
            CPPUNIT_ASSERT(waitMs.has_value());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(920, *waitMs, 0.01);
            SubmissionFacts facts = waitingFor(work.coreMsBefore(usual));
            CPPUNIT_ASSERT(decideSubmission(facts, {}).verdict == SubmissionVerdict::TooLate);
            facts.load.onTimeWaitMs = waitMs;
            const SubmissionDecision decision = decideSubmission(facts, {});
            CPPUNIT_ASSERT(decision.verdict == SubmissionVerdict::Accepted);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(920), decision.predictedWaitMs);
        });
        section("one that turns late with them has to wait for all of them", [&] {
            CPPUNIT_ASSERT(!work.onTimeWaitMs(usual, 1900, 100000, 1000));
            CPPUNIT_ASSERT(!work.onTimeWaitMs(urgent, 1900, 100000, 1000));
        });
        section("one that is late already overtakes none of them", [&] {
            CPPUNIT_ASSERT(!work.onTimeWaitMs({StepGroup::Late, 0, 1}, 2150, 100000, 1000));
        });
        section("one that is more urgent waits for none of them", [&] {
            const auto waitMs = work.onTimeWaitMs({StepGroup::OnTime, -1, 1}, 1900, 100000, 1000);
            CPPUNIT_ASSERT_EQUAL(0.0, waitMs.value_or(-1));
        });
        section("nothing is predicted without any capacity",
                [&] { CPPUNIT_ASSERT(!work.onTimeWaitMs(usual, 2150, 0, 1000)); });
    }

    /// Guards against a team that sends seven times its usual and makes other teams' jobs late or
    /// refused.
    void hotTeam()
    {
        Replay replay(5, true);
        addUsual(replay);
        addEvenly(replay, "hot", 28);
        replay.run();
        const ReplayCounts usual = replay.countsOf(isUsual);
        const ReplayCounts hot =
                replay.countsOf([](const ReplayedJob &job) { return job.team == "hot"; });
        print("usual", usual);
        print("hot", hot);
        CPPUNIT_ASSERT_EQUAL(0, usual.refused);
        CPPUNIT_ASSERT_EQUAL(usual.jobs, usual.onTime);
        section("it gets its share and what the others leave",
                [&] { CPPUNIT_ASSERT(hot.onTime >= 5 * 20); });
    }

    /// Guards against refusals that lose work: with them at least as many jobs must be of use as
    /// without.
    void bursts()
    {
        ReplayedJob urgent;
        urgent.priority = 0;
        ReplayedJob large;
        large.coreMs = 20000;
        const auto compare = [&](const char *what, int count, const ReplayedJob &like) {
            Replay refusing(5, true);
            Replay accepting(5, false);
            for (Replay *replay : {&refusing, &accepting}) {
                addUsual(*replay);
                addAtOnce(*replay, count, like);
                replay->run();
            }
            const ReplayCounts with = refusing.countsOf(isAny);
            const ReplayCounts without = accepting.countsOf(isAny);
            print(what, with);
            print("without refusals", without);
            CPPUNIT_ASSERT(with.ofUse >= without.ofUse);
            CPPUNIT_ASSERT(with.onTime >= without.onTime);
            return with;
        };
        section("a burst of urgent jobs that can be served is not refused",
                [&] { CPPUNIT_ASSERT_EQUAL(0, compare("urgent", 100, urgent).refused); });
        section("one that is too large is refused in part", [&] {
            const ReplayCounts counts = compare("many urgent", 600, urgent);
            CPPUNIT_ASSERT(counts.refused > 0 && counts.refused < counts.jobs / 2);
        });
        section("large jobs don't hold up small ones", [&] {
            CPPUNIT_ASSERT_EQUAL(0, compare("large", 20, large).refused);
            const ReplayCounts counts = compare("many large", 100, large);
            CPPUNIT_ASSERT(counts.refused < 100);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubmissionForecastTest);
