#include "Scheduling/TurnForecast.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <optional>
#include <set>

#include "Scheduling/JobTypes.h"

namespace dandelionloom {

namespace {

/// Turns that are kept; several rounds of all services.
constexpr std::size_t maxTurns = 64;

/// Number of past turns whose median length is expected of the next one.
constexpr std::size_t turnsForLength = 3;

/// Bins of the longest turn that is recorded in full, a minute.
constexpr std::size_t maxBins = 240;

/// Share of a service's work that may have arrived before and after the main part of its turn.
constexpr double ignoredShare = 0.1;

/// Thousandths of a core that kept up with the work of a turn while most of it arrived. Between two
/// turns there may be a pause.
double milliOf(const TurnHistory::Turn &turn)
{
    const double total = std::accumulate(turn.coreMsByBin.begin(), turn.coreMsByBin.end(), 0.0);
    double before = 0;
    std::int64_t busyBins = 0;
    for (const double coreMs : turn.coreMsByBin) {
        before += coreMs;
        busyBins += before >= total * ignoredShare && before - coreMs <= total * (1 - ignoredShare)
                ? 1
                : 0;
    }
    return total * (1 - 2 * ignoredShare) * milliPerCore
            / static_cast<double>(std::max<std::int64_t>(busyBins, 1) * TurnHistory::binMs);
}

void addToTurn(TurnHistory::Turn &turn, double coreMs, SteadyTimeMs now)
{
    const auto bin = static_cast<std::size_t>((now - turn.startedAt) / TurnHistory::binMs);
    // A service whose turn never ends needs no finer record.
    const std::size_t index = std::min(bin, maxBins - 1);
    if (turn.coreMsByBin.size() <= index) {
        turn.coreMsByBin.resize(index + 1);
    }
    turn.coreMsByBin[index] += coreMs;
}

struct Dominant
{
    std::string service;
    double coreMs = 0;
};

/// The service that receives most of the work in the window.
std::optional<Dominant> dominantService(const TurnHistory &history,
                                        const TurnForecastOptions &options)
{
    double total = 0;
    Dominant dominant;
    for (const auto &[service, coreMs] : history.coreMsInWindow) {
        total += coreMs;
        if (coreMs > dominant.coreMs) {
            dominant = {service, coreMs};
        }
    }
    const auto arrivals = static_cast<std::size_t>(
            std::count_if(history.window.begin(), history.window.end(), [&](const auto &arrival) {
                return arrival.service == dominant.service;
            }));
    const double milli = dominant.coreMs * milliPerCore / static_cast<double>(options.windowMs);
    double minMilli = history.turns.empty() ? 0 : std::numeric_limits<double>::infinity();
    for (const TurnHistory::Turn &turn : history.turns) {
        minMilli = std::min(minMilli, milliOf(turn) * options.minRateShare);
    }
    if (dominant.coreMs < total * options.dominantShare || arrivals < options.minArrivals
        || milli < minMilli) {
        return std::nullopt;
    }
    return dominant;
}

/// Time from which the dominant service has received its work, without the few jobs before.
SteadyTimeMs startOf(const TurnHistory &history, const Dominant &dominant)
{
    double coreMs = 0;
    for (const TurnHistory::Arrival &arrival : history.window) {
        coreMs += arrival.service == dominant.service ? arrival.coreMs : 0;
        if (coreMs >= dominant.coreMs * ignoredShare) {
            return arrival.at;
        }
    }
    return history.window.back().at;
}

std::int64_t lengthOf(const TurnHistory &history, std::size_t turn)
{
    return history.turns[turn + 1].startedAt - history.turns[turn].startedAt;
}

/// Median length of the last complete turns; 0 without any.
std::int64_t expectedLength(const TurnHistory &history)
{
    const std::size_t complete = history.turns.empty() ? 0 : history.turns.size() - 1;
    std::vector<std::int64_t> lengths;
    for (std::size_t turn = complete - std::min(complete, turnsForLength); turn < complete;
         ++turn) {
        lengths.push_back(lengthOf(history, turn));
    }
    if (lengths.empty()) {
        return 0;
    }
    std::sort(lengths.begin(), lengths.end());
    return lengths[lengths.size() / 2];
}

/// Index of the service's last turn before the current one; none if it had no turn.
std::optional<std::size_t> lastTurnOf(const TurnHistory &history, const std::string &service)
{
    for (std::size_t turn = history.turns.size() - 1; turn-- > 0;) {
        if (history.turns[turn].service == service) {
            return turn;
        }
    }
    return std::nullopt;
}

/// Services whose turn may be next.
std::vector<std::string> expectedServices(const TurnHistory &history,
                                          const std::vector<std::string> &services)
{
    const std::string &current = history.turns.back().service;
    if (const auto before = lastTurnOf(history, current)) {
        return {history.turns[*before + 1].service};
    }
    std::vector<std::string> withoutTurn;
    std::vector<std::string> longestAgo;
    std::size_t earliest = history.turns.size();
    for (const std::string &service : services) {
        if (service == current) {
            continue;
        }
        const auto turn = lastTurnOf(history, service);
        if (!turn) {
            withoutTurn.push_back(service);
        } else if (*turn < earliest) {
            earliest = *turn;
            longestAgo = {service};
        }
    }
    return withoutTurn.empty() ? longestAgo : withoutTurn;
}

void addToWindow(TurnHistory &history, const std::string &service, double coreMs, SteadyTimeMs now,
                 const TurnForecastOptions &options)
{
    history.window.push_back({now, service, coreMs});
    history.coreMsInWindow[service] += coreMs;
    while (now - history.window.front().at > options.windowMs) {
        const TurnHistory::Arrival &oldest = history.window.front();
        history.coreMsInWindow[oldest.service] -= oldest.coreMs;
        history.window.pop_front();
    }
}

} // namespace

void recordArrival(TurnHistory &history, const std::string &service, double coreMs,
                   SteadyTimeMs now, const TurnForecastOptions &options)
{
    addToWindow(history, service, coreMs, now, options);
    if (!history.turns.empty() && history.turns.back().service == service) {
        addToTurn(history.turns.back(), coreMs, now);
        return;
    }
    const auto dominant = dominantService(history, options);
    if (!dominant
        || (!history.turns.empty() && history.turns.back().service == dominant->service)) {
        return;
    }
    const SteadyTimeMs startedAt = startOf(history, *dominant);
    if (!history.turns.empty() && startedAt - history.turns.back().startedAt < options.minTurnMs) {
        history.turns.pop_back();
        if (!history.turns.empty() && history.turns.back().service == dominant->service) {
            return;
        }
    }
    history.turns.push_back({dominant->service, startedAt, {}});
    for (const TurnHistory::Arrival &arrival : history.window) {
        if (arrival.service == dominant->service && arrival.at >= startedAt) {
            addToTurn(history.turns.back(), arrival.coreMs, arrival.at);
        }
    }
    if (history.turns.size() > maxTurns) {
        history.turns.erase(history.turns.begin());
    }
}

std::vector<TurnForecast> nextTurn(const TurnHistory &history,
                                   const std::vector<std::string> &services,
                                   const TurnForecastOptions &options)
{
    const std::int64_t length = expectedLength(history);
    if (length < options.minTurnMs) {
        return {};
    }
    const std::size_t complete = history.turns.size() - 1;
    double sum = 0;
    for (std::size_t turn = 0; turn < complete; ++turn) {
        sum += milliOf(history.turns[turn]);
    }
    std::vector<TurnForecast> forecasts;
    for (const std::string &service : expectedServices(history, services)) {
        if (std::find(services.begin(), services.end(), service) == services.end()) {
            continue;
        }
        // A service without a turn of its own is expected to receive as much as the others.
        const auto turn = lastTurnOf(history, service);
        const double milli =
                turn ? milliOf(history.turns[*turn]) : sum / static_cast<double>(complete);
        forecasts.push_back({service, history.turns.back().startedAt + length,
                             static_cast<std::int64_t>(milli)});
    }
    return forecasts;
}

bool isDue(const TurnForecast &forecast, SteadyTimeMs now, const TurnForecastOptions &options)
{
    return now >= forecast.startsAt - options.leadMs && now <= forecast.startsAt + options.graceMs;
}

bool hadTurn(const TurnHistory &history, const std::string &service)
{
    return std::any_of(history.turns.begin(), history.turns.end(),
                       [&service](const auto &turn) { return turn.service == service; });
}

bool isOrderKnown(const TurnHistory &history)
{
    std::set<std::string> seen;
    return std::any_of(history.turns.begin(), history.turns.end(),
                       [&seen](const auto &turn) { return !seen.insert(turn.service).second; });
}

} // namespace dandelionloom
