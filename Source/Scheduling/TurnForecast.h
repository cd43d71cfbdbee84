#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Model/Time.h"

namespace dandelionloom {

struct TurnForecastOptions
{
    /// Window in which the services' shares of the arriving work are compared. Long enough for the
    /// smallest queue in use, which receives five jobs a second at its peak.
    std::int64_t windowMs = 800;
    /// Share of the arriving work, and the number of jobs in the window, from which a service is in
    /// its turn.
    double dominantShare = 0.6;
    std::size_t minArrivals = 3;
    /// Least rate of work in a turn, as a fraction of the lowest of the turns so far. Between turns
    /// a few jobs are enough to dominate.
    double minRateShare = 0.25;
    /// Shortest time that counts as a turn. Shorter ones are bursts.
    std::int64_t minTurnMs = 1500;
    /// Time before a turn at which its work is foreseen: a move takes 1.5 s, and the first renewal
    /// of a new worker 0.3 s more.
    std::int64_t leadMs = 1900;
    /// Time after its expected start at which a turn that has not begun is given up.
    std::int64_t graceMs = 800;
};

/// Record of the turns in which services receive most of the work.
struct TurnHistory
{
    struct Arrival
    {
        SteadyTimeMs at = 0;
        std::string service;
        double coreMs = 0;
    };
    struct Turn
    {
        std::string service;
        SteadyTimeMs startedAt = 0;
        /// Core-milliseconds of the work that arrived for the service in each binMs of its turn.
        std::vector<double> coreMsByBin;
    };
    static constexpr std::int64_t binMs = 250;
    /// Arrivals within the window, and the work of each service in it.
    std::deque<Arrival> window;
    std::map<std::string, double> coreMsInWindow;
    /// The last one goes on.
    std::vector<Turn> turns;
};

/// Records a job of `coreMs` core-milliseconds that arrived for a service. Times must not decrease.
void recordArrival(TurnHistory &history, const std::string &service, double coreMs,
                   SteadyTimeMs now, const TurnForecastOptions &options = {});

/// Work that a service is expected to receive in its next turn.
struct TurnForecast
{
    std::string service;
    SteadyTimeMs startsAt = 0;
    /// Thousandths of a core that keep up with it.
    std::int64_t milli = 0;
};

/// Foresees the next turn. Answers a load in which the services' demand peaks one after another for
/// some seconds and exceeds the capacity of their pools: an instance that moves once the peak is
/// seen arrives when half of it is over. After a turn comes the service that followed it before;
/// while no order is known, one of those that have not had a turn, or the one whose turn is longest
/// ago. Returns each service whose turn may be next; none while no turn has ended. `services` are
/// the ones that may have a turn.
std::vector<TurnForecast> nextTurn(const TurnHistory &history,
                                   const std::vector<std::string> &services,
                                   const TurnForecastOptions &options = {});

/// True while the turn is close enough to prepare for it, or has just begun.
bool isDue(const TurnForecast &forecast, SteadyTimeMs now, const TurnForecastOptions &options = {});

bool hadTurn(const TurnHistory &history, const std::string &service);

/// True once a service has had two turns, which shows in what order they come.
bool isOrderKnown(const TurnHistory &history);

} // namespace dandelionloom
