#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "Adapters/Http/EventedHttpClient.h"
#include "Adapters/Http/EventedHttpServer.h"
#include "Soak/Findings.h"
#include "Soak/LoopbackNetwork.h"

namespace dandelionloom::soak {

using Json = nlohmann::json;

/// Work of a task, carried in the payload of its job: "MILLISECONDS", 0 for a long-running task.
inline constexpr std::int64_t taskMilli = 1000;

struct FleetOptions
{
    std::size_t workers = 12;
    LoopbackNetwork network;
    std::uint16_t port = 0;
    std::string service;
    /// Addresses of the control instances.
    std::vector<std::string> controls;
    std::uint64_t seed = 1;
};

/// Probabilities of faults in the answers of all workers.
struct AnswerFaults
{
    /// A start is carried out, but not answered.
    double lost = 0;
    /// A start is not answered, and carried out seconds later.
    double late = 0;
    /// A start is refused with 503 and not carried out.
    double refused = 0;
};

/// Stand-ins for the workers and for the platform's list of instances, as the platform's protocol
/// describes them. Checks that no task runs twice and that no task of an ended job is started.
/// Used on the loop's thread only.
class WorkerFleet
{
public:
    WorkerFleet(EventLoop &loop, FleetOptions options, Findings &findings);

    /// Throws std::runtime_error if an address cannot be listened on.
    void start();
    static std::string listAddress(const LoopbackNetwork &network, std::uint16_t port);

    std::size_t size() const { return m_workers.size(); }
    void setAnswerFaults(const AnswerFaults &faults) { m_faults = faults; }
    void crash(std::size_t index);
    /// Starts a crashed worker again under its id.
    void restart(std::size_t index);
    bool isUp(std::size_t index) const { return m_workers.at(index)->up; }
    /// While a worker is cut off, its tasks run on and no call reaches it.
    void setCut(std::size_t index, bool cut);
    /// Reports draining and deregisters; the worker starts again `restartAfterMs` later. The
    /// deregistration is first sent to the control instance `first`.
    void leave(std::size_t index, std::size_t first, std::int64_t restartAfterMs);
    void healAll();

    /// From `at` on no task of the job may start.
    void forbidJob(const std::string &job, SteadyTimeMs at);
    std::size_t runningTasksOf(const std::set<std::string> &jobs) const;
    std::size_t starts() const { return m_starts; }

private:
    struct Run
    {
        std::uint64_t run = 0;
        /// 0 for a long-running task.
        SteadyTimeMs endsAt = 0;
        /// 0 if no stop was ordered.
        SteadyTimeMs stopsAt = 0;
        SteadyTimeMs startedAt = 0;
        std::int64_t workMs = 0;
    };
    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string outcome;
    };
    struct Poll
    {
        SteadyTimeMs answerAt = 0;
        EventedHttpServer::Respond respond;
    };
    struct Worker
    {
        std::string id;
        std::string address;
        std::string zone;
        std::unique_ptr<EventedHttpServer> server;
        bool up = false;
        bool cut = false;
        bool draining = false;
        std::uint64_t life = 0;
        std::int64_t born = 0;
        SteadyTimeMs bootedAt = 0;
        std::uint64_t sequence = 0;
        std::uint64_t fence = 0;
        std::int64_t leaseUntil = 0;
        std::map<std::string, Run> running;
        std::map<std::string, std::uint64_t> highestEnded;
        std::vector<End> ended;
        std::uint64_t lastEnd = 0;
        std::vector<Poll> polls;
        std::size_t control = 0;
        SteadyTimeMs nextBeatAt = 0;
        bool beatInFlight = false;

        std::int64_t clock(SteadyTimeMs now) const { return now - bootedAt + 1000; }
    };

    void boot(Worker &worker);
    void tick();
    void tickWorker(Worker &worker, SteadyTimeMs now);
    void beat(std::size_t index);
    void deregister(std::size_t index, std::size_t control, std::uint32_t attempts,
                    std::int64_t restartAfterMs);
    void endAfter(std::size_t index, std::int64_t delayMs, std::int64_t restartAfterMs);
    void handle(std::size_t index, const HttpRequest &request,
                const EventedHttpServer::Respond &respond);
    HttpResponse startRun(Worker &worker, const Json &order);
    HttpResponse stopRun(Worker &worker, const Json &order);
    void poll(Worker &worker, const Json &order, const EventedHttpServer::Respond &respond);
    void acknowledge(Worker &worker, std::uint64_t cursor);
    void answerPoll(Worker &worker, const Poll &poll);
    void endRun(Worker &worker, const std::string &task, const std::string &outcome);
    void checkStart(const Worker &worker, const std::string &task, std::uint64_t run);
    HttpResponse list() const;
    bool happens(double probability);

    EventLoop &m_loop;
    const FleetOptions m_options;
    Findings &m_findings;
    EventedHttpClient m_client;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::unique_ptr<EventedHttpServer> m_listServer;
    AnswerFaults m_faults;
    std::set<std::string> m_doneTasks;
    std::map<std::string, SteadyTimeMs> m_forbiddenJobs;
    std::size_t m_starts = 0;
};

} // namespace dandelionloom::soak
