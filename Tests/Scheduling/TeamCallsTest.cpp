#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/JobServiceFixture.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

std::string nameOf(const JobCallAnswer &answer)
{
    return std::string(jobCallOutcomeNames.name(answer.outcome));
}

const std::string done = "done";
const std::string gone = "gone";
const std::string notFound = "not-found";
const std::string unauthenticated = "unauthenticated";

// Records of the version before teams, whose arrays are shorter.

struct OldQueue
{
    std::string name = "q";
    std::string host = "h";
    std::string pathPrefix = "/q/";
    std::string service = "s";
    std::int64_t timeoutMs = 3000;
    std::int64_t priority = 0;
    std::uint32_t maxAttempts = 1;
    double stretch = 1;
    std::int64_t targetLatencyMs = 600;
    bool needsAdvice = false;
    std::int64_t adviceValidMs = 0;

    MSGPACK_DEFINE_ARRAY(name, host, pathPrefix, service, timeoutMs, priority, maxAttempts, stretch,
                         targetLatencyMs, needsAdvice, adviceValidMs)
};

struct OldConfiguration
{
    std::uint64_t version = 5;
    std::vector<OldQueue> queues = {{}};
    std::vector<ServiceConfig> services = {{"s", true, false}};
    std::string document = "{}";

    MSGPACK_DEFINE_ARRAY(version, queues, services, document)
};

struct OldSpec
{
    std::string id = "old";
    std::string queue = "q";
    std::string payload;
    std::vector<StepSpec> steps = {{}};
    std::uint32_t repeatCount = 0;
    WallTimeMs startAtMs = 0;
    std::int64_t intervalMs = 0;

    MSGPACK_DEFINE_ARRAY(id, queue, payload, steps, repeatCount, startAtMs, intervalMs)
};

struct OldAccepted
{
    OldSpec spec;
    OldQueue queue;
    WallTimeMs atMs = 1000;
    MSGPACK_DEFINE_ARRAY(spec, queue, atMs)
};

std::vector<OccurrenceRecord> oneTask()
{
    StepRecord step;
    step.tasks.resize(1);
    OccurrenceRecord occurrence;
    occurrence.steps.push_back(step);
    return {occurrence};
}

struct OldJobRecord
{
    OldSpec spec;
    OldQueue queue;
    WallTimeMs acceptedAtMs = 1000;
    JobPhase phase = JobPhase::Active;
    WallTimeMs endedAtMs = 0;
    bool started = false;
    std::uint32_t assignedCount = 0;
    std::vector<OccurrenceRecord> occurrences = oneTask();

    MSGPACK_DEFINE_ARRAY(spec, queue, acceptedAtMs, phase, endedAtMs, started, assignedCount,
                         occurrences)
};

struct OldState
{
    OldConfiguration configuration;
    std::map<std::string, OldJobRecord> jobs = {{"old", OldJobRecord()}};
    std::map<std::string, WorkerRecord> workers;
    std::map<std::string, std::int64_t> ended;
    std::map<std::uint64_t, MaintenanceWave> waves;

    MSGPACK_DEFINE_ARRAY(configuration, jobs, workers, ended, waves)
};

template <typename T>
std::string packed(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

} // namespace

class TeamCallsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TeamCallsTest);
    CPPUNIT_TEST(keysOfCalls);
    CPPUNIT_TEST(changedKeys);
    CPPUNIT_TEST(jobsOfOtherTeams);
    CPPUNIT_TEST(removedQueue);
    CPPUNIT_TEST(resendAfterRemoval);
    CPPUNIT_TEST(deploymentWithoutTeams);
    CPPUNIT_TEST(restoredSnapshot);
    CPPUNIT_TEST(recordsOfTheVersionBefore);
    CPPUNIT_TEST(shares);
    CPPUNIT_TEST(jobsThatWouldBeTooLate);
    CPPUNIT_TEST(excessWhileOthersWait);
    CPPUNIT_TEST(predictedStarts);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a call that takes effect without a key of a team.
    void keysOfCalls()
    {
        JobServiceFixture control;
        section("without a configuration nothing is known of keys", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("busy"), nameOf(control.submit("/q/1", "l1-secret")));
        });
        control.configure(configurationWithTeams());
        section("an unknown queue is told before the key is checked",
                [&] { CPPUNIT_ASSERT_EQUAL(notFound, nameOf(control.submit("/none/1", ""))); });
        section("a submission without a key of a team is refused and never runs", [&] {
            CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.submit("/q/1", "")));
            CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.submit("/q/1", "foreign-secret")));
            control.read([](const SchedulerState &state) { CPPUNIT_ASSERT(state.jobs().empty()); });
        });
        section("with the key it is accepted and recorded for the team", [&] {
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/q/1", "l2-secret")));
            control.read([](const SchedulerState &state) {
                CPPUNIT_ASSERT_EQUAL(std::string("large"), state.job("1")->spec.team);
            });
        });
        section("a call that was forwarded twice is one job", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("known-job"),
                                 control.submit("/q/1", "l2-secret").reason);
            CPPUNIT_ASSERT_EQUAL(std::string("known-job"),
                                 control.submit("/q/1", "l1-secret").reason);
        });
        section("status and cancel need a key too", [&] {
            for (const char *key : {"", "foreign-secret"}) {
                CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.status("/q/1", key)));
                CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.status("/q/", key)));
                CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.cancel("/q/1", key)));
            }
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.status("/q/1", "l1-secret")));
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.cancel("/q/1", "l1-secret")));
        });
        section("a public queue is served with any key and without", [&] {
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/open/2", "")));
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/open/3", "foreign-secret")));
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/open/4", "s1-secret")));
            control.read([](const SchedulerState &state) {
                CPPUNIT_ASSERT_EQUAL(std::string(), state.job("2")->spec.team);
                CPPUNIT_ASSERT_EQUAL(std::string("small"), state.job("4")->spec.team);
            });
        });
        section("refused calls are logged and counted, and no key is in the log", [&] {
            const std::string log = control.logged();
            CPPUNIT_ASSERT(log.find("key-refused") != std::string::npos);
            CPPUNIT_ASSERT(log.find("-secret") == std::string::npos);
            CPPUNIT_ASSERT_EQUAL(
                    4.0,
                    control.metrics.total("dandelionloom_keys_refused_total", "check=\"missing\""));
            CPPUNIT_ASSERT_EQUAL(
                    4.0,
                    control.metrics.total("dandelionloom_keys_refused_total", "check=\"unknown\""));
        });
    }

    /// Guards against a key that is served after its revocation, or refused after it was added.
    void changedKeys()
    {
        JobServiceFixture control;
        FleetConfiguration configuration = configurationWithTeams();
        control.configure(configuration);
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/q/1", "l1-secret")));
        section("once a change is acknowledged only its keys are served", [&] {
            configuration.version = 2;
            configuration.teams[0].apiKeys = {"l2-secret", "l3-secret"};
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.configure(configuration)));
            CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.status("/q/1", "l1-secret")));
            CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.submit("/q/1", "l1-secret")));
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.status("/q/1", "l3-secret")));
        });
        section("an older configuration that arrives again brings back no key", [&] {
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.configure(configurationWithTeams())));
            CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.submit("/q/2", "l1-secret")));
        });
        section("a key that moved acts for its new team", [&] {
            configuration.version = 3;
            configuration.teams[0].apiKeys = {"l3-secret"};
            configuration.teams[1].apiKeys = {"s1-secret", "l2-secret"};
            control.configure(configuration);
            CPPUNIT_ASSERT_EQUAL(gone, nameOf(control.status("/q/1", "l2-secret")));
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.status("/q/1", "l3-secret")));
        });
        section("after all keys are revoked calls are refused and accepted jobs go on", [&] {
            configuration.version = 4;
            configuration.teams[0].apiKeys = {};
            configuration.teams[1].apiKeys = {};
            control.configure(configuration);
            for (const char *key : {"", "l3-secret", "s1-secret"}) {
                CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.submit("/q/5", key)));
            }
            control.read([](const SchedulerState &state) {
                CPPUNIT_ASSERT(state.job("1")->phase == JobPhase::Active);
            });
        });
    }

    /// Guards against a team that learns of, cancels or takes over the jobs of another one.
    void jobsOfOtherTeams()
    {
        JobServiceFixture control;
        control.configure(configurationWithTeams());
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/q/1", "l1-secret")));
        section("status and cancel answer as if the job did not exist", [&] {
            const JobCallAnswer unknown = control.status("/q/9", "s1-secret");
            const JobCallAnswer other = control.status("/q/1", "s1-secret");
            CPPUNIT_ASSERT_EQUAL(nameOf(unknown), nameOf(other));
            CPPUNIT_ASSERT_EQUAL(unknown.reason, other.reason);
            CPPUNIT_ASSERT_EQUAL(control.cancel("/q/9", "s1-secret").reason,
                                 control.cancel("/q/1", "s1-secret").reason);
            control.read([](const SchedulerState &state) {
                CPPUNIT_ASSERT(state.job("1")->phase == JobPhase::Active);
            });
        });
        section("a submission under its id is not told that it was accepted", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("invalid"),
                                 nameOf(control.submit("/q/1", "s1-secret")));
        });
        section("a job of a public queue without a key is open to all", [&] {
            control.submit("/open/2", "");
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.status("/open/2", "s1-secret")));
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.cancel("/open/2", "l1-secret")));
        });
    }

    /// Guards against a removed queue whose jobs anyone may cancel, or nobody.
    void removedQueue()
    {
        JobServiceFixture control;
        FleetConfiguration configuration = configurationWithTeams();
        control.configure(configuration);
        control.submit("/q/1", "l1-secret");
        control.submit("/open/2", "");
        configuration.version = 2;
        configuration.queues.clear();
        control.configure(configuration);
        CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.cancel("/q/1", "")));
        CPPUNIT_ASSERT_EQUAL(notFound, nameOf(control.cancel("/q/1", "s1-secret")));
        CPPUNIT_ASSERT_EQUAL(notFound, nameOf(control.cancel("/q/9", "")));
        CPPUNIT_ASSERT_EQUAL(notFound, nameOf(control.status("/q/1", "l1-secret")));
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.cancel("/q/1", "l1-secret")));
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.cancel("/open/2", "")));
    }

    /// Guards against an accepted job that its sender is told doesn't exist, because the queue was
    /// removed before the submission is repeated (review/9: REFUSED).
    void resendAfterRemoval()
    {
        JobServiceFixture control;
        FleetConfiguration configuration = configurationWithTeams();
        control.configure(configuration);
        control.submit("/q/1", "l1-secret");
        configuration.version = 2;
        configuration.queues.clear();
        control.configure(configuration);
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/q/1", "l1-secret")));
        section("others learn nothing of the job, and new ones are refused", [&] {
            CPPUNIT_ASSERT_EQUAL(notFound, nameOf(control.submit("/q/1", "s1-secret")));
            CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.submit("/q/1", "")));
            CPPUNIT_ASSERT_EQUAL(notFound, nameOf(control.submit("/q/9", "l1-secret")));
            CPPUNIT_ASSERT_EQUAL(notFound, nameOf(control.submit("/other/1", "l1-secret")));
        });
    }

    /// Guards against a deployment without teams that asks for keys or counts shares.
    void deploymentWithoutTeams()
    {
        JobServiceFixture control;
        FleetConfiguration configuration = configurationWithTeams();
        configuration.requiresKeys = false;
        configuration.teams.clear();
        control.configure(configuration);
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/q/1", "")));
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/q/2", "l1-secret")));
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.status("/q/2", "")));
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.cancel("/q/2", "other")));
        control.read([](const SchedulerState &state) {
            CPPUNIT_ASSERT(state.job("2")->spec.team.empty());
            CPPUNIT_ASSERT(!state.job("2")->spec.beyondShare);
        });
    }

    /// Guards against an instance that got its state as a snapshot and knows no keys.
    void restoredSnapshot()
    {
        SchedulerState state;
        state.apply(ConfigurationAccepted{configurationWithTeams()});
        JobServiceFixture control(state.encode());
        CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.submit("/q/1", "")));
        CPPUNIT_ASSERT_EQUAL(unauthenticated, nameOf(control.submit("/q/1", "foreign")));
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/q/1", "s1-secret")));
    }

    /// Guards against an update that can't read the journal and snapshots on disk.
    void recordsOfTheVersionBefore()
    {
        section("a snapshot", [&] {
            const auto decoded = SchedulerState::decode(packed(OldState()));
            CPPUNIT_ASSERT(isOk(decoded));
            const SchedulerState &state = valueOf(decoded);
            CPPUNIT_ASSERT(!state.configuration().requiresKeys);
            CPPUNIT_ASSERT(state.configuration().teams.empty());
            CPPUNIT_ASSERT(!state.queue("q")->isPublic);
            CPPUNIT_ASSERT(state.job("old")->spec.team.empty());
            CPPUNIT_ASSERT(!state.job("old")->spec.beyondShare);
            JobServiceFixture control(packed(OldState()));
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.status("/q/old", "")));
        });
        section("entries of the journal", [&] {
            using OldConfigured = std::tuple<OldConfiguration>;
            const auto entry = std::make_tuple(std::make_tuple(0U, OldConfigured()),
                                               std::make_tuple(1U, OldAccepted()));
            const auto decoded = decodeChanges(packed(entry));
            CPPUNIT_ASSERT(isOk(decoded));
            SchedulerState state;
            for (const JobChange &change : valueOf(decoded)) {
                state.apply(change);
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), state.configuration().version);
            CPPUNIT_ASSERT(state.job("old") != nullptr && state.job("old")->spec.team.empty());
        });
    }

    /// Guards against a team whose excess counts as its share, also after a change of leaders, and
    /// against an excess that is charged to other teams.
    void shares()
    {
        JobServiceFixture control;
        FleetConfiguration configuration = configurationWithTeams();
        control.configure(configuration);
        const auto isBeyondShare = [&](const std::string &id, const std::string &key) {
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/q/" + id, key)));
            bool beyond = false;
            control.read(
                    [&](const SchedulerState &state) { beyond = state.job(id)->spec.beyondShare; });
            return beyond;
        };
        // A weight of 1 allows 60 jobs in the fixture's window of 60 s.
        for (int job = 0; job < 60; ++job) {
            CPPUNIT_ASSERT(!isBeyondShare("s" + std::to_string(job), "s1-secret"));
        }
        CPPUNIT_ASSERT(isBeyondShare("excess", "s1-secret"));
        CPPUNIT_ASSERT(!isBeyondShare("other", "l1-secret"));
        section("the next leader counts the same jobs", [&] {
            control.leadAgain();
            CPPUNIT_ASSERT(isBeyondShare("again", "s1-secret"));
            CPPUNIT_ASSERT(!isBeyondShare("other-again", "l1-secret"));
        });
        section("long-running jobs and teams without a weight are within", [&] {
            JobCall call;
            call.kind = JobCallKind::Submit;
            call.host = "h";
            call.path = "/q/lasting";
            call.apiKey = "s1-secret";
            call.spec.steps.resize(1);
            call.spec.steps[0].longRunning = true;
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.call(call)));
            control.read([](const SchedulerState &state) {
                CPPUNIT_ASSERT(!state.job("lasting")->spec.beyondShare);
            });
            configuration.version = 2;
            configuration.teams[1].weight = 0;
            control.configure(configuration);
            CPPUNIT_ASSERT(!isBeyondShare("unlimited", "s1-secret"));
        });
    }

    /// Guards against a refused job that runs all the same, and against refusals that a deployment
    /// without teams has not asked for.
    void jobsThatWouldBeTooLate()
    {
        JobServiceFixture control;
        FleetConfiguration configuration = configurationWithTeams();
        // Without a share, which a fast machine uses up before the loads are summed up again.
        configuration.teams[0].weight = 0;
        control.configure(configuration);
        control.addWorker(false);
        const std::string refused = submitUntilRefused(control, "j", "l1-secret", 500);
        section("the caller is told when to come back", [&] {
            const JobCallAnswer answer = control.submit("/q/" + refused, "l1-secret");
            CPPUNIT_ASSERT_EQUAL(std::string("busy"), nameOf(answer));
            CPPUNIT_ASSERT_EQUAL(std::string("too-late"), answer.reason);
            CPPUNIT_ASSERT(answer.retryAfterMs >= 1000 && answer.retryAfterMs <= 15000);
        });
        section("a refused job is unknown, an accepted one stays accepted", [&] {
            CPPUNIT_ASSERT_EQUAL(gone, nameOf(control.status("/q/" + refused, "l1-secret")));
            control.read([&](const SchedulerState &state) {
                CPPUNIT_ASSERT(state.job(refused) == nullptr);
            });
            CPPUNIT_ASSERT_EQUAL(std::string("known-job"),
                                 control.submit("/q/j0", "l1-secret").reason);
        });
        section("long-running and repeated jobs are accepted", [&] {
            JobCall call;
            call.kind = JobCallKind::Submit;
            call.host = "h";
            call.path = "/q/repeated";
            call.apiKey = "l1-secret";
            call.spec.steps.resize(1);
            call.spec.steps[0].need = {1000, 100, 0};
            call.spec.steps[0].estimateMs = 500;
            call.spec.repeatCount = 2;
            call.spec.startAtMs = wallTimeNow() + 60000;
            call.spec.intervalMs = 1000;
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.call(call)));
            call.path = "/q/lasting";
            call.spec.repeatCount = 0;
            call.spec.startAtMs = 0;
            call.spec.steps[0].longRunning = true;
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.call(call)));
        });
        section("each prediction is logged and refusals are counted", [&] {
            CPPUNIT_ASSERT(control.logged().find("\"forecast\"") != std::string::npos);
            CPPUNIT_ASSERT(control.metrics.total("dandelionloom_submissions_refused_total",
                                                 "reason=\"too-late\"")
                           >= 2);
        });
        section("a configuration without teams refuses nothing", [&] {
            configuration.version = 2;
            configuration.requiresKeys = false;
            configuration.teams.clear();
            control.configure(configuration);
            CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/q/" + refused, "")));
        });
    }

    /// Guards against a team beyond its share that makes other teams' jobs wait.
    void excessWhileOthersWait()
    {
        JobServiceFixture control;
        control.configure(configurationWithTeams());
        control.addWorker(false);
        for (int job = 0; job < 3; ++job) {
            CPPUNIT_ASSERT_EQUAL(done,
                                 nameOf(control.submit("/q/l" + std::to_string(job), "l1-secret")));
        }
        const std::string refused = submitUntilRefused(control, "s", "s1-secret", 10);
        const JobCallAnswer answer = control.submit("/q/" + refused, "s1-secret", 10);
        CPPUNIT_ASSERT_EQUAL(std::string("beyond-share"), answer.reason);
        CPPUNIT_ASSERT(answer.retryAfterMs >= 1000 && answer.retryAfterMs <= 15000);
        control.read([](const SchedulerState &state) {
            // All 60 jobs of the share were accepted.
            CPPUNIT_ASSERT(state.job("s59") != nullptr && !state.job("s59")->spec.beyondShare);
        });
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/q/other", "l1-secret", 10)));
    }

    /// Guards against predictions whose error nobody sees.
    void predictedStarts()
    {
        JobServiceFixture control;
        control.configure(configurationWithTeams());
        control.addWorker(true);
        const SteadyTimeMs end = steadyTimeNow() + 20000;
        const auto observed = [&control] {
            const std::string name = "dandelionloom_start_prediction_error_seconds";
            return control.metrics.total(name, "start=\"later\"")
                    + control.metrics.total(name, "start=\"earlier\"");
        };
        CPPUNIT_ASSERT_EQUAL(done, nameOf(control.submit("/q/1", "l1-secret", 1)));
        while (observed() == 0 && steadyTimeNow() < end) {
            control.read([](const SchedulerState &) {});
        }
        CPPUNIT_ASSERT(observed() > 0);
    }

private:
    /// Submits jobs until one is refused, and returns its id. The loads are summed up at times, so
    /// that the number of accepted jobs varies.
    static std::string submitUntilRefused(JobServiceFixture &control, const std::string &prefix,
                                          const std::string &key, std::int64_t estimateMs)
    {
        const SteadyTimeMs end = steadyTimeNow() + 20000;
        for (int job = 0; steadyTimeNow() < end; ++job) {
            const std::string id = prefix + std::to_string(job);
            const JobCallAnswer answer = control.submit("/q/" + id, key, estimateMs);
            if (answer.outcome == JobCallOutcome::Busy) {
                return id;
            }
            CPPUNIT_ASSERT_EQUAL(done, nameOf(answer));
        }
        CPPUNIT_FAIL("no job was refused");
        return {};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamCallsTest);
