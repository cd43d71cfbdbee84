#include "Runtime/FairQueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dandelionloom {

namespace {

/// Agreed records change without a notice to the queue, so waiting requests look again this often.
constexpr Milliseconds recheckInterval{50};

/// Pause before an endpoint is tried again after it refused because its slots were taken.
constexpr SteadyTimeMs restAfterRefusalMs = 5;

/// Refusals in a row, each at another endpoint, that tell a gateway that the pool is full. One
/// alone is common when two gateways choose the same endpoint.
constexpr std::uint32_t refusalsForShares = 3;

/// How long a gateway keeps to its slot shares after that. Measured: without it 64 refusals came on
/// 100 requests in a peak, with it 14.
constexpr SteadyTimeMs sharesAfterRefusalsMs = 250;

/// Pause between two requests that try beyond the shares, and how many in a row must be taken to
/// end the shares early. Without these, a false alarm below saturation cost a p99 wait of 165 ms;
/// with them 4 ms.
constexpr SteadyTimeMs probePauseMs = 20;
constexpr std::uint32_t probesToEndShares = 2;

constexpr SteadyTimeMs overrunCheckIntervalMs = 50;

bool isOutOfService(const Fleet &fleet, const Announcement &announcement)
{
    const auto found = fleet.instances.find(announcement.instance);
    return found != fleet.instances.end()
            && (found->second.pool != announcement.service || !takesNewWork(found->second.phase));
}

bool isUsable(const EndpointFacts &endpoint)
{
    return !endpoint.leaseExpired && !endpoint.leaving && !endpoint.outOfService
            && !endpoint.ejected;
}

} // namespace

FairQueue::FairQueue(FairQueueOptions options, const EndpointTable &table, const StateStore &state)
    : m_options(std::move(options)), m_table(table), m_state(state)
{ }

std::shared_ptr<FairQueue::Service> FairQueue::serviceOf(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<Service> &service = m_services[name];
    if (!service) {
        service = std::make_shared<Service>();
        service->name = name;
        service->random.seed(m_options.seed ^ std::hash<std::string>{}(name));
        service->facts.availabilityZone = m_options.availabilityZone;
    }
    return service;
}

PlanShare FairQueue::shareOf(const std::string &plan) const
{
    const std::shared_ptr<const Lists> lists = m_state.lists();
    const auto found = lists->allowances.find(plan);
    // A plan without an allowance entry gets the defaults of one.
    const Allowance allowance = found == lists->allowances.end() ? Allowance{} : found->second;
    const double part = m_options.allowanceShare ? m_options.allowanceShare(plan) : 1.0;
    PlanShare share;
    share.weight = allowance.weight;
    share.slots = std::max(1.0, allowance.slots * part);
    share.requestsPerSecond = std::max(1.0, allowance.requestsPerSecond * part);
    return share;
}

Urgency FairQueue::urgencyOf(const std::string &plan) const
{
    const std::shared_ptr<const Lists> lists = m_state.lists();
    const auto found = lists->plans.find(plan);
    return found == lists->plans.end() ? Urgency::Normal : found->second.urgency;
}

Result<Slot, SlotRefusal> FairQueue::acquire(const WorkItem &item)
{
    const std::shared_ptr<Service> service = serviceOf(item.service);
    Waiter waiter;
    waiter.item = &item;
    std::unique_lock lock(service->mutex);
    if (auto refusal = enqueue(*service, waiter)) {
        return std::move(*refusal);
    }
    while (true) {
        dispatch(*service);
        if (waiter.slot) {
            return std::move(*waiter.slot);
        }
        if (waiter.refusal) {
            return std::move(*waiter.refusal);
        }
        const SteadyTimeMs left = item.deadlineAt - steadyTimeNow();
        if (left <= 0) {
            withdraw(service->queue, waiter.request);
            service->waiters.erase(waiter.request.id);
            return SlotRefusal{std::string(routingReasonNames.name(waiter.reason)), {}};
        }
        waiter.changed.wait_for(lock, std::min(Milliseconds(left), recheckInterval));
    }
}

