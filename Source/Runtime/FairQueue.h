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
#include "Runtime/WorkQueue.h"
#include "State/StateStore.h"

namespace dandelionloom {

struct FairQueueOptions
{
    std::string availabilityZone;
    /// Seed of the choice between equal endpoints.
    std::uint64_t seed = 1;
    AdmissionLimits admission;
    RunTimeLimits runTimes;
    EjectionLimits ejection;
    /// Part of an endpoint's slots that long work may hold.
    double longShareOfEndpoint = 0.75;
    /// This gateway's part of a plan's allowance, from 0 to 1; all of it if empty.
    std::function<double(const std::string &plan)> allowanceShare;
    /// Slots of an endpoint that this gateway keeps to while the pool is full; all if empty.
    std::function<std::uint32_t(const Announcement &)> slotShare;
    /// True while the lists lease has ended: only endpoints of the own zone are used.
    std::function<bool()> ownZoneOnly;
};

/// Slots that a gateway uses and waits for, told to the other gateways.
struct GatewayLoad
{
    std::map<std::string, double> byPlan;
    std::map<std::string, double> byService;
};

/// Grants slots of a service as the admission and routing decisions say. Each service has its own
/// lock.
class FairQueue : public WorkQueue
{
public:
    FairQueue(FairQueueOptions options, const EndpointTable &table, const StateStore &state);

    Result<Slot, SlotRefusal> acquire(const WorkItem &item) override;
    void release(const Slot &slot, AttemptJudgement result) override;
    void requestEnded(const std::string &service,
                      const std::vector<JudgedAttempt> &attempts) override;
    void endpointsChanged(const std::string &service) override;

    GatewayLoad load() const;

private:
    struct Waiter
    {
        const WorkItem *item = nullptr;
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
        /// Started beyond the slot shares, to learn whether the pool is still full.
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
        /// Rebuilt when the endpoints or the agreed fleet have changed.
        RoutingFacts facts;
        EndpointList endpoints;
        std::shared_ptr<const Fleet> fleet;
        /// Endpoints that refused because their slots were taken, and until when they rest.
        std::map<std::string, SteadyTimeMs> restingUntil;
        std::uint32_t refusalsInARow = 0;
        SteadyTimeMs sharesUntil = 0;
        SteadyTimeMs probeAt = 0;
        std::uint32_t probesInARow = 0;
        /// The grant in progress is a probe.
        bool probing = false;
        SteadyTimeMs overrunsCheckedAt = 0;
        std::uint64_t nextTicket = 1;
        std::mt19937_64 random;
    };

    std::shared_ptr<Service> serviceOf(const std::string &name);
    PlanShare shareOf(const std::string &plan) const;
    Urgency urgencyOf(const std::string &plan) const;
    // The functions below need the service's lock.
    std::optional<SlotRefusal> enqueue(Service &service, Waiter &waiter);
    void rebuildFacts(Service &service) const;
    void refresh(Service &service, SteadyTimeMs now) const;
    ServiceCapacity capacityOf(const Service &service) const;
    void dispatch(Service &service);
    /// Lets one request try beyond the shares if it is time for it; true if it may.
    bool startProbe(Service &service, SteadyTimeMs now) const;
    static void noteProbe(Service &service, AttemptJudgement result, SteadyTimeMs now);
    bool grant(Service &service, Waiter &waiter, SteadyTimeMs now);
    void noteRefusal(Service &service, const std::string &instance, SteadyTimeMs now) const;
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
