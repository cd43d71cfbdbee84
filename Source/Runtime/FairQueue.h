#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Decisions/Admission.h"
#include "Decisions/Ejection.h"
#include "Decisions/RunTimes.h"
#include "Runtime/EndpointTable.h"
#include "Runtime/SlotQueue.h"
#include "State/StateStore.h"

namespace dandelionloom {

struct FairQueueOptions
{
    std::string availabilityZone;
    /// Seed of the random choice between equally loaded endpoints.
    std::uint64_t seed = 1;
    AdmissionLimits admission;
    RunTimeLimits runTimes;
    EjectionLimits ejection;
    /// Fraction of an endpoint's slots that long work may hold at most.
    double longShareOfEndpoint = 0.75;
    /// This gateway's fraction of a plan's allowance, from 0 to 1. Without this function it is 1.
    std::function<double(const std::string &plan)> allowanceShare;
    /// Slots of an endpoint that this gateway may use while the slot shares are enforced. Without
    /// this function it may use all.
    std::function<std::uint32_t(const Announcement &)> slotShare;
    /// True while the lists lease has ended: only endpoints of the own zone are used.
    std::function<bool()> ownZoneOnly;
};

/// Demand of a gateway in slots, in use and waited for, as reported to the other gateways.
struct DemandReport
{
    std::map<std::string, double> byPlan;
    std::map<std::string, double> byService;
};

/// Grants the slots of each service by weighted fair queueing over the plans and chooses their
/// endpoints, as the admission and routing decisions say. After consecutive busy refusals it
/// enforces slot shares for a short time: it uses only this gateway's share of each endpoint, apart
/// from probes for free slots. Each service has its own lock.
class FairQueue : public SlotQueue
{
public:
    FairQueue(FairQueueOptions options, const EndpointTable &table, const StateStore &state);

    Result<Slot, SlotRefusal> acquire(const SlotRequest &slotRequest) override;
    void release(const Slot &slot, AttemptOutcome result) override;
    void requestEnded(const std::string &service,
                      const std::vector<CompletedAttempt> &attempts) override;
    void endpointsChanged(const std::string &service) override;

    DemandReport demandReport() const;

private:
    struct Waiter
    {
        const SlotRequest *slotRequest = nullptr;
        WaitingRequest request;
        std::optional<Slot> slot;
        std::optional<SlotRefusal> refusal;
        RoutingReason reason = RoutingReason::NoEndpoint;
        std::condition_variable changed;
    };
    struct Running
    {
        WaitingRequest request;
        std::string instance;
        std::string kind;
        SteadyTimeMs startedAt = 0;
        /// Started beyond the enforced slot shares, to learn whether the pool is still full.
        bool isProbe = false;
    };
    struct Service
    {
        std::string name;
        mutable std::mutex mutex;
        ServiceQueue queue;
        ServiceRunTimes runTimes;
        PoolHealth health;
        std::map<std::uint64_t, Waiter *> waiters;
        std::map<std::uint64_t, Running> running;
        /// Rebuilt when the endpoints or the replicated fleet state have changed.
        RoutingFacts facts;
        EndpointList endpoints;
        std::shared_ptr<const Fleet> fleet;
        /// Endpoints that refused because their slots were taken, and until when they get no
        /// request.
        std::map<std::string, SteadyTimeMs> backedOffUntil;
        std::uint32_t consecutiveRefusals = 0;
        SteadyTimeMs sharesEnforcedUntil = 0;
        SteadyTimeMs nextProbeAt = 0;
        std::uint32_t consecutiveProbeSuccesses = 0;
        /// The current dispatch() may grant one probe.
        bool probing = false;
        SteadyTimeMs overrunsCheckedAt = 0;
        std::uint64_t nextTicket = 1;
        std::mt19937_64 random;
    };

    std::shared_ptr<Service> findOrCreateService(const std::string &name);
    PlanShare planShareOf(const std::string &plan) const;
    Urgency urgencyOf(const std::string &plan) const;
    // The functions below must be called with the service's lock held.
    std::optional<SlotRefusal> enqueue(Service &service, Waiter &waiter);
    void rebuildFacts(Service &service) const;
    void refreshEndpoints(Service &service, SteadyTimeMs now) const;
    ServiceCapacity capacityOf(const Service &service) const;
    void dispatch(Service &service);
    /// True if a probe is due and an endpoint has a free slot beyond the shares; then raises the
    /// usable slots of the endpoints for it.
    bool startProbe(Service &service, SteadyTimeMs now) const;
    static void recordProbeResult(Service &service, AttemptOutcome result, SteadyTimeMs now);
    bool grant(Service &service, Waiter &waiter, SteadyTimeMs now);
    void recordBusyRefusal(Service &service, const std::string &instance, SteadyTimeMs now) const;
    void reclassifyOverruns(Service &service, SteadyTimeMs now) const;
    static void refuseWaiter(Service &service, const WaitingRequest &request,
                             AdmissionReason reason);

    const FairQueueOptions m_options;
    const EndpointTable &m_table;
    const StateStore &m_state;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Service>> m_services;
};

} // namespace dandelionloom
