#include "Runtime/Controller.h"

#include <algorithm>

#include "State/FleetRules.h"

namespace dandelionloom {

namespace {

constexpr Milliseconds proposeTimeout{3000};

/// Covers the time between a gateway's last report to the leader and the start of its lease, which
/// begins when an answer reaches the gateway: at most one long poll and one round trip.
constexpr Milliseconds leaseMargin{5000};

std::string commandId(const InstanceRecord &record, const std::string &verb)
{
    return record.id + "/" + std::to_string(record.epoch) + "/" + verb;
}

std::int64_t drainLimitOf(const InstanceRecord &record, const Fleet &fleet)
{
    const auto wave = fleet.waves.find(record.grantHolder);
    return wave == fleet.waves.end() ? Wave{}.drainLimitMs : wave->second.drainLimitMs;
}

} // namespace

Controller::Controller(ControllerPorts ports, ControllerOptions options)
    : m_ports(std::move(ports)), m_options(options), m_planner(options.pools)
{ }

Controller::~Controller()
{
    stop();
}

void Controller::start()
{
    m_thread = std::thread([this] { run(); });
}

void Controller::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stopCondition.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Controller::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        runOnce(steadyTimeNow());
        lock.lock();
        m_stopCondition.wait_for(lock, m_options.interval, [this] { return m_stopping; });
    }
}

void Controller::runOnce(SteadyTimeMs nowMs)
{
    const LogStatus status = m_ports.log.status();
    if (status.role != LogRole::Leader || !status.ready) {
        m_leading = false;
        return;
    }
    if (!m_leading) {
        const std::lock_guard lock(m_waitingMutex);
        m_waitingFor.clear();
        m_observations.clear();
        m_leading = true;
        m_leadingSince = nowMs;
    }
    // A leader whose process was suspended must learn of a newer leader before it acts on its own
    // observations.
    if (!isOk(m_ports.log.confirmRead(proposeTimeout))) {
        return;
    }
    const auto progress = m_ports.log.progress(proposeTimeout);
    if (!isOk(progress)) {
        return;
    }
    const auto fleet = m_ports.log.state().fleet();
    observe(*fleet, nowMs);
    stepWaves(*fleet, nowMs);
    const auto updatedFleet = m_ports.log.state().fleet();
    for (const auto &[id, record] : updatedFleet->instances) {
        advance(record, *updatedFleet, valueOf(progress), nowMs);
    }
}

std::set<std::string> Controller::servingInstances(const Fleet &fleet, SteadyTimeMs nowMs) const
{
    std::set<std::string> serving;
    for (const EndpointRecord &endpoint : m_ports.endpoints()) {
        const Announcement &announced = endpoint.announcement;
        const auto record = fleet.instances.find(announced.instance);
        if (record != fleet.instances.end() && announced.service == record->second.pool
            && announced.state == EndpointState::Serving && endpoint.leaseEndsAt > nowMs) {
            serving.insert(announced.instance);
        }
    }
    return serving;
}

void Controller::observe(const Fleet &fleet, SteadyTimeMs nowMs)
{
    const std::set<std::string> serving = servingInstances(fleet, nowMs);
    std::erase_if(m_observations,
                  [&](const auto &item) { return !fleet.instances.contains(item.first); });
    for (const auto &[id, record] : fleet.instances) {
        auto [found, isNew] = m_observations.try_emplace(id);
        Observation &observation = found->second;
        const bool servingNow = serving.contains(id);
        if (isNew || observation.endpointServing != servingNow) {
            observation.endpointServing = servingNow;
            observation.endpointSince = nowMs;
        }
    }
}

WaveObservations Controller::waveObservations(const Fleet &fleet, SteadyTimeMs nowMs) const
{
    WaveObservations observations;
    const std::set<std::string> serving = servingInstances(fleet, nowMs);
    for (const auto &[id, record] : fleet.instances) {
        if (record.phase == InstancePhase::InService && record.pool != sparePool
            && !serving.contains(id)) {
            observations.unavailable.insert(id);
        }
    }
    const std::lock_guard lock(m_waitingMutex);
    observations.waitingFor = m_waitingFor;
    return observations;
}

