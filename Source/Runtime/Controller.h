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
    /// Lease under which a gateway uses its copy of the lists. A gateway that was silent for longer
    /// than this lease plus a margin has stopped routing by older lists.
    Milliseconds listsLease{10000};
    LifecycleLimits lifecycle;
    WaveLimits waves;
    PoolPlannerOptions pools;
};

/// Phase of one wave target, and the reason why it doesn't advance now.
struct WaveTargetStatus
{
    std::string instance;
    std::string phase;
    std::string reason;
};

/// Dependencies of the controller. All references must outlive it.
struct ControllerPorts
{
    ReplicatedLog &log;
    /// Null if no platform is configured; waves and moves then wait.
    Platform *platform = nullptr;
    std::function<std::vector<EndpointRecord>()> endpoints;
    /// Slots in use or waited for at all gateways, by service.
    std::function<std::map<std::string, double>()> demand;
    DecisionLog &decisions;
    MetricSink &metrics;
};

/// Advances instances through failure, maintenance and moves while this entry instance is the
/// leader of the log. Runs on one thread. Every step is a committed record or an idempotent
/// platform command, so a new leader continues where the previous one stopped.
class Controller
{
public:
    Controller(ControllerPorts ports, ControllerOptions options);
    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    void start();
    void stop();
    /// Runs one pass. Called by the controller's thread, and directly by tests.
    void runOnce(SteadyTimeMs nowMs);

    /// Returns the status of all targets of a wave that have not finished, as this entry instance
    /// knows it. Can be called on every entry instance; only the leader knows what a drain waits
    /// for. Thread-safe.
    std::vector<WaveTargetStatus> explainWave(const std::string &wave) const;

private:
    /// Observations of one instance since this entry instance became the leader.
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
    LifecycleFacts lifecycleFacts(const InstanceRecord &record, const Fleet &fleet,
                                  const std::vector<ReplicaProgress> &gateways, SteadyTimeMs nowMs);
    bool confirmedByGateways(std::uint64_t index,
                             const std::vector<ReplicaProgress> &gateways) const;
    void perform(const InstanceRecord &record, const LifecycleStep &step,
                 std::int64_t drainLimitMs);
    void propose(const InstanceRecord &record, const LifecycleStep &step, CommandBody body);
    void recordWait(const std::string &instance, LifecycleReason reason);
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
    std::condition_variable m_stopCondition;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dandelionloom
