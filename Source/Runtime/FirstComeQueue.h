#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "Model/Fleet.h"
#include "Runtime/EndpointTable.h"
#include "Runtime/WorkQueue.h"
#include "State/StateStore.h"

namespace dandelionloom {

struct FirstComeQueueOptions
{
    std::string availabilityZone;
    /// Seed of the choice between equal endpoints.
    std::uint64_t seed = 1;
    /// Slots of an endpoint that this gateway may use; all of them if empty.
    std::function<std::uint32_t(const Announcement &)> slotShare;
    /// Whether the gateway keeps new work away from the instance; never if empty.
    std::function<bool(const std::string &instance, SteadyTimeMs now)> ejected;
};

/// Grants slots of a service in the order of the requests. Each service has its own lock.
class FirstComeQueue : public WorkQueue
{
public:
    FirstComeQueue(FirstComeQueueOptions options, const EndpointTable &table,
                   const StateStore &state);

    Result<Slot, SlotRefusal> acquire(const WorkItem &item) override;
    void release(const Slot &slot) override;
    void endpointsChanged(const std::string &service) override;

private:
    struct Waiter
    {
        const WorkItem *item = nullptr;
        std::optional<Slot> slot;
        RoutingReason reason = RoutingReason::NoEndpoint;
        std::condition_variable granted;
    };
    struct InFlight
    {
        std::uint32_t all = 0;
        std::uint32_t longWork = 0;
    };
    struct Service
    {
        std::mutex mutex;
        std::deque<Waiter *> waiters;
        std::map<std::string, InFlight> inFlight;
        /// Rebuilt when the endpoints or the agreed fleet have changed.
        RoutingFacts facts;
        EndpointList endpoints;
        std::shared_ptr<const Fleet> fleet;
        std::mt19937_64 random;
    };

    std::shared_ptr<Service> serviceOf(const std::string &name);
    void refresh(const std::string &name, Service &service) const;
    /// Grants slots to the first waiters until one has to wait. Needs the service's lock.
    void dispatch(const std::string &name, Service &service) const;
    bool grant(const std::string &name, Service &service, Waiter &waiter) const;

    const FirstComeQueueOptions m_options;
    const EndpointTable &m_table;
    const StateStore &m_state;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Service>> m_services;
};

} // namespace dandelionloom