void Controller::stepWaves(const Fleet &fleet, SteadyTimeMs nowMs)
{
    const auto lists = m_ports.log.state().lists();
    const WaveObservations observations = waveObservations(fleet, nowMs);
    const WavePlan plan = planWaves(fleet, *lists, observations, m_options.waves, wallTimeNow());
    releaseDrains(plan);
    grantDrains(plan);
    if (m_ports.demand) {
        m_planner.observeDemand(m_ports.demand(), nowMs);
    }
    stepMoves(fleet, *lists, plan, observations);
    reportRollOut(fleet);
}

void Controller::reportRollOut(const Fleet &fleet)
{
    constexpr double millisecondsPerSecond = 1000;
    for (const auto &[id, wave] : fleet.waves) {
        const WallTimeMs end = wave.endedAtMs > 0 ? wave.endedAtMs : wallTimeNow();
        const std::string labels = "wave=\"" + id + "\"";
        m_ports.metrics.gauge("dandelionloom_wave_roll_out_seconds", labels,
                              static_cast<double>(end - wave.startedAtMs) / millisecondsPerSecond);
        m_ports.metrics.gauge("dandelionloom_wave_finished_targets", labels,
                              static_cast<double>(wave.finished.size()));
    }
}

void Controller::stepMoves(const Fleet &fleet, const Lists &lists, const WavePlan &waves,
                           const WaveObservations &observations)
{
    const MovePlan plan = m_planner.plan(fleet, lists, waves, observations, wallTimeNow());
    for (const PlannedMove &move : plan.moves) {
        const auto result =
                m_ports.log.propose(GrantDrain{move.instance, move.expectedEpoch, moveGrantHolder,
                                               move.to, move.observedUnavailable},
                                    proposeTimeout);
        if (!isOk(result)) {
            return;
        }
        const bool granted = valueOf(result).status == CommandStatus::Applied;
        Decision decision;
        decision.kind = DecisionKind::Move;
        decision.instance = move.instance;
        decision.pool = move.to;
        decision.reason = granted ? "granted: " + std::string(moveReasonNames.name(move.reason))
                                  : "not granted: " + valueOf(result).message;
        decision.listsRevision = lists.revision;
        m_ports.decisions.write(decision);
        m_ports.metrics.count("dandelionloom_moves_total", "pool=\"" + move.to + "\"",
                              granted ? 1 : 0);
    }
    m_ports.metrics.gauge("dandelionloom_buffer_instances", {}, m_planner.capacity().buffer);
    for (const auto &[pool, capacity] : m_planner.capacity().pools) {
        m_ports.metrics.gauge("dandelionloom_pool_size", "pool=\"" + pool + "\"",
                              capacity.instances);
    }
}

void Controller::releaseDrains(const WavePlan &plan)
{
    for (const WaveRelease &release : plan.releases) {
        const auto result = m_ports.log.propose(
                ReleaseDrain{release.instance, release.expectedEpoch}, proposeTimeout);
        Decision decision;
        decision.kind = DecisionKind::Drain;
        decision.instance = release.instance;
        decision.pool = release.pool;
        decision.wave = release.holder;
        decision.reason = "released: " + std::string(waveReasonNames.name(release.reason));
        m_ports.decisions.write(decision);
        if (!isOk(result)) {
            return;
        }
    }
}

void Controller::grantDrains(const WavePlan &plan)
{
    for (const WaveGrant &grant : plan.grants) {
        const auto result = m_ports.log.propose(GrantDrain{grant.instance,
                                                           grant.expectedEpoch,
                                                           grant.wave,
                                                           {},
                                                           grant.observedUnavailable},
                                                proposeTimeout);
        if (!isOk(result)) {
            return;
        }
        const bool granted = valueOf(result).status == CommandStatus::Applied;
        Decision decision;
        decision.kind = DecisionKind::Drain;
        decision.instance = grant.instance;
        decision.pool = grant.pool;
        decision.wave = grant.wave;
        decision.reason = granted ? "granted: " + std::string(waveReasonNames.name(grant.reason))
                                  : "not granted: " + valueOf(result).message;
        decision.listsRevision = m_ports.log.state().lists()->revision;
        m_ports.decisions.write(decision);
    }
}

