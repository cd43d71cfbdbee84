#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Adapters/Http/EventedHttpClient.h"
#include "Soak/Findings.h"
#include "Soak/WorkerFleet.h"

namespace dandelionloom::soak {

struct CallersOptions
{
    std::size_t clients = 8;
    /// Client addresses of the gateways.
    std::vector<std::string> gateways;
    std::string host;
    std::string pathPrefix;
    std::uint64_t seed = 1;
};

/// Clients that submit jobs, follow them and cancel some. Each keeps one connection to a gateway
/// open and uses it until a call on it fails. Used on the loop's thread only.
class Callers
{
public:
    Callers(EventLoop &loop, CallersOptions options, WorkerFleet &fleet, Findings &findings);

    void start();
    /// No further jobs are submitted; those submitted are followed on.
    void stopSubmitting() { m_submitting = false; }
    /// Jobs that were accepted and not seen to end, without those that were cancelled.
    std::vector<std::string> unfinishedJobs() const;
    /// Jobs whose cancellation was acknowledged.
    std::set<std::string> cancelledJobs() const;
    std::size_t acceptedCount() const;
    std::size_t completedCount() const;
    /// Time since which the gateway has been in a planned stop; 0 if it is not.
    std::function<SteadyTimeMs(const std::string &gateway)> plannedStopSince;

private:
    enum class JobState { Submitting, Accepted, Cancelling, Cancelled, Completed, Refused };
    struct Job
    {
        std::string id;
        std::string body;
        JobState state = JobState::Submitting;
        bool inDoubt = false;
        bool lasts = false;
        SteadyTimeMs acceptedAt = 0;
    };
    struct Client
    {
        std::unique_ptr<EventedHttpClient> connection;
        std::size_t gateway = 0;
        std::string job;
    };
    using Answer = std::function<void(int status, const Json &body)>;

    /// The status is 0 if there was no answer; the client then moves on to another gateway.
    void call(std::size_t client, const std::string &method, const std::string &job,
              const std::string &body, Answer answer);
    void after(std::int64_t milliseconds, std::function<void()> task);
    void submitNext(std::size_t client);
    void submit(std::size_t client);
    void follow(std::size_t client);
    void onState(std::size_t client, int status, const Json &body);
    void cancel(std::size_t client);
    std::int64_t below(std::int64_t limit);

    EventLoop &m_loop;
    const CallersOptions m_options;
    WorkerFleet &m_fleet;
    Findings &m_findings;
    std::mt19937_64 m_random;
    std::vector<Client> m_clients;
    std::map<std::string, Job> m_jobs;
    bool m_submitting = true;
    std::uint64_t m_jobCount = 0;
};

} // namespace dandelionloom::soak