std::optional<SlotRefusal> FairQueue::enqueue(Service &service, Waiter &waiter)
{
    const SteadyTimeMs now = steadyTimeNow();
    refresh(service, now);
    WaitingRequest &request = waiter.request;
    request.id = service.nextTicket++;
    request.plan = waiter.item->plan;
    request.urgency = urgencyOf(request.plan);
    request.workClass = classify(service.runTimes, waiter.item->kind, m_options.runTimes);
    request.arrivedAt = now;
    request.deadlineAt = waiter.item->deadlineAt;
    ServiceCapacity capacity = capacityOf(service);
    // Without an endpoint the request waits: a pool that is just starting serves it in time.
    capacity.slots = std::max(1U, capacity.slots);
    const AdmissionDecision decision = admit(service.queue, request, shareOf(request.plan),
                                             capacity, now, m_options.admission);
    if (decision.displaced) {
        refuseWaiter(service, *decision.displaced, AdmissionReason::Displaced);
    }
    if (!decision.admitted) {
        return SlotRefusal{std::string(admissionReasonNames.name(decision.reason)),
                           Milliseconds(decision.retryAfterMs)};
    }
    service.waiters[request.id] = &waiter;
    return std::nullopt;
}

void FairQueue::refuseWaiter(Service &service, const WaitingRequest &request,
                             AdmissionReason reason)
{
    const auto found = service.waiters.find(request.id);
    if (found == service.waiters.end()) {
        return;
    }
    Waiter &waiter = *found->second;
    // A deadline that passed while no endpoint was usable is better explained by routing.
    const bool byRouting = reason == AdmissionReason::DeadlinePassed;
    waiter.refusal = SlotRefusal{std::string(byRouting ? routingReasonNames.name(waiter.reason)
                                                       : admissionReasonNames.name(reason)),
                                 {}};
    service.waiters.erase(found);
    waiter.changed.notify_one();
}

void FairQueue::release(const Slot &slot, AttemptJudgement result)
{
    const std::shared_ptr<Service> service = serviceOf(slot.service);
    const std::lock_guard lock(service->mutex);
    const auto found = service->running.find(slot.ticket);
    if (found == service->running.end()) {
        return;
    }
    const SteadyTimeMs now = steadyTimeNow();
    const Running running = std::move(found->second);
    service->running.erase(found);
    const bool ran = result == AttemptJudgement::Succeeded;
    const auto runMs = static_cast<double>(now - running.startedAt);
    finish(service->queue, running.request, ran ? runMs : -1);
    if (ran) {
        observeRunTime(service->runTimes, running.kind, runMs, m_options.runTimes);
        service->refusalsInARow = 0;
    }
    if (result == AttemptJudgement::RefusedBusy) {
        noteRefusal(*service, running.instance, now);
    }
    if (running.isProbe) {
        noteProbe(*service, result, now);
    }
    dispatch(*service);
}

void FairQueue::noteRefusal(Service &service, const std::string &instance, SteadyTimeMs now) const
{
    service.restingUntil[instance] = now + restAfterRefusalMs;
    if (++service.refusalsInARow >= refusalsForShares) {
        service.sharesUntil = now + sharesAfterRefusalsMs;
    }
}

bool FairQueue::startProbe(Service &service, SteadyTimeMs now) const
{
    if (now >= service.sharesUntil || now < service.probeAt) {
        return false;
    }
    bool possible = false;
    for (EndpointFacts &endpoint : service.facts.endpoints) {
        const auto resting = service.restingUntil.find(endpoint.instance);
        const bool rests = resting != service.restingUntil.end() && resting->second > now;
        endpoint.slotShare = rests ? endpoint.slotShare : endpoint.slots;
        possible = possible || (isUsable(endpoint) && endpoint.inFlight < endpoint.slotShare);
    }
    if (possible) {
        service.probeAt = now + probePauseMs;
    }
    return possible;
}