std::vector<WaveTargetStatus> Controller::explainWave(const std::string &wave) const
{
    const auto fleet = m_ports.log.state().fleet();
    const auto found = fleet->waves.find(wave);
    if (found == fleet->waves.end()) {
        return {};
    }
    const WavePlan plan =
            planWaves(*fleet, *m_ports.log.state().lists(),
                      waveObservations(*fleet, steadyTimeNow()), m_options.waves, wallTimeNow());
    std::map<std::string, std::string> reasons;
    for (const WaveWait &waiting : plan.waits) {
        if (waiting.wave == wave) {
            reasons[waiting.instance] = std::string(waveReasonNames.name(waiting.reason)) + ": "
                    + describeWait(waiting, plan);
        }
    }
    for (const WaveGrant &grant : plan.grants) {
        if (grant.wave == wave) {
            reasons[grant.instance] = "next: " + std::string(waveReasonNames.name(grant.reason));
        }
    }
    const std::set<std::string> finished(found->second.finished.begin(),
                                         found->second.finished.end());
    std::vector<WaveTargetStatus> targets;
    for (const std::string &target : found->second.targets) {
        const auto record = fleet->instances.find(target);
        if (finished.contains(target) || record == fleet->instances.end()) {
            continue;
        }
        targets.push_back({target, std::string(instancePhaseNames.name(record->second.phase)),
                           reasons[target]});
    }
    return targets;
}

void Controller::advance(const InstanceRecord &record, const Fleet &fleet,
                         const std::vector<ReplicaProgress> &gateways, SteadyTimeMs nowMs)
{
    const auto found = m_observations.find(record.id);
    if (found == m_observations.end()) {
        return;
    }
    Observation &observation = found->second;
    if (observation.epoch != record.epoch) {
        observation.epoch = record.epoch;
        observation.seenAtIndex = m_ports.log.state().appliedIndex();
        observation.commandAcknowledged = false;
        observation.checkPlatform = true;
    }
    const LifecycleFacts facts = lifecycleFacts(record, fleet, gateways, nowMs);
    const LifecycleStep step = nextLifecycleStep(facts, m_options.lifecycle);
    recordWait(record.id, step.reason);
    if (step.reason != observation.lastReason) {
        observation.lastReason = step.reason;
        logStep(record, step);
    }
    if (step.action == LifecycleAction::None && facts.platformState) {
        observation.checkPlatform = false;
    }
    perform(record, step, facts.drainLimitMs);
}

void Controller::recordWait(const std::string &instance, LifecycleReason reason)
{
    const std::lock_guard lock(m_waitingMutex);
    switch (reason) {
    case LifecycleReason::WaitingForGateways:
        m_waitingFor[instance] = WaitingFor::Gateways;
        return;
    case LifecycleReason::WaitingForRunningWork:
    case LifecycleReason::DrainLimitPassed:
        m_waitingFor[instance] = WaitingFor::RunningWork;
        return;
    case LifecycleReason::PlatformSilent:
    case LifecycleReason::WaitingForReboot:
        m_waitingFor[instance] = WaitingFor::Platform;
        return;
    default:
        m_waitingFor.erase(instance);
    }
}

LifecycleFacts Controller::lifecycleFacts(const InstanceRecord &record, const Fleet &fleet,
                                          const std::vector<ReplicaProgress> &gateways,
                                          SteadyTimeMs nowMs)
{
    const Observation &observation = m_observations.at(record.id);
    LifecycleFacts facts;
    facts.record = record;
    facts.commandAcknowledged = observation.commandAcknowledged;
    facts.endpointServing = observation.endpointServing;
    facts.endpointConditionMs = nowMs - observation.endpointSince;
    facts.expectsEndpoint = record.pool != sparePool;
    facts.drainLimitMs = drainLimitOf(record, fleet);
    facts.nowMs = wallTimeNow();
    facts.gatewaysConfirmed = confirmedByGateways(observation.seenAtIndex, gateways);
    // The platform is queried for an in-service instance only once after each change of its record:
    // with 22,000 instances, one query per instance and pass would exceed the traffic limit of a
    // node.
    const bool inTransition = record.phase != InstancePhase::InService
            && record.phase != InstancePhase::Failed && record.phase != InstancePhase::Proving;
    if (m_ports.platform != nullptr && (inTransition || observation.checkPlatform)) {
        const auto state = m_ports.platform->state(record.id);
        if (isOk(state)) {
            facts.platformState = valueOf(state);
        }
    }
    return facts;
}

