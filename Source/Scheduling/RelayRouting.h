#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "Model/Time.h"

namespace dandelionloom {

struct RelayRoutingOptions
{
    /// Number of workers that a leader calls itself. Each worker costs it about 0.3 ms of processor
    /// time a second under load, and up to four descriptors.
    std::size_t maxDirectWorkers = 150;
    /// A relay that has not answered for this long is not used. It is asked several times within
    /// it, and the runs behind it have a lease of seconds.
    std::int64_t relaySilenceMs = 700;
    /// A relay that takes longer than this to accept a batch delays starts noticeably.
    std::int64_t maxAcceptMs = 250;
    /// Time for which a worker that did not answer through a relay is called another way, and for
    /// which a relay that returned nothing is not used. Doubles
    /// with each failure up to the maximum, as the relay may be cut off from the worker for long.
    std::int64_t avoidMs = 3000;
    std::int64_t maxAvoidMs = 24000;
};

/// State of another control instance that can make calls to workers, as known to the leader.
struct RelayView
{
    std::string availabilityZone;
    /// Time of its last answer; 0 if it failed or was not asked since.
    SteadyTimeMs heardAt = 0;
    /// Time that it took to accept the last batch.
    std::int64_t acceptMs = 0;
    /// Time of its last message with results of calls.
    SteadyTimeMs returnedAt = 0;
    /// Not used until then, as it accepted calls and returned nothing.
    SteadyTimeMs avoidUntil = 0;
};

/// How one worker was called lately.
struct WorkerRoute
{
    /// Relay that is avoided until `avoidUntil`; empty for none.
    std::string avoided;
    SteadyTimeMs avoidUntil = 0;
    /// Consecutive failures through a relay.
    std::uint32_t failures = 0;
    SteadyTimeMs usedAt = 0;
};

bool isUsable(const RelayView &relay, SteadyTimeMs now, const RelayRoutingOptions &options);

/// Returns the relay for calls to a worker, or an empty string if the leader should call it itself.
/// Answers a load that grows with the number of workers: the calls of 1,100 workers take more than
/// the processor and the descriptors of one control instance. Relays in the worker's zone come
/// first, so that a cut zone affects its own workers only; among equals a hash of both names
/// decides, so that each relay keeps its workers and their connections when another one fails.
std::string chooseRelay(const std::map<std::string, RelayView> &relays, const std::string &worker,
                        const std::string &availabilityZone, const WorkerRoute &route,
                        SteadyTimeMs now, const RelayRoutingOptions &options);

/// Records that a worker did not answer through a relay.
void recordRelayFailure(WorkerRoute &route, const std::string &relay, SteadyTimeMs now,
                        const RelayRoutingOptions &options);

} // namespace dandelionloom