void FairQueue::noteProbe(Service &service, AttemptJudgement result, SteadyTimeMs now)
{
    if (result == AttemptJudgement::RefusedBusy) {
        service.probesInARow = 0;
        return;
    }
    if (++service.probesInARow >= probesToEndShares) {
        service.sharesUntil = now;
        service.probesInARow = 0;
    }
}

void FairQueue::requestEnded(const std::string &name, const std::vector<JudgedAttempt> &attempts)
{
    const std::shared_ptr<Service> service = serviceOf(name);
    const std::lock_guard lock(service->mutex);
    judgeRequest(service->health, attempts, service->facts.endpoints.size(), steadyTimeNow(),
                 m_options.ejection);
}

void FairQueue::endpointsChanged(const std::string &name)
{
    const std::shared_ptr<Service> service = serviceOf(name);
    const std::lock_guard lock(service->mutex);
    dispatch(*service);
}

GatewayLoad FairQueue::load() const
{
    std::vector<std::shared_ptr<Service>> services;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[name, service] : m_services) {
            services.push_back(service);
        }
    }
    GatewayLoad load;
    for (const std::shared_ptr<Service> &service : services) {
        const std::lock_guard lock(service->mutex);
        for (const auto &[plan, queue] : service->queue.plans) {
            const auto demand = static_cast<double>(queue.inFlight + queue.shortWork.size()
                                                    + queue.longWork.size());
            if (demand > 0) {
                load.byPlan[plan] += demand;
                load.byService[service->name] += demand;
            }
        }
    }
    return load;
}

void FairQueue::rebuildFacts(Service &service) const
{
    service.facts.endpoints.clear();
    for (const auto &record : *service.endpoints) {
        const Announcement &announcement = record->announcement;
        EndpointFacts facts;
        facts.instance = announcement.instance;
        facts.address = announcement.address;
        facts.rack = announcement.rack;
        facts.availabilityZone = announcement.availabilityZone;
        facts.slots = announcement.slots;
        facts.leaving = announcement.state != EndpointState::Serving;
        facts.outOfService = isOutOfService(*service.fleet, announcement);
        service.facts.endpoints.push_back(std::move(facts));
    }
}

void FairQueue::refresh(Service &service, SteadyTimeMs now) const
{
    EndpointList endpoints = m_table.endpoints(service.name);
    std::shared_ptr<const Fleet> fleet = m_state.fleet();
    if (endpoints != service.endpoints || fleet != service.fleet) {
        service.endpoints = std::move(endpoints);
        service.fleet = std::move(fleet);
        rebuildFacts(service);
    }
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> inFlight;
    for (const auto &[ticket, running] : service.running) {
        auto &[all, longWork] = inFlight[running.instance];
        ++all;
        longWork += running.request.workClass == WorkClass::Long ? 1 : 0;
    }
    const bool ownZoneOnly = m_options.ownZoneOnly && m_options.ownZoneOnly();
    for (std::size_t index = 0; index < service.facts.endpoints.size(); ++index) {
        EndpointFacts &facts = service.facts.endpoints[index];
        const EndpointRecord &record = *(*service.endpoints)[index];
        const auto resting = service.restingUntil.find(facts.instance);
        const bool rests = resting != service.restingUntil.end() && resting->second > now;
        const bool otherZone = ownZoneOnly && facts.availabilityZone != m_options.availabilityZone;
        facts.leaseExpired = record.leaseEndsAt <= now || otherZone;
        facts.ejected = isEjected(service.health, facts.instance, now);
        std::tie(facts.inFlight, facts.longInFlight) = inFlight[facts.instance];
        facts.slotShare = facts.slots;
        if (now < service.sharesUntil && m_options.slotShare) {
            facts.slotShare = std::max(1U, m_options.slotShare(record.announcement));
        }
        if (rests) {
            facts.slotShare = std::min(facts.slotShare, facts.inFlight);
        }
    }
}

