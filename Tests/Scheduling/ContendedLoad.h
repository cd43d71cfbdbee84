#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Scheduling/FleetSimulation.h"
#include "Scheduling/SubmissionForecast.h"

namespace dandelionloom::test {

/// Row of a table of arrivals: each of the teams sends its jobs evenly over the time, or all at
/// once if that is 0. Times from the begin of the load.
struct ArrivalRow
{
    /// The teams are named by this prefix and a number.
    std::string team;
    int teams = 1;
    /// Weight of each of the teams.
    std::int64_t weight = 0;
    int jobsOfTeam = 0;
    std::int64_t fromMs = 0;
    std::int64_t durationMs = 0;
    std::int64_t priority = 1;
    /// Tasks of a job, of one core and taskMs each.
    std::uint32_t tasks = 8;
};

/// Teams that share a pool of instances of 16 cores.
struct ContendedLoad
{
    std::vector<ArrivalRow> arrivals;
    int workers = 12;
    /// False for a leader that accepts what it would refuse.
    bool refuses = true;
};

struct ContendedJob
{
    std::string id;
    /// ArrivalRow::team.
    std::string row;
    std::string team;
    std::int64_t arrivesAtMs = 0;
    std::int64_t priority = 1;
    std::uint32_t tasks = 0;

    SubmissionVerdict verdict = SubmissionVerdict::Accepted;
    std::int64_t retryAfterMs = 0;
    /// Time from the submission to the record of its completion.
    std::optional<std::int64_t> tookMs;

    bool isAccepted() const { return verdict == SubmissionVerdict::Accepted; }
    bool wasOnTime() const;
    bool wasOfUse() const;
};

struct ContendedResult
{
    std::vector<ContendedJob> jobs;
    /// Core-milliseconds of the running tasks of each team, while every team of the load has tasks
    /// that wait.
    std::map<std::string, double> coreMsWhileAllWait;
};

struct ContendedCounts
{
    int jobs = 0;
    int refused = 0;
    int onTime = 0;
    int ofUse = 0;
};

/// Counts of all jobs, of the jobs of a row or of those of a team.
ContendedCounts countsOf(const ContendedResult &result);
ContendedCounts countsOfRow(const ContendedResult &result, const std::string &row);
std::map<std::string, ContendedCounts> countsByTeam(const ContendedResult &result);

std::string describe(const ContendedCounts &counts);

/// Plays the load with the leader's decisions: shares and refusals as JobService takes them, and
/// the placement of the dispatcher. A refused caller doesn't return.
ContendedResult replayContendedLoad(const ContendedLoad &load, std::uint64_t seed);

} // namespace dandelionloom::test
