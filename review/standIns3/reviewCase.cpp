// Runs one case of the third review: `reviewCase NAME RECORD`. With TROUBLE=0 in the environment the
// disruption is left out. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run. The workers, the platform and the processes are those of the second review.
#include <atomic>
#include <cstdlib>
#include <iostream>

#include "../standIns2/Fleet.h"

namespace {

const std::string host = "jobs.example";
const std::string prefix = "/queue-a/";
const std::string job = "00000000000000a1";

/// The largest count of big_config in the site file of the day.
constexpr int routesPerChange = 1808;
constexpr int changes = 10;
constexpr std::size_t steps = 30;

bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Json route(const std::string &name, const std::string &path)
{
    return {{"name", name},          {"host", host},        {"path_prefix", path},
            {"route_type", "unsafe"}, {"timeout_ms", 3000},  {"target_latency_ms", 600},
            {"priority", 0},          {"service", "svc-a"}, {"max_attempts", 3},
            {"stretch", 1.6}};
}

Json configuration(std::uint64_t version, int furtherRoutes)
{
    Json routes = Json::array({route("r-a", prefix)});
    for (int index = 0; index < furtherRoutes; ++index) {
        const std::string number = std::to_string(10000 + index);
        routes.push_back(route("r-" + number, "/idle" + number + "/qo" + number + "/"));
    }
    return {{"version", version},
            {"routes", routes},
            {"services",
             {{{"name", "svc-a"},
               {"health_path", "/healthz"},
               {"max_connections", 64},
               {"protocol", "h1"},
               {"tls", false},
               {"admission_control", true},
               {"standby", false}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

/// Sends the configuration to the nodes in turn, like an operator. False if none acknowledges it.
bool configure(System &system, Record &record, std::uint64_t version, int furtherRoutes)
{
    const std::string body = configuration(version, furtherRoutes).dump();
    const std::int64_t until = steadyMs() + 8000;
    for (std::size_t attempt = 0; steadyMs() < until; ++attempt) {
        const auto controls = system.controls();
        const Answer answer =
                call(controls[attempt % controls.size()], "PUT", "/v1/config", body, 3000);
        record.line("PUT /v1/config version " + std::to_string(version) + ", "
                    + std::to_string(1 + furtherRoutes) + " routes, "
                    + std::to_string(body.size()) + " bytes -> " + std::to_string(answer.status));
        if (answer.status == 200) {
            return true;
        }
        sleepMs(300);
    }
    return false;
}

std::string stateOf(System &system)
{
    const Answer answer = call(system.fronts().front(), "GET", prefix + job, "", 3000, host);
    const Json document = Json::parse(answer.body, nullptr, false);
    return answer.status == 200 && document.is_object() ? document.value("state", std::string())
                                                        : std::to_string(answer.status);
}

/// Three control processes, a gateway and four workers, with a job whose steps run one after the other.
struct ChainedJob
{
    explicit ChainedJob(Record &usedRecord) : record(usedRecord), system(record, 3, 1), fleet(system, record)
    {
        for (int index = 0; index < 4; ++index) {
            fleet.add("m-" + std::to_string(index + 1), "svc-a", 100 + index);
        }
        const std::string cloudIp = system.ip(90);
        system.setCloud(cloudIp + ":" + std::to_string(system.port()));
        system.startAll();
        fleet.taskMilli = 500;
        fleet.onStart = [this](const Machine &, const std::string &, std::uint64_t) {
            lastStartAt = steadyMs();
            ++starts;
        };
        fleet.start(cloudIp);
        sleepMs(3000);
        if (!configure(system, record, 1, 0)) {
            throw CannotRun{"the first configuration was not acknowledged"};
        }
        sleepMs(3000);
        // A chain of steps of one task, each of 1 s.
        Json chain = {{"spec", "1000"}, {"steps", Json::array()}};
        for (std::size_t step = 0; step < steps; ++step) {
            Json next = {{"count", 1}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", 1000}};
            if (step > 0) {
                next["depends_on"] = {step - 1};
            }
            chain["steps"].push_back(next);
        }
        const Answer accepted =
                call(system.fronts().front(), "POST", prefix + job, chain.dump(), 3000, host,
                     "X-Dandelionloom-Deadline-Ms: 3000\r\n");
        record.line("POST " + prefix + job + " -> " + std::to_string(accepted.status));
        if (accepted.status != 200) {
            throw CannotRun{"the job was not accepted"};
        }
    }

    /// finish_s is 14 s; the chain takes 30 s and little more.
    void judge()
    {
        const std::int64_t until = steadyMs() + 45000;
        while (steadyMs() < until && stateOf(system) != "completed") {
            sleepMs(500);
        }
        const std::string state = stateOf(system);
        const std::int64_t idleMs = steadyMs() - lastStartAt;
        record.line("state " + state + ", " + std::to_string(starts.load()) + " of "
                    + std::to_string(steps) + " tasks started, the last one "
                    + std::to_string(idleMs) + " ms ago, "
                    + std::to_string(fleet.countRunning()) + " running");
        if (state != "completed" && fleet.countRunning() == 0 && idleMs > 14000) {
            record.broken("LOST: the accepted job " + job + " is " + state
                          + " and has had nothing running for " + std::to_string(idleMs)
                          + " ms, with four idle workers");
        }
    }

    Record &record;
    System system;
    std::atomic<std::int64_t> lastStartAt{0};
    std::atomic<std::size_t> starts{0};
    Fleet fleet;
};

/// The configuration grows until its journal entry is larger than a peer message. LOST.
/// Without the disruption it changes as often, but does not grow.
void largeConfiguration(Record &record)
{
    ChainedJob chained(record);
    for (int change = 1; change <= changes; ++change) {
        sleepMs(1000);
        const int furtherRoutes = hasTrouble() ? change * routesPerChange : 0;
        if (!configure(chained.system, record, static_cast<std::uint64_t>(1 + change),
                       furtherRoutes)) {
            record.line("the operator gives up");
            break;
        }
    }
    chained.judge();
}

/// One heartbeat of another writer has a long label. LOST.
void longLabel(Record &record)
{
    constexpr std::size_t labelBytes = 2200000;
    ChainedJob chained(record);
    sleepMs(5000);
    const Json heartbeat = {{"service", "archive-7"},
                            {"address", chained.system.ip(120) + ":"
                                     + std::to_string(chained.system.port())},
                            {"zone", "zone-a"},
                            {"version", "v1"},
                            {"slots", 8},
                            {"state", "ready"},
                            {"cold_remaining_ms", 0},
                            {"capacity", {{"cpu", 1000}, {"mem_mb", 1024}, {"gpu", 0}}},
                            {"labels", {"a", "r" + std::string(labelBytes, '9') + "-1"}},
                            {"clock_ms", 1000},
                            {"born", wallMs()},
                            {"sequence", 1}};
    if (hasTrouble()) {
        const std::string body = heartbeat.dump();
        // As workers do, at the next node after a second without an acknowledgement.
        for (const std::string &to : chained.system.controls()) {
            const Answer answer = call(to, "PUT", "/v1/instances/w-other", body, 1000);
            record.line("another writer: PUT /v1/instances/w-other, " + std::to_string(body.size())
                        + " bytes -> " + std::to_string(answer.status));
            if (answer.status == 200) {
                break;
            }
        }
    }
    chained.judge();
}

/// Another writer's heartbeats carry the ids of two workers. LOST.
void borrowedIds(Record &record)
{
    System system(record, 3, 1);
    Fleet fleet(system, record);
    for (int index = 0; index < 6; ++index) {
        fleet.add("m-" + std::to_string(index + 1), "svc-a", 100 + index);
    }
    const std::string cloudIp = system.ip(90);
    system.setCloud(cloudIp + ":" + std::to_string(system.port()));
    system.startAll();
    fleet.taskMilli = 500;
    std::atomic<std::size_t> starts{0};
    fleet.onStart = [&](const Machine &, const std::string &, std::uint64_t) { ++starts; };
    fleet.start(cloudIp);
    sleepMs(3000);
    if (!configure(system, record, 1, 0)) {
        throw CannotRun{"the first configuration was not acknowledged"};
    }
    sleepMs(5000);
    // m-5 and m-6 are the workers of rack r2-1.
    for (std::size_t index = 4; index < 6; ++index) {
        Json heartbeat;
        {
            const std::lock_guard lock(fleet.mutex());
            const Machine &machine = *fleet.machines()[index];
            heartbeat = {{"service", "archive-7"},
                         {"address", fleet.address(machine)},
                         {"zone", "zone-a"},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"cold_remaining_ms", 0},
                         {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}}},
                         {"labels", {"a", machine.rack}},
                         {"clock_ms", 1000},
                         {"born", machine.born},
                         {"sequence", 4294967295}};
        }
        const std::string path = "/v1/instances/" + fleet.machines()[index]->id;
        if (hasTrouble()) {
            const Answer answer = call(system.control(0), "PUT", path, heartbeat.dump(), 1000);
            record.line("another writer: PUT " + path + " " + heartbeat.dump() + " -> "
                        + std::to_string(answer.status));
        }
    }
    sleepMs(4000);
    const Json labelled = {{"spec", "1000"},
                           {"steps",
                            {{{"count", 2},
                              {"cpu", 500},
                              {"mem_mb", 64},
                              {"estimate_ms", 1000},
                              {"required_label", "r2-1"}}}}};
    const Answer accepted = call(system.fronts().front(), "POST", prefix + job, labelled.dump(),
                                 3000, host, "X-Dandelionloom-Deadline-Ms: 3000\r\n");
    record.line("POST " + prefix + job + " " + labelled.dump() + " -> "
                + std::to_string(accepted.status));
    if (accepted.status != 200) {
        throw CannotRun{"the job was not accepted"};
    }
    const std::int64_t acceptedAt = steadyMs();
    while (steadyMs() - acceptedAt < 25000 && stateOf(system) != "completed") {
        sleepMs(500);
    }
    const std::string state = stateOf(system);
    record.line("state " + state + ", " + std::to_string(starts.load()) + " tasks started");
    if (state != "completed" && starts == 0) {
        record.broken("LOST: the accepted job " + job + " is " + state + " and nothing of it has run for "
                      + std::to_string(steadyMs() - acceptedAt)
                      + " ms, with two idle workers of its label that send heartbeats");
    }
}

const std::map<std::string, void (*)(Record &)> cases = {{"large-configuration", largeConfiguration},
                                                         {"borrowed-ids", borrowedIds},
                                                         {"long-label", longLabel}};

} // namespace

int main(int argumentCount, char **arguments)
{
    const auto found = argumentCount == 3 ? cases.find(arguments[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "expected a case and a record file\n";
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    // The children end with this process.
    ::alarm(115);
    Record record(arguments[2]);
    record.line(std::string("case ") + arguments[1] + (hasTrouble() ? "" : ", without disruption"));
    int outcome = 0;
    try {
        found->second(record);
        outcome = record.breaks() > 0 ? 1 : 0;
    } catch (const CannotRun &error) {
        record.line("cannot run: " + error.reason);
        outcome = 2;
    } catch (const std::exception &error) {
        record.line(std::string("cannot run: ") + error.what());
        outcome = 2;
    }
    record.line("exit " + std::to_string(outcome));
    return outcome;
}