ServiceCapacity FairQueue::capacityOf(const Service &service) const
{
    ServiceCapacity capacity;
    for (const EndpointFacts &endpoint : service.facts.endpoints) {
        if (!isUsable(endpoint)) {
            continue;
        }
        capacity.slots += endpoint.slots;
        capacity.free +=
                endpoint.slotShare > endpoint.inFlight ? endpoint.slotShare - endpoint.inFlight : 0;
    }
    return capacity;
}

void FairQueue::dispatch(Service &service)
{
    if (service.waiters.empty()) {
        return;
    }
    const SteadyTimeMs now = steadyTimeNow();
    refresh(service, now);
    reclassifyOverruns(service, now);
    ServiceCapacity capacity = capacityOf(service);
    service.probing = capacity.free == 0 && startProbe(service, now);
    if (service.probing) {
        capacity.free = 1;
    }
    std::vector<WaitingRequest> expired;
    while (const auto next = takeNext(service.queue, capacity, now, m_options.admission, expired)) {
        const auto waiter = service.waiters.find(next->id);
        if (waiter == service.waiters.end()) {
            finish(service.queue, *next, -1);
            continue;
        }
        if (grant(service, *waiter->second, now)) {
            service.waiters.erase(waiter);
            --capacity.free;
            continue;
        }
        putBack(service.queue, *next);
        if (next->workClass == WorkClass::Short || capacity.longBlocked) {
            break;
        }
        capacity.longBlocked = true;
    }
    for (const WaitingRequest &request : expired) {
        refuseWaiter(service, request, AdmissionReason::DeadlinePassed);
    }
    if (capacity.free == 0 || capacity.slots == 0) {
        service.facts.random = service.random();
        const RoutingReason reason = chooseEndpoint(service.facts).reason;
        for (auto &[id, waiter] : service.waiters) {
            waiter->reason = reason;
        }
    }
}

bool FairQueue::grant(Service &service, Waiter &waiter, SteadyTimeMs now)
{
    const WorkItem &item = *waiter.item;
    RoutingFacts &facts = service.facts;
    facts.workClass = waiter.request.workClass;
    facts.triedInstances = item.triedInstances;
    facts.triedRacks = item.triedRacks;
    facts.random = service.random();
    std::uint32_t mostSlots = 1;
    for (const EndpointFacts &endpoint : facts.endpoints) {
        mostSlots = std::max(mostSlots, endpoint.slots);
    }
    facts.longSlotsPerEndpoint = std::max(
            1U, static_cast<std::uint32_t>(std::lround(m_options.longShareOfEndpoint * mostSlots)));
    const RoutingDecision decision = chooseEndpoint(facts);
    waiter.reason = decision.reason;
    if (!decision.chosen) {
        return false;
    }
    EndpointFacts &chosen = facts.endpoints[*decision.chosen];
    ++chosen.inFlight;
    chosen.longInFlight += facts.workClass == WorkClass::Long ? 1 : 0;
    service.running[waiter.request.id] = {waiter.request, chosen.instance, item.kind, now,
                                          service.probing};
    waiter.slot = Slot{waiter.request.id, service.name,    chosen.instance, chosen.address,
                       chosen.rack,       facts.workClass, decision.reason};
    waiter.changed.notify_one();
    return true;
}

void FairQueue::reclassifyOverruns(Service &service, SteadyTimeMs now) const
{
    if (now - service.overrunsCheckedAt < overrunCheckIntervalMs) {
        return;
    }
    service.overrunsCheckedAt = now;
    for (auto &[ticket, running] : service.running) {
        if (running.request.workClass == WorkClass::Short
            && hasOverrun(service.runTimes, static_cast<double>(now - running.startedAt),
                          m_options.runTimes)) {
            reclassify(service.queue, running.request);
        }
    }
}

} // namespace dandelionloom
