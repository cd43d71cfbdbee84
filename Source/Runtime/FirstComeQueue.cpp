#include "Runtime/FirstComeQueue.h"

#include <algorithm>
#include <utility>

namespace dandelionloom {

namespace {

/// Agreed records change without a notice to the queue, so waiting requests look again this often.
constexpr Milliseconds recheckInterval{50};

bool isOutOfService(const Fleet &fleet, const Announcement &announcement)
{
    const auto found = fleet.instances.find(announcement.instance);
    return found != fleet.instances.end()
            && (found->second.pool != announcement.service || !takesNewWork(found->second.phase));
}

} // namespace

FirstComeQueue::FirstComeQueue(FirstComeQueueOptions options, const EndpointTable &table,
                               const StateStore &state)
    : m_options(std::move(options)), m_table(table), m_state(state)
{ }

std::shared_ptr<FirstComeQueue::Service> FirstComeQueue::serviceOf(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<Service> &service = m_services[name];
    if (!service) {
        service = std::make_shared<Service>();
        service->random.seed(m_options.seed ^ std::hash<std::string>{}(name));
        service->facts.availabilityZone = m_options.availabilityZone;
    }
    return service;
}

Result<Slot, SlotRefusal> FirstComeQueue::acquire(const WorkItem &item)
{
    const std::shared_ptr<Service> service = serviceOf(item.service);
    Waiter waiter;
    waiter.item = &item;
    std::unique_lock lock(service->mutex);
    service->waiters.push_back(&waiter);
    while (true) {
        dispatch(item.service, *service);
        if (waiter.slot) {
            return std::move(*waiter.slot);
        }
        const SteadyTimeMs left = item.deadlineAt - steadyTimeNow();
        if (left <= 0) {
            std::erase(service->waiters, &waiter);
            return SlotRefusal{waiter.reason};
        }
        waiter.granted.wait_for(lock, std::min(Milliseconds(left), recheckInterval));
        if (waiter.slot) {
            return std::move(*waiter.slot);
        }
    }
}

void FirstComeQueue::release(const Slot &slot)
{
    const std::shared_ptr<Service> service = serviceOf(slot.service);
    const std::lock_guard lock(service->mutex);
    const auto found = service->inFlight.find(slot.instance);
    if (found != service->inFlight.end()) {
        --found->second.all;
        found->second.longWork -= slot.workClass == WorkClass::Long ? 1 : 0;
        if (found->second.all == 0) {
            service->inFlight.erase(found);
        }
    }
    dispatch(slot.service, *service);
}

void FirstComeQueue::endpointsChanged(const std::string &service)
{
    const std::shared_ptr<Service> state = serviceOf(service);
    const std::lock_guard lock(state->mutex);
    dispatch(service, *state);
}

void FirstComeQueue::refresh(const std::string &name, Service &service) const
{
    EndpointList endpoints = m_table.endpoints(name);
    std::shared_ptr<const Fleet> fleet = m_state.fleet();
    if (endpoints != service.endpoints || fleet != service.fleet) {
        service.facts.endpoints.clear();
        for (const auto &record : *endpoints) {
            const Announcement &announcement = record->announcement;
            EndpointFacts facts;
            facts.instance = announcement.instance;
            facts.address = announcement.address;
            facts.rack = announcement.rack;
            facts.availabilityZone = announcement.availabilityZone;
            facts.slots = announcement.slots;
            facts.leaving = announcement.state != EndpointState::Serving;
            facts.outOfService = isOutOfService(*fleet, announcement);
            service.facts.endpoints.push_back(std::move(facts));
        }
        service.endpoints = std::move(endpoints);
        service.fleet = std::move(fleet);
    }
    const SteadyTimeMs now = steadyTimeNow();
    for (std::size_t index = 0; index < service.facts.endpoints.size(); ++index) {
        EndpointFacts &facts = service.facts.endpoints[index];
        const EndpointRecord &record = *(*service.endpoints)[index];
        facts.leaseExpired = record.leaseEndsAt <= now;
        facts.slotShare =
                m_options.slotShare ? m_options.slotShare(record.announcement) : facts.slots;
        facts.ejected = m_options.ejected && m_options.ejected(facts.instance, now);
        const auto inFlight = service.inFlight.find(facts.instance);
        const bool idle = inFlight == service.inFlight.end();
        facts.inFlight = idle ? 0 : inFlight->second.all;
        facts.longInFlight = idle ? 0 : inFlight->second.longWork;
    }
}

void FirstComeQueue::dispatch(const std::string &name, Service &service) const
{
    if (service.waiters.empty()) {
        return;
    }
    refresh(name, service);
    while (!service.waiters.empty() && grant(name, service, *service.waiters.front())) {
        service.waiters.pop_front();
    }
}

bool FirstComeQueue::grant(const std::string &name, Service &service, Waiter &waiter) const
{
    const WorkItem &item = *waiter.item;
    service.facts.workClass = item.workClass;
    service.facts.triedInstances = item.triedInstances;
    service.facts.triedRacks = item.triedRacks;
    service.facts.random = service.random();
    const RoutingDecision decision = chooseEndpoint(service.facts);
    waiter.reason = decision.reason;
    if (!decision.chosen) {
        return false;
    }
    EndpointFacts &facts = service.facts.endpoints[*decision.chosen];
    InFlight &inFlight = service.inFlight[facts.instance];
    facts.inFlight = ++inFlight.all;
    if (item.workClass == WorkClass::Long) {
        facts.longInFlight = ++inFlight.longWork;
    }
    waiter.slot =
            Slot{name, facts.instance, facts.address, facts.rack, item.workClass, decision.reason};
    waiter.granted.notify_one();
    return true;
}

} // namespace dandelionloom
