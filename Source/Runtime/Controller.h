#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "Decisions/Lifecycle.h"
#include "Decisions/Waves.h"
#include "Model/Endpoint.h"
#include "Ports/DecisionLog.h"
#include "Ports/MetricSink.h"
#include "Ports/Platform.h"
#include "Ports/ReplicatedLog.h"
#include "Runtime/PoolPlanner.h"

namespace dandelionloom {

struct ControllerOptions
{
    /// Pause between two passes.
    Milliseconds interval{1000};
    /// Lease of the lists at a gateway. A gateway that was not heard for longer, and a margin, has
    /// stopped working from older lists.
    Milliseconds listsLease{10000};
    LifecycleLimits lifecycle;
    WaveLimits waves;
    PoolPlannerOptions pools;
};

/// Where one target of a wave is, and why it makes no step now.
struct WaveTargetStatus
{
    std::string instance;
    std::string phase;
    std::string reason;
};

/// Everything the controller works with; all references outlive it.
struct ControllerPorts
{
    ReplicatedLog &log;
    /// Null without a platform: waves and moves then wait.
    Platform *platform = nullptr;
    std::function<std::vector<EndpointRecord>()> endpoints;
    /// Slots in use or waited for at all gateways, by service.
    std::function<std::map<std::string, double>()> demand;
    DecisionLog &decisions;
    MetricSink &metrics;
};

/// Carries instances through failure, maintenance and moves while this entry instance leads the
/// log. One thread; every step is an agreed record or an idempotent platform command, so a new
/// leader continues where the old one stopped.
class Controller
{
public:
    Controller(ControllerPorts ports, ControllerOptions options);
    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    void start();
    void stop();
    /// One pass. Called by the thread, and by tests.
    void runOnce(SteadyTimeMs nowMs);

    /// State of all targets of a wave that have not finished, from this entry instance's view.
    /// Works on every entry instance; the leader also tells what a drain waits for. Thread-safe.
    std::vector<WaveTargetStatus> explainWave(const std::string &wave) const;

private:
    /// What this leader has observed of an instance since it leads.
    struct Observation
    {
        std::uint64_t epoch = 0;
        std::uint64_t seenAtIndex = 0;
        bool commandAcknowledged = false;
        bool endpointServing = false;
        SteadyTimeMs endpointSince = 0;
        bool checkPlatform = true;
        LifecycleReason lastReason = LifecycleReason::Healthy;
    };

    void run();
    std::set<std::string> servingInstances(const Fleet &fleet, SteadyTimeMs nowMs) const;
    void observe(const Fleet &fleet, SteadyTimeMs nowMs);
    WaveObservations waveObservations(const Fleet &fleet, SteadyTimeMs nowMs) const;
    void stepWaves(const Fleet &fleet, SteadyTimeMs nowMs);
    void stepMoves(const Fleet &fleet, const Lists &lists, const WavePlan &waves,
                   const WaveObservations &observations);
    void reportRollOut(const Fleet &fleet);
    void releaseDrains(const WavePlan &plan);
    void grantDrains(const WavePlan &plan);
    void advance(const InstanceRecord &record, const Fleet &fleet,
                 const std::vector<ReplicaProgress> &gateways, SteadyTimeMs nowMs);
    LifecycleFacts factsOf(const InstanceRecord &record, const Fleet &fleet,
                           const std::vector<ReplicaProgress> &gateways, SteadyTimeMs nowMs);
    bool confirmedByGateways(std::uint64_t index,
                             const std::vector<ReplicaProgress> &gateways) const;
    void perform(const InstanceRecord &record, const LifecycleStep &step,
                 std::int64_t drainLimitMs);
    void propose(const InstanceRecord &record, const LifecycleStep &step, CommandBody body);
    void noteWaiting(const std::string &instance, LifecycleReason reason);
    void logStep(const InstanceRecord &record, const LifecycleStep &step);

    ControllerPorts m_ports;
    const ControllerOptions m_options;
    std::map<std::string, Observation> m_observations;
    PoolPlanner m_planner;
    bool m_leading = false;
    SteadyTimeMs m_leadingSince = 0;

    mutable std::mutex m_waitingMutex;
    std::map<std::string, WaitingFor> m_waitingFor;

    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dandelionloom
