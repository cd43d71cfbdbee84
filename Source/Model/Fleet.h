#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Model/EnumNames.h"

namespace dandelionloom {

/// Name of the pool of instances that are currently not assigned to a service.
inline constexpr const char *sparePool = "spare";

/// Lifecycle phase of an instance in its pool. Every phase except InService counts against the
/// availability budget of the pool's plans.
enum class InstancePhase { InService, Draining, Drained, Rebooting, Proving, Failed };
inline constexpr EnumNames<InstancePhase, 6> instancePhaseNames{
        {"in-service", "draining", "drained", "rebooting", "proving", "failed"}};

/// True if gateways may send new work to an instance in this phase. A proving instance is verified
/// by serving requests. A failed instance whose endpoint announces itself has recovered: the
/// endpoint leases at the gateways are more recent than the replicated record.
inline bool acceptsNewWork(InstancePhase phase)
{
    return phase == InstancePhase::InService || phase == InstancePhase::Proving
            || phase == InstancePhase::Failed;
}

/// State of an instance as reported by the platform.
enum class PlatformInstanceState { Running, Draining, Drained, Rebooting };
inline constexpr EnumNames<PlatformInstanceState, 4> platformInstanceStateNames{
        {"running", "draining", "drained", "rebooting"}};

/// Replicated record of one instance. `epoch` increases with every change and fences commands that
/// were issued for an earlier state.
struct InstanceRecord
{
    std::string id;
    std::string pool;
    std::string availabilityZone;
    std::string rack;
    std::uint64_t epoch = 0;
    InstancePhase phase = InstancePhase::InService;
    /// Wave or move that holds the drain grant; empty if there is none.
    std::string grantHolder;
    /// Target pool of a move in progress; empty if there is none.
    std::string movingTo;
    std::int64_t phaseSinceMs = 0;
    std::int64_t lastMaintainedMs = 0;

    bool operator==(const InstanceRecord &) const = default;
    MSGPACK_DEFINE_ARRAY(id, pool, availabilityZone, rack, epoch, phase, grantHolder, movingTo,
                         phaseSinceMs, lastMaintainedMs)
};

enum class WaveState { Running, Paused, Cancelled, Finished };
inline constexpr EnumNames<WaveState, 4> waveStateNames{
        {"running", "paused", "cancelled", "finished"}};

/// A maintenance wave: each target is drained, rebooted and verified once.
struct Wave
{
    std::string id;
    WaveState state = WaveState::Running;
    std::vector<std::string> targets;
    std::vector<std::string> finished;
    std::int64_t startedAtMs = 0;
    std::int64_t endedAtMs = 0;
    /// Grace period in which running work may complete before it is stopped, in milliseconds.
    std::uint32_t drainLimitMs = 60000;

    bool operator==(const Wave &) const = default;
    MSGPACK_DEFINE_ARRAY(id, state, targets, finished, startedAtMs, endedAtMs, drainLimitMs)
};

struct Fleet
{
    std::map<std::string, InstanceRecord> instances;
    std::map<std::string, Wave> waves;

    bool operator==(const Fleet &) const = default;
    MSGPACK_DEFINE_ARRAY(instances, waves)
};

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::InstancePhase)
MSGPACK_ADD_ENUM(dandelionloom::WaveState)