bool Controller::confirmedByGateways(std::uint64_t index,
                                     const std::vector<ReplicaProgress> &gateways) const
{
    const std::int64_t leaseEndMs = (m_options.listsLease + leaseMargin).count();
    return std::all_of(gateways.begin(), gateways.end(), [&](const ReplicaProgress &gateway) {
        if (gateway.appliedIndex >= index) {
            return true;
        }
        const std::int64_t silentMs =
                gateway.heardAgeMs >= 0 ? gateway.heardAgeMs : steadyTimeNow() - m_leadingSince;
        return silentMs > leaseEndMs;
    });
}

void Controller::perform(const InstanceRecord &record, const LifecycleStep &step,
                         std::int64_t drainLimitMs)
{
    const auto acknowledge = [&](const Result<Done, PlatformError> &result) {
        if (isOk(result)) {
            m_observations[record.id].commandAcknowledged = true;
            return;
        }
        m_ports.decisions.event(LogSeverity::Warning, "controller",
                                "platform command for instance '" + record.id
                                        + "' failed: " + errorOf(result).message);
    };
    switch (step.action) {
    case LifecycleAction::None:
        return;
    case LifecycleAction::RequestDrain:
        if (m_ports.platform != nullptr) {
            acknowledge(m_ports.platform->drain({commandId(record, "drain"), record.epoch},
                                                record.id, Milliseconds(drainLimitMs)));
        }
        return;
    case LifecycleAction::RequestUndrain:
        if (m_ports.platform != nullptr) {
            acknowledge(m_ports.platform->undrain({commandId(record, "undrain"), record.epoch},
                                                  record.id));
        }
        return;
    case LifecycleAction::RequestReboot:
        if (m_ports.platform != nullptr) {
            acknowledge(m_ports.platform->reboot({commandId(record, "reboot"), record.epoch},
                                                 record.id));
        }
        return;
    case LifecycleAction::EnterPhase:
        propose(record, step, SetInstancePhase{record.id, record.epoch, step.phase});
        return;
    case LifecycleAction::ChangePool:
        propose(record, step, MoveInstance{record.id, record.epoch, record.movingTo});
        return;
    }
}

void Controller::propose(const InstanceRecord &record, const LifecycleStep &step, CommandBody body)
{
    const auto result = m_ports.log.propose(std::move(body), proposeTimeout);
    const std::string name(lifecycleReasonNames.name(step.reason));
    if (!isOk(result)) {
        m_ports.decisions.event(LogSeverity::Warning, "controller",
                                "step '" + name + "' of instance '" + record.id
                                        + "' was not recorded: " + errorOf(result).message);
        return;
    }
    if (valueOf(result).status != CommandStatus::Applied) {
        m_ports.decisions.event(LogSeverity::Info, "controller",
                                "step '" + name + "' of instance '" + record.id
                                        + "' was refused: " + valueOf(result).message);
        return;
    }
    m_ports.metrics.count("dandelionloom_lifecycle_steps_total", "reason=\"" + name + "\"", 1);
}

void Controller::logStep(const InstanceRecord &record, const LifecycleStep &step)
{
    Decision decision;
    decision.kind = record.movingTo.empty() ? DecisionKind::Drain : DecisionKind::Move;
    decision.instance = record.id;
    decision.pool = record.pool;
    decision.wave = record.grantHolder;
    decision.reason = lifecycleReasonNames.name(step.reason);
    decision.listsRevision = m_ports.log.state().lists()->revision;
    m_ports.decisions.write(decision);
}

} // namespace dandelionloom
