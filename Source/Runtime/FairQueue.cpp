#include "Runtime/FairQueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dandelionloom {

namespace {

/// The queue is not notified of changes in the replicated state, so waiting requests recheck it.
constexpr Milliseconds recheckInterval{50};

/// How long an endpoint gets no request after it refused one because its slots were taken.
constexpr SteadyTimeMs busyBackOffMs = 5;

/// Consecutive busy refusals after which a gateway takes the pool for full. A single one is common
/// when two gateways choose the same endpoint at once.
constexpr std::uint32_t refusalsToEnforceShares = 3;

/// How long a gateway keeps to its slot shares after that. Without it gateways compete for the same
/// slots in a peak: 64 refusals per 100 requests instead of 14.
constexpr SteadyTimeMs shareEnforcementMs = 250;

/// Interval of probes beyond the enforced shares, and consecutive successful ones that end the
/// enforcement early. Limits the cost of enforcing shares when the pool is not saturated: p99 wait
/// of 4 ms instead of 165 ms.
constexpr SteadyTimeMs probeIntervalMs = 20;
constexpr std::uint32_t probesToLiftShares = 2;

constexpr SteadyTimeMs overrunCheckIntervalMs = 50;

bool isOutOfService(const Fleet &fleet, const Announcement &announcement)
{
    const auto found = fleet.instances.find(announcement.instance);
    return found != fleet.instances.end()
            && (found->second.pool != announcement.service || !acceptsNewWork(found->second.phase));
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

std::shared_ptr<FairQueue::Service> FairQueue::findOrCreateService(const std::string &name)
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

PlanShare FairQueue::planShareOf(const std::string &plan) const
{
    const std::shared_ptr<const Lists> lists = m_state.lists();
    const auto found = lists->allowances.find(plan);
    // A plan without an allowance entry gets the default allowance.
    const Allowance allowance = found == lists->allowances.end() ? Allowance{} : found->second;
    const double allowancePart = m_options.allowanceShare ? m_options.allowanceShare(plan) : 1.0;
    PlanShare share;
    share.weight = allowance.weight;
    share.slots = std::max(1.0, allowance.slots * allowancePart);
    share.requestsPerSecond = std::max(1.0, allowance.requestsPerSecond * allowancePart);
    return share;
}

Urgency FairQueue::urgencyOf(const std::string &plan) const
{
    const std::shared_ptr<const Lists> lists = m_state.lists();
    const auto found = lists->plans.find(plan);
    return found == lists->plans.end() ? Urgency::Normal : found->second.urgency;
}

Result<Slot, SlotRefusal> FairQueue::acquire(const SlotRequest &slotRequest)
{
    const std::shared_ptr<Service> service = findOrCreateService(slotRequest.service);
    Waiter waiter;
    waiter.slotRequest = &slotRequest;
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
        const SteadyTimeMs left = slotRequest.deadlineAt - steadyTimeNow();
        if (left <= 0) {
            removeWaiting(service->queue, waiter.request);
            service->waiters.erase(waiter.request.id);
            return SlotRefusal{std::string(routingReasonNames.name(waiter.reason)), {}};
        }
        waiter.changed.wait_for(lock, std::min(Milliseconds(left), recheckInterval));
    }
}

std::optional<SlotRefusal> FairQueue::enqueue(Service &service, Waiter &waiter)
{
    const SteadyTimeMs now = steadyTimeNow();
    refreshEndpoints(service, now);
    WaitingRequest &request = waiter.request;
    request.id = service.nextTicket++;
    request.plan = waiter.slotRequest->plan;
    request.urgency = urgencyOf(request.plan);
    request.workClass = classify(service.runTimes, waiter.slotRequest->kind, m_options.runTimes);
    request.arrivedAt = now;
    request.deadlineAt = waiter.slotRequest->deadlineAt;
    ServiceCapacity capacity = capacityOf(service);
    // Without an endpoint the request is queued: a pool that is starting may still serve it in
    // time.
    capacity.slots = std::max(1U, capacity.slots);
    const AdmissionDecision decision = admit(service.queue, request, planShareOf(request.plan),
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
    // If no endpoint was usable until the deadline, the routing reason tells the caller more.
    const bool useRoutingReason = reason == AdmissionReason::DeadlinePassed;
    waiter.refusal =
            SlotRefusal{std::string(useRoutingReason ? routingReasonNames.name(waiter.reason)
                                                     : admissionReasonNames.name(reason)),
                        {}};
    service.waiters.erase(found);
    waiter.changed.notify_one();
}

void FairQueue::release(const Slot &slot, AttemptOutcome result)
{
    const std::shared_ptr<Service> service = findOrCreateService(slot.service);
    const std::lock_guard lock(service->mutex);
    const auto found = service->running.find(slot.ticket);
    if (found == service->running.end()) {
        return;
    }
    const SteadyTimeMs now = steadyTimeNow();
    const Running running = std::move(found->second);
    service->running.erase(found);
    const bool ran = result == AttemptOutcome::Succeeded;
    const auto runMs = static_cast<double>(now - running.startedAt);
    finish(service->queue, running.request, ran ? runMs : -1);
    if (ran) {
        observeRunTime(service->runTimes, running.kind, runMs, m_options.runTimes);
        service->consecutiveRefusals = 0;
    }
    if (result == AttemptOutcome::RefusedBusy) {
        recordBusyRefusal(*service, running.instance, now);
    }
    if (running.isProbe) {
        recordProbeResult(*service, result, now);
    }
    dispatch(*service);
}

void FairQueue::recordBusyRefusal(Service &service, const std::string &instance,
                                  SteadyTimeMs now) const
{
    service.backedOffUntil[instance] = now + busyBackOffMs;
    if (++service.consecutiveRefusals >= refusalsToEnforceShares) {
        service.sharesEnforcedUntil = now + shareEnforcementMs;
    }
}

bool FairQueue::startProbe(Service &service, SteadyTimeMs now) const
{
    if (now >= service.sharesEnforcedUntil || now < service.nextProbeAt) {
        return false;
    }
    bool canProbe = false;
    for (EndpointFacts &endpoint : service.facts.endpoints) {
        const auto backOff = service.backedOffUntil.find(endpoint.instance);
        const bool isBackedOff = backOff != service.backedOffUntil.end() && backOff->second > now;
        endpoint.slotShare = isBackedOff ? endpoint.slotShare : endpoint.slots;
        canProbe = canProbe || (isUsable(endpoint) && endpoint.inFlight < endpoint.slotShare);
    }
    if (canProbe) {
        service.nextProbeAt = now + probeIntervalMs;
    }
    return canProbe;
}

void FairQueue::recordProbeResult(Service &service, AttemptOutcome result, SteadyTimeMs now)
{
    if (result == AttemptOutcome::RefusedBusy) {
        service.consecutiveProbeSuccesses = 0;
        return;
    }
    if (++service.consecutiveProbeSuccesses >= probesToLiftShares) {
        service.sharesEnforcedUntil = now;
        service.consecutiveProbeSuccesses = 0;
    }
}

void FairQueue::requestEnded(const std::string &name, const std::vector<CompletedAttempt> &attempts)
{
    const std::shared_ptr<Service> service = findOrCreateService(name);
    const std::lock_guard lock(service->mutex);
    recordAttempts(service->health, attempts, service->facts.endpoints.size(), steadyTimeNow(),
                   m_options.ejection);
}

void FairQueue::endpointsChanged(const std::string &name)
{
    const std::shared_ptr<Service> service = findOrCreateService(name);
    const std::lock_guard lock(service->mutex);
    dispatch(*service);
}

DemandReport FairQueue::demandReport() const
{
    std::vector<std::shared_ptr<Service>> services;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[name, service] : m_services) {
            services.push_back(service);
        }
    }
    DemandReport total;
    for (const std::shared_ptr<Service> &service : services) {
        const std::lock_guard lock(service->mutex);
        for (const auto &[plan, queue] : service->queue.plans) {
            const auto demand = static_cast<double>(queue.inFlight + queue.shortWork.size()
                                                    + queue.longWork.size());
            if (demand > 0) {
                total.byPlan[plan] += demand;
                total.byService[service->name] += demand;
            }
        }
    }
    return total;
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

void FairQueue::refreshEndpoints(Service &service, SteadyTimeMs now) const
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
        const auto backOff = service.backedOffUntil.find(facts.instance);
        const bool isBackedOff = backOff != service.backedOffUntil.end() && backOff->second > now;
        const bool otherZone = ownZoneOnly && facts.availabilityZone != m_options.availabilityZone;
        facts.leaseExpired = record.leaseEndsAt <= now || otherZone;
        facts.ejected = isEjected(service.health, facts.instance, now);
        std::tie(facts.inFlight, facts.longInFlight) = inFlight[facts.instance];
        facts.slotShare = facts.slots;
        if (now < service.sharesEnforcedUntil && m_options.slotShare) {
            facts.slotShare = std::max(1U, m_options.slotShare(record.announcement));
        }
        if (isBackedOff) {
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
    refreshEndpoints(service, now);
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
        requeue(service.queue, *next);
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
    const SlotRequest &slotRequest = *waiter.slotRequest;
    RoutingFacts &facts = service.facts;
    facts.workClass = waiter.request.workClass;
    facts.triedInstances = slotRequest.triedInstances;
    facts.triedRacks = slotRequest.triedRacks;
    facts.random = service.random();
    std::uint32_t maxSlots = 1;
    for (const EndpointFacts &endpoint : facts.endpoints) {
        maxSlots = std::max(maxSlots, endpoint.slots);
    }
    facts.longSlotsPerEndpoint = std::max(
            1U, static_cast<std::uint32_t>(std::lround(m_options.longShareOfEndpoint * maxSlots)));
    const RoutingDecision decision = chooseEndpoint(facts);
    waiter.reason = decision.reason;
    if (!decision.chosen) {
        return false;
    }
    EndpointFacts &chosen = facts.endpoints[*decision.chosen];
    ++chosen.inFlight;
    chosen.longInFlight += facts.workClass == WorkClass::Long ? 1 : 0;
    service.running[waiter.request.id] = {waiter.request, chosen.instance, slotRequest.kind, now,
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
            reclassifyAsLong(service.queue, running.request);
        }
    }
}

} // namespace dandelionloom
