#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Decisions/Waves.h"
#include "Model/Fleet.h"
#include "Model/Lists.h"

namespace dandelionloom::test {

/// A fleet with its lists, changed only through the commands of FleetRules.
struct FleetFixture
{
    Fleet fleet;
    Lists lists;
    WaveObservations observations;
    WaveLimits limits;
    WallTimeMs nowMs = 1000000;

    /// Adds `count` instances, `perRack` to a rack, and distributes the racks round-robin over the
    /// zones.
    void addPool(const std::string &pool, std::uint32_t count, std::uint32_t perRack = 4,
                 std::uint32_t zones = 3);
    void addPlan(const std::string &pool, std::uint32_t minHealthy, std::uint32_t maxUnavailable);
    void startWave(const std::string &id, const std::vector<std::string> &targets);
    void control(const std::string &id, WaveState state);
    std::vector<std::string> members(const std::string &pool) const;

    WavePlan plan() const;
    /// Applies the releases and grants of a plan. FleetRules must accept each.
    void apply(const WavePlan &plan);
    WavePlan planAndApply();

    InstanceRecord &record(const std::string &id) { return fleet.instances.at(id); }
    void setPhase(const std::string &id, InstancePhase phase);
    void fail(const std::string &id);
    /// Fails all instances in the rack or zone of `id`.
    void failDomain(const std::string &id, FailureDomain domain);
    /// Advances each drain by one phase, and proving instances to in service.
    void advancePhases();

    std::uint32_t unavailable(const std::string &pool) const;
    std::uint32_t healthy(const std::string &pool) const;
};

/// The reason that `plan` gives for a target, or an empty text if it names the target nowhere.
std::string reasonFor(const WavePlan &plan, const std::string &instance);

} // namespace dandelionloom::test
