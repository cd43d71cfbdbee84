#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ctime>
#include <iostream>

#include "Scheduling/ContendedLoad.h"
#include "Scheduling/JobServiceFixture.h"
#include "Scheduling/SubmissionReview.h"
#include "Scheduling/TeamDirectory.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::uint64_t seed = 1;

// The pool has 192 cores, and a job of 8 tasks of 680 ms takes 5.44 core-seconds of them, so that
// it serves 35 such jobs a second. The columns of the tables are those of ArrivalRow: team, teams,
// weight, jobs of a team, from and for how many milliseconds, priority, tasks.

/// Nineteen teams that send 28 jobs a second, which takes four fifths of the pool.
const std::vector<ArrivalRow> usual = {{"large", 3, 5, 80, 0, 20000, 1, 8},
                                       {"small", 16, 2, 20, 0, 20000, 1, 8}};

/// Seven times the two jobs a second that the team usually sends.
constexpr std::int64_t hotWeight = 3;
constexpr std::int64_t hotForMs = 8000;
const ArrivalRow hot = {"hot", 1, hotWeight, 112, 5000, hotForMs, 1, 8};

const ArrivalRow urgentJobs = {"urgent", 10, 2, 10, 5000, 0, 0, 8};
const ArrivalRow manyUrgentJobs = {"urgent", 30, 2, 10, 5000, 500, 0, 8};

const ArrivalRow largeJobs = {"bulk", 4, 2, 2, 5000, 0, 1, 64};
const ArrivalRow manyLargeJobs = {"bulk", 20, 2, 2, 5000, 500, 1, 64};

/// 1.6 times what the pool serves.
const std::vector<ArrivalRow> overload = {{"team", 20, 4, 56, 0, 20000, 1, 8}};

/// Two teams of which each alone would send 1.2 times what the pool serves.
std::vector<ArrivalRow> smallAndLarge(std::int64_t weight)
{
    return {{"small", 1, weight, 840, 0, 20000, 1, 8}, {"bulk", 1, weight, 210, 0, 20000, 1, 32}};
}

std::vector<ArrivalRow> usualAnd(const ArrivalRow &row)
{
    std::vector<ArrivalRow> rows = usual;
    rows.push_back(row);
    return rows;
}

ContendedResult replay(const std::vector<ArrivalRow> &arrivals, bool refuses = true)
{
    ContendedLoad load;
    load.arrivals = arrivals;
    load.refuses = refuses;
    return replayContendedLoad(load, seed);
}

/// Fewest jobs of a team that end in a stretch of 5 s of the time in which it sends jobs.
int fewestEndsInFiveSeconds(const ContendedResult &result, const std::string &team)
{
    constexpr std::int64_t stretchMs = 5000;
    std::vector<std::int64_t> arrivals;
    std::vector<std::int64_t> ends;
    for (const ContendedJob &job : result.jobs) {
        if (job.team != team) {
            continue;
        }
        arrivals.push_back(job.arrivesAtMs);
        if (job.tookMs) {
            ends.push_back(job.arrivesAtMs + *job.tookMs);
        }
    }
    auto fewest = static_cast<int>(arrivals.size());
    for (std::int64_t from = arrivals.front(); from + stretchMs <= arrivals.back();
         from += stretchMs) {
        fewest = std::min(
                fewest,
                static_cast<int>(std::count_if(ends.begin(), ends.end(), [from](std::int64_t end) {
                    return end >= from && end < from + stretchMs;
                })));
    }
    return fewest;
}

/// Most refused callers that return within 100 ms of one another.
int mostReturnsWithinTenthSecond(const ContendedResult &result)
{
    constexpr std::int64_t spanMs = 100;
    std::vector<std::int64_t> returns;
    for (const ContendedJob &job : result.jobs) {
        if (!job.isAccepted()) {
            returns.push_back(job.arrivesAtMs + job.retryAfterMs);
        }
    }
    std::sort(returns.begin(), returns.end());
    std::ptrdiff_t most = 0;
    for (auto first = returns.begin(); first != returns.end(); ++first) {
        most = std::max(most, std::lower_bound(first, returns.end(), *first + spanMs) - first);
    }
    return static_cast<int>(most);
}

