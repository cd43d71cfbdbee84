#include "State/FleetRules.h"

#include <algorithm>
#include <limits>

namespace dandelionloom {

namespace {

CommandOutcome rejectedOutcome(CommandStatus status, std::uint64_t epoch, std::string message)
{
    return {status, epoch, std::move(message), {}};
}

CommandOutcome appliedOutcome(std::uint64_t epoch)
{
    return {CommandStatus::Applied, epoch, {}, {}};
}

/// Finds an instance that has the expected epoch. Otherwise sets `outcome` and returns nullptr.
InstanceRecord *findAtEpoch(Fleet &fleet, const std::string &id, std::uint64_t expectedEpoch,
                            CommandOutcome &outcome)
{
    const auto found = fleet.instances.find(id);
    if (found == fleet.instances.end()) {
        outcome = rejectedOutcome(CommandStatus::Invalid, 0,
                                  "instance '" + id + "' is not registered");
        return nullptr;
    }
    if (found->second.epoch != expectedEpoch) {
        outcome =
                rejectedOutcome(CommandStatus::Conflict, found->second.epoch,
                                "expected epoch " + std::to_string(expectedEpoch) + " of instance '"
                                        + id + "', found " + std::to_string(found->second.epoch));
        return nullptr;
    }
    return &found->second;
}

void enterPhase(InstanceRecord &record, InstancePhase phase, std::int64_t atMs)
{
    record.phase = phase;
    record.phaseSinceMs = atMs;
    ++record.epoch;
    if (phase == InstancePhase::InService) {
        record.grantHolder.clear();
        record.movingTo.clear();
    }
}

bool isAllowedTransition(InstancePhase from, InstancePhase to)
{
    using enum InstancePhase;
    switch (to) {
    case Draining:
        return false; // Requires GrantDrain, which checks the budget.
    case Drained:
        return from == Draining;
    case Rebooting:
        return from == Drained;
    case Proving:
        return from == Rebooting || from == Failed;
    case InService:
        return from == Proving;
    case Failed:
        return from != Failed;
    }
    return false;
}

void markTargetFinished(Fleet &fleet, const std::string &holder, const std::string &instance,
                        std::int64_t atMs)
{
    const auto wave = fleet.waves.find(holder);
    if (wave == fleet.waves.end()) {
        return;
    }
    std::vector<std::string> &finished = wave->second.finished;
    if (std::find(finished.begin(), finished.end(), instance) == finished.end()) {
        finished.push_back(instance);
    }
    if (finished.size() == wave->second.targets.size()
        && wave->second.state == WaveState::Running) {
        wave->second.state = WaveState::Finished;
        wave->second.endedAtMs = atMs;
    }
}

} // namespace

CommandOutcome registerInstance(Fleet &fleet, const RegisterInstance &body, std::int64_t atMs)
{
    const auto found = fleet.instances.find(body.id);
    if (found == fleet.instances.end()) {
        InstanceRecord record;
        record.id = body.id;
        record.pool = body.pool;
        record.availabilityZone = body.availabilityZone;
        record.rack = body.rack;
        record.epoch = 1;
        record.phaseSinceMs = atMs;
        fleet.instances.emplace(body.id, std::move(record));
        return appliedOutcome(1);
    }
    // The pool of a registered instance changes only through MoveInstance. The announced pool is
    // ignored.
    InstanceRecord &record = found->second;
    if (record.availabilityZone != body.availabilityZone || record.rack != body.rack) {
        record.availabilityZone = body.availabilityZone;
        record.rack = body.rack;
        ++record.epoch;
    }
    return appliedOutcome(record.epoch);
}

CommandOutcome moveInstance(Fleet &fleet, const MoveInstance &body, std::int64_t atMs)
{
    CommandOutcome outcome;
    InstanceRecord *record = findAtEpoch(fleet, body.id, body.expectedEpoch, outcome);
    if (record == nullptr) {
        return outcome;
    }
    if (record->phase != InstancePhase::Drained || record->movingTo != body.pool) {
        return rejectedOutcome(CommandStatus::Conflict, record->epoch,
                               "expected instance '" + body.id + "' drained for a move to '"
                                       + body.pool + "', found "
                                       + std::string(instancePhaseNames.name(record->phase))
                                       + " with target '" + record->movingTo + "'");
    }
    record->pool = body.pool;
    enterPhase(*record, InstancePhase::InService, atMs);
    return appliedOutcome(record->epoch);
}

CommandOutcome setInstancePhase(Fleet &fleet, const SetInstancePhase &body, std::int64_t atMs)
{
    CommandOutcome outcome;
    InstanceRecord *record = findAtEpoch(fleet, body.id, body.expectedEpoch, outcome);
    if (record == nullptr) {
        return outcome;
    }
    if (!isAllowedTransition(record->phase, body.phase)) {
        return rejectedOutcome(CommandStatus::Conflict, record->epoch,
                               "instance '" + body.id + "' cannot go from "
                                       + std::string(instancePhaseNames.name(record->phase))
                                       + " to " + std::string(instancePhaseNames.name(body.phase)));
    }
    const std::string holder = record->grantHolder;
    if (record->phase == InstancePhase::Rebooting && body.phase == InstancePhase::Proving) {
        record->lastMaintainedMs = atMs;
    }
    // An instance that fails before its reboot has not been maintained, so it remains a target of
    // its wave.
    const bool failedInDrain = body.phase == InstancePhase::Failed
            && (record->phase == InstancePhase::Draining
                || record->phase == InstancePhase::Drained);
    if (failedInDrain) {
        record->grantHolder.clear();
        record->movingTo.clear();
    }
    const bool returnsToService = body.phase == InstancePhase::InService;
    enterPhase(*record, body.phase, atMs);
    const std::uint64_t epoch = record->epoch;
    if (returnsToService && !holder.empty()) {
        markTargetFinished(fleet, holder, body.id, atMs);
    }
    return appliedOutcome(epoch);
}

CommandOutcome startWave(Fleet &fleet, const StartWave &body, std::int64_t atMs)
{
    if (fleet.waves.contains(body.wave)) {
        return rejectedOutcome(CommandStatus::Conflict, 0,
                               "wave '" + body.wave + "' exists already");
    }
    if (body.targets.empty()) {
        return rejectedOutcome(CommandStatus::Invalid, 0,
                               "expected at least one target instance, found none");
    }
    for (const std::string &target : body.targets) {
        if (!fleet.instances.contains(target)) {
            return rejectedOutcome(CommandStatus::Invalid, 0,
                                   "instance '" + target + "' is not registered");
        }
    }
    Wave wave;
    wave.id = body.wave;
    wave.targets = body.targets;
    std::sort(wave.targets.begin(), wave.targets.end());
    wave.targets.erase(std::unique(wave.targets.begin(), wave.targets.end()), wave.targets.end());
    wave.startedAtMs = atMs;
    wave.drainLimitMs = body.drainLimitMs;
    fleet.waves.emplace(body.wave, std::move(wave));
    return appliedOutcome(0);
}

CommandOutcome controlWave(Fleet &fleet, const ControlWave &body, std::int64_t atMs)
{
    const auto found = fleet.waves.find(body.wave);
    if (found == fleet.waves.end()) {
        return rejectedOutcome(CommandStatus::Invalid, 0,
                               "wave '" + body.wave + "' does not exist");
    }
    Wave &wave = found->second;
    const bool ended = wave.state == WaveState::Cancelled || wave.state == WaveState::Finished;
    if (ended || body.state == WaveState::Finished) {
        return rejectedOutcome(
                CommandStatus::Conflict, 0,
                "wave '" + body.wave + "' is " + std::string(waveStateNames.name(wave.state))
                        + " and cannot become " + std::string(waveStateNames.name(body.state)));
    }
    wave.state = body.state;
    if (body.state == WaveState::Cancelled) {
        wave.endedAtMs = atMs;
    }
    return appliedOutcome(0);
}

CommandOutcome grantDrain(Fleet &fleet, const Lists &lists, const GrantDrain &body,
                          std::int64_t atMs)
{
    CommandOutcome outcome;
    InstanceRecord *record = findAtEpoch(fleet, body.id, body.expectedEpoch, outcome);
    if (record == nullptr) {
        return outcome;
    }
    if (record->phase != InstancePhase::InService) {
        return rejectedOutcome(CommandStatus::Conflict, record->epoch,
                               "expected instance '" + body.id + "' in service, found "
                                       + std::string(instancePhaseNames.name(record->phase)));
    }
    const auto wave = fleet.waves.find(body.holder);
    if (body.movingTo.empty()
        && (wave == fleet.waves.end() || wave->second.state != WaveState::Running)) {
        return rejectedOutcome(CommandStatus::Conflict, record->epoch,
                               "wave '" + body.holder + "' is not running");
    }
    const PoolBudget budget = poolBudget(lists, record->pool);
    const PoolAvailability count = poolAvailability(fleet, record->pool);
    const std::uint32_t unavailable = count.unavailable + body.observedUnavailable + 1;
    const bool withinBudget = unavailable <= budget.maxUnavailableInstances
            && unavailable + budget.minHealthyInstances <= count.members;
    if (budget.bounded && !withinBudget) {
        return rejectedOutcome(CommandStatus::Conflict, record->epoch,
                               "availability budget of pool '" + record->pool
                                       + "' is spent: " + std::to_string(unavailable) + " of "
                                       + std::to_string(count.members)
                                       + " instances would be unavailable, allowed are "
                                       + std::to_string(budget.maxUnavailableInstances) + " with "
                                       + std::to_string(budget.minHealthyInstances) + " healthy");
    }
    enterPhase(*record, InstancePhase::Draining, atMs);
    record->grantHolder = body.holder;
    record->movingTo = body.movingTo;
    return appliedOutcome(record->epoch);
}

CommandOutcome releaseDrain(Fleet &fleet, const ReleaseDrain &body, std::int64_t atMs)
{
    CommandOutcome outcome;
    InstanceRecord *record = findAtEpoch(fleet, body.id, body.expectedEpoch, outcome);
    if (record == nullptr) {
        return outcome;
    }
    if (record->phase != InstancePhase::Draining && record->phase != InstancePhase::Drained) {
        return rejectedOutcome(CommandStatus::Conflict, record->epoch,
                               "expected instance '" + body.id + "' draining or drained, found "
                                       + std::string(instancePhaseNames.name(record->phase)));
    }
    enterPhase(*record, InstancePhase::InService, atMs);
    return appliedOutcome(record->epoch);
}

PoolBudget poolBudget(const Lists &lists, const std::string &pool)
{
    PoolBudget budget;
    budget.maxUnavailableInstances = std::numeric_limits<std::uint32_t>::max();
    for (const auto &[id, plan] : lists.plans) {
        if (plan.service != pool) {
            continue;
        }
        budget.bounded = true;
        budget.minHealthyInstances = std::max(budget.minHealthyInstances, plan.minHealthyInstances);
        budget.maxUnavailableInstances =
                std::min(budget.maxUnavailableInstances, plan.maxUnavailableInstances);
    }
    return budget;
}

PoolAvailability poolAvailability(const Fleet &fleet, const std::string &pool)
{
    PoolAvailability count;
    for (const auto &[id, record] : fleet.instances) {
        if (record.pool != pool) {
            continue;
        }
        ++count.members;
        count.unavailable += record.phase == InstancePhase::InService ? 0 : 1;
    }
    return count;
}

} // namespace dandelionloom
