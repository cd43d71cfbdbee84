#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Adapters/Http/EventedHttpClient.h"
#include "Soak/Findings.h"
#include "Soak/WorkerFleet.h"

namespace dandelionloom::soak {

struct OperatorsOptions
{
    std::vector<std::string> controls;
    std::vector<std::string> gateways;
    std::string host;
    /// Queue of the clients, part of every configuration.
    std::string pathPrefix;
    std::string service;
    std::uint64_t seed = 1;
};

/// Two operators that change the configuration at the same time, send invalid configurations, read
/// the configuration back from every control instance, and ask the gateways for queues that were
/// just added, just removed or never there. Used on the loop's thread only.
class Operators
{
public:
    Operators(EventLoop &loop, OperatorsOptions options, Findings &findings);

    /// Sends the first configuration until it is acknowledged.
    void start();
    bool isConfigured() const { return !m_acknowledged.empty(); }
    /// No further changes are sent; those in progress and the readings go on.
    void stopChanges() { m_changing = false; }
    bool isIdle() const { return m_changesInProgress == 0; }
    std::size_t acknowledgedCount() const { return m_acknowledged.size(); }
    std::size_t readCount() const { return m_reads; }
    std::size_t probeCount() const { return m_probes; }
    /// Highest version that was acknowledged.
    std::uint64_t newestVersion() const;
    /// Highest version that a control instance has given since the call of stopChanges().
    std::uint64_t lastRead() const { return m_lastRead; }

private:
    struct Change
    {
        std::uint64_t version = 0;
        std::string body;
        std::set<int> queues;
        std::size_t control = 0;
    };

    Change nextChange();
    std::string invalidBody(std::uint64_t version);
    void changeInTurn();
    void send(const Change &change);
    void sendInvalid(std::size_t control, const std::string &body, std::uint32_t attempts);
    void readInTurn();
    void probeInTurn();
    void checkRead(const std::string &control, SteadyTimeMs sentAt, const std::string &body);
    void checkProbe(const std::string &gateway, int queue, SteadyTimeMs sentAt, int status);
    /// Version that must be in force for a request sent at this time; 0 if there is none.
    std::uint64_t versionInForce(SteadyTimeMs sentAt) const;
    std::size_t below(std::size_t limit);

    EventLoop &m_loop;
    const OperatorsOptions m_options;
    Findings &m_findings;
    EventedHttpClient m_client;
    std::mt19937_64 m_random;
    bool m_changing = true;
    std::uint64_t m_version = 0;
    std::size_t m_changesInProgress = 0;
    std::set<int> m_queues;
    /// Changes sent so far, by version.
    std::map<std::uint64_t, Change> m_sent;
    /// Time of the first acknowledgement, by version.
    std::map<std::uint64_t, SteadyTimeMs> m_acknowledged;
    std::size_t m_reads = 0;
    std::size_t m_probes = 0;
    std::uint64_t m_lastRead = 0;
};

} // namespace dandelionloom::soak