void print(const std::string &what, const ContendedCounts &counts)
{
    std::cout << "\n  " << what << ", seed " << seed << ": " << describe(counts);
}

/// Replays the load with and without refusals and compares what callers get.
void compareRefusals(const std::string &what, const std::vector<ArrivalRow> &arrivals)
{
    const ContendedCounts with = countsOf(replay(arrivals));
    const ContendedCounts without = countsOf(replay(arrivals, false));
    print(what, with);
    print(what + " without refusals", without);
    section(what, [&] {
        CPPUNIT_ASSERT(with.ofUse >= without.ofUse);
        CPPUNIT_ASSERT(with.onTime >= without.onTime);
    });
}

double processorSeconds()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

} // namespace

class ContendedLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ContendedLoadTest);
    CPPUNIT_TEST(hotTeam);
    CPPUNIT_TEST(urgentBursts);
    CPPUNIT_TEST(largeBursts);
    CPPUNIT_TEST(overloadWithRefusals);
    CPPUNIT_TEST(overloadAcceptedJobs);
    CPPUNIT_TEST(smallAndLargeJobs);
    CPPUNIT_TEST(smallAndLargeJobsBeyondShares);
    CPPUNIT_TEST(refusalWithinTheCall);
    CPPUNIT_TEST(costOfSubmissions);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a team that sends seven times its usual and makes jobs of other teams late or
    /// refused, and against a hot or small team that gets nothing done meanwhile.
    void hotTeam()
    {
        const ContendedResult before = replay(usual);
        const ContendedResult after = replay(usualAnd(hot));
        print("usual", countsOf(before));
        print("beside the hot team, large teams", countsOfRow(after, "large"));
        print("beside the hot team, small teams", countsOfRow(after, "small"));
        print("hot team", countsOfRow(after, "hot"));
        const std::map<std::string, ContendedCounts> teams = countsByTeam(after);
        section("other teams are on time as without it, but for 5 % of their jobs", [&] {
            for (const auto &[team, counts] : countsByTeam(before)) {
                const int lost = counts.onTime - teams.at(team).onTime;
                CPPUNIT_ASSERT_MESSAGE(team + " lost " + std::to_string(lost),
                                       lost * 20 <= counts.jobs);
            }
        });
        section("it gets its share",
                [&] { CPPUNIT_ASSERT(teams.at("hot0").onTime >= hotWeight * hotForMs / 1000); });
        section("each team has jobs done in each 5 s", [&] {
            for (const auto &[team, counts] : teams) {
                CPPUNIT_ASSERT_MESSAGE(team, fewestEndsInFiveSeconds(after, team) > 0);
            }
        });
    }

    /// Guards against refusals in a burst of urgent jobs that lose more than they save.
    void urgentBursts()
    {
        compareRefusals("100 urgent jobs", usualAnd(urgentJobs));
        compareRefusals("300 urgent jobs", usualAnd(manyUrgentJobs));
    }

    /// Guards against refusals in a burst of large jobs that lose more than they save.
    void largeBursts()
    {
        compareRefusals("8 large jobs", usualAnd(largeJobs));
        compareRefusals("40 large jobs", usualAnd(manyLargeJobs));
    }

    /// Guards against refusals under a sustained overload within all shares that lose more than
    /// they save.
    void overloadWithRefusals()
    {
        const ContendedCounts with = countsOf(replay(overload));
        const ContendedCounts without = countsOf(replay(overload, false));
        print("overload", with);
        print("overload without refusals", without);
        CPPUNIT_ASSERT(with.ofUse >= without.ofUse);
    }

    /// Guards against jobs that are accepted under a sustained overload and end too late to be of
    /// use, whose callers would have gone elsewhere, and against refused callers that all return at
    /// the same time.
    void overloadAcceptedJobs()
    {
        const ContendedResult result = replay(overload);
        const ContendedCounts counts = countsOf(result);
        const int together = mostReturnsWithinTenthSecond(result);
        print("overload", counts);
        std::cout << ", within 100 ms return " << together;
        section("refused callers return one after another",
                [&] { CPPUNIT_ASSERT(together <= std::max(1, counts.refused / 10)); });
        section("accepted jobs are of use", [&] {
            const int accepted = counts.jobs - counts.refused;
            CPPUNIT_ASSERT(accepted > 0);
            CPPUNIT_ASSERT(counts.ofUse * 10 >= accepted * 9);
        });
    }

    /// Guards against a team that gets nothing done because its jobs are larger than those of
    /// another one, while both are within their shares.
    void smallAndLargeJobs() { checkNobodyStarves(50); }

    /// The same while both send more than their shares.
    void smallAndLargeJobsBeyondShares() { checkNobodyStarves(5); }

    /// Guards against a caller that waits for a refusal, and against a refused job that is recorded
    /// all the same.
    void refusalWithinTheCall()
    {
        JobServiceFixture control;
        FleetConfiguration configuration = configurationWithTeams();
        // Without a share, so that only the load of the pool refuses.
        configuration.teams[0].weight = 0;
        control.configure(configuration);
        control.addWorker(false);
        const SteadyTimeMs end = steadyTimeNow() + 20000;
        std::optional<JobCallAnswer> refusal;
        std::string refused;
        for (int job = 0; !refusal && steadyTimeNow() < end; ++job) {
            control.submit("/q/j" + std::to_string(job), "l1-secret");
            refused = "r" + std::to_string(job);
            refusal = control.answerWithinSubmit("/q/" + refused, "l1-secret");
        }
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT(refusal->outcome == JobCallOutcome::Busy);
        CPPUNIT_ASSERT_EQUAL(std::string("too-late"), refusal->reason);
        CPPUNIT_ASSERT(refusal->retryAfterMs > 0);
        control.read([&refused](const SchedulerState &state) {
            CPPUNIT_ASSERT(state.job(refused) == nullptr);
        });
    }

    /// Guards against decisions on submissions that cost more with each team or waiting job: 300
    /// a second, with 690 teams, 64 queues and 2,000 waiting jobs of one service.
    void costOfSubmissions()
    {
        constexpr int queueCount = 64;
        constexpr int serviceCount = 16;
        constexpr int teamCount = 690;
        constexpr int waitingJobs = 2000;
        constexpr int seconds = 3;
        // The jobs that run at once are not among the waiting ones.
        constexpr int submittedJobs = waitingJobs + 200;
        // The queues are spread over the services in turn.
        const auto queueOfOneService = [](int job) {
            return job % (queueCount / serviceCount) * serviceCount;
        };
        FleetSimulation fleet(seed);
        fleet.stepMs = 10;
        fleet.durationOf = [](const TaskKey &) { return 60000; };
        setUpLargeFleet(fleet, queueCount, serviceCount, teamCount);
        for (int job = 0; job < submittedJobs; ++job) {
            fleet.submit("w" + std::to_string(job), "q" + std::to_string(queueOfOneService(job)),
                         {shortStep(8)}, "team" + std::to_string(job % teamCount));
        }
        fleet.run(500);
        const auto hasWaiting = [&fleet] {
            std::size_t steps = 0;
            for (const auto &[service, order] : fleet.dispatcher->waitingSteps().byService()) {
                steps += order.size();
            }
            return steps >= waitingJobs;
        };
        CPPUNIT_ASSERT(hasWaiting());

        const FleetConfiguration &configuration = fleet.state.configuration();
        TeamDirectory directory = makeTeamDirectory(configuration);
        directory.requiresKeys = true;
        ShareMeter shares;
        ServiceLoads loads(fleet.state, *fleet.dispatcher);
        loads.listed({});
        int decided = 0;
        double used = 0;
        const auto decide = [&](int number) {
            const QueueConfig *queue = fleet.state.queueFor(
                    "host", "/q" + std::to_string(queueOfOneService(number)) + "/job");
            CPPUNIT_ASSERT(queue != nullptr);
            const KeyDecision key =
                    checkKey(directory, *queue, "key" + std::to_string(number * 7 % teamCount));
            const TeamConfig *team = findTeam(directory, configuration, key.team);
            CPPUNIT_ASSERT(team != nullptr);
            JobRecord job;
            job.spec.id = "j" + std::to_string(number);
            job.spec.queue = queue->name;
            job.spec.team = key.team;
            job.spec.steps = {shortStep(8)};
            job.queue = *queue;
            job.acceptedAtMs = fleet.now;
            job.spec.beyondShare = liesBeyondShare(job.spec, team, shares, fleet.now);
            const SubmissionReview review = reviewSubmission(
                    job, team, {shares, fleet.dispatcher->durations(), loads}, {}, fleet.now);
            recordInShare(job.spec, team, shares, fleet.now);
            decided += review.load ? 1 : 0;
        };
        constexpr int submissions = 300 * seconds;
        for (int submission = 0; submission < submissions; submission += 3) {
            const double before = processorSeconds();
            for (int each = 0; each < 3; ++each) {
                decide(submission + each);
            }
            used += processorSeconds() - before;
            fleet.run(10);
        }
        const double cores = used / seconds;
        std::cout << " seed " << seed << ": " << cores << " of a core";
        CPPUNIT_ASSERT(hasWaiting());
        CPPUNIT_ASSERT_EQUAL(submissions, decided);
        CPPUNIT_ASSERT(cores < maxDecisionCores);
    }

private:
    /// Processor time that the decisions may take, of the third of a core that a leader has.
    static constexpr double maxDecisionCores = 0.05;

    static void checkNobodyStarves(std::int64_t weight)
    {
        const ContendedResult result = replay(smallAndLarge(weight));
        print("small jobs", countsOfRow(result, "small"));
        print("large jobs", countsOfRow(result, "bulk"));
        const std::map<std::string, double> &coreMs = result.coreMsWhileAllWait;
        // The teams must wait at the same time for 5 s at least, with 192 cores.
        constexpr double leastCoreMs = 192.0 * 5000 * 0.8;
        const double small = coreMs.contains("small0") ? coreMs.at("small0") : 0;
        const double large = coreMs.contains("bulk0") ? coreMs.at("bulk0") : 0;
        std::cout << "\n  core-ms while both wait: small " << small << ", large " << large;
        CPPUNIT_ASSERT(small + large >= leastCoreMs);
        for (const char *team : {"small0", "bulk0"}) {
            CPPUNIT_ASSERT_MESSAGE(team, fewestEndsInFiveSeconds(result, team) > 0);
        }
    }

    static void setUpLargeFleet(FleetSimulation &fleet, int queueCount, int serviceCount,
                                int teamCount)
    {
        std::vector<std::string> services;
        for (int service = 0; service < serviceCount; ++service) {
            services.push_back("pool" + std::to_string(service));
        }
        std::vector<QueueConfig> queues;
        for (int queue = 0; queue < queueCount; ++queue) {
            queues.push_back(queueOf("q" + std::to_string(queue),
                                     services[static_cast<std::size_t>(queue % serviceCount)]));
        }
        fleet.configure(queues, services);
        std::vector<TeamConfig> teams;
        for (int team = 0; team < teamCount; ++team) {
            TeamConfig config;
            config.name = "team" + std::to_string(team);
            config.apiKeys = {"key" + std::to_string(team)};
            config.weight = 2;
            config.maxRunning.processorMilli = 64000;
            teams.push_back(config);
        }
        fleet.setTeams(teams);
        for (const std::string &service : services) {
            for (int worker = 0; worker < 3; ++worker) {
                fleet.addWorker(service);
            }
        }
        fleet.start();
        fleet.run(100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContendedLoadTest);
