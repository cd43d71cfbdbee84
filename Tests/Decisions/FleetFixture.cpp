#include "Decisions/FleetFixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include "State/FleetRules.h"

namespace dandelionloom::test {

void FleetFixture::addPool(const std::string &pool, std::uint32_t count, std::uint32_t perRack,
                           std::uint32_t zones)
{
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::uint32_t rack = index / perRack;
        RegisterInstance body;
        body.id = pool + "-" + std::to_string(1000 + index);
        body.pool = pool;
        body.availabilityZone = "zone-" + std::to_string(1 + rack % zones);
        body.rack = pool + "-rack-" + std::to_string(100 + rack);
        registerInstance(fleet, body, 0);
    }
}

void FleetFixture::addPlan(const std::string &pool, std::uint32_t minHealthy,
                           std::uint32_t maxUnavailable)
{
    Plan plan;
    plan.id = "plan-" + std::to_string(lists.plans.size());
    plan.service = pool;
    plan.minHealthyInstances = minHealthy;
    plan.maxUnavailableInstances = maxUnavailable;
    lists.plans[plan.id] = plan;
}

void FleetFixture::startWave(const std::string &id, const std::vector<std::string> &targets)
{
    StartWave body;
    body.wave = id;
    body.targets = targets;
    CPPUNIT_ASSERT(dandelionloom::startWave(fleet, body, nowMs).status == CommandStatus::Applied);
}

void FleetFixture::control(const std::string &id, WaveState state)
{
    ControlWave body;
    body.wave = id;
    body.state = state;
    CPPUNIT_ASSERT(controlWave(fleet, body, nowMs).status == CommandStatus::Applied);
}

std::vector<std::string> FleetFixture::members(const std::string &pool) const
{
    std::vector<std::string> ids;
    for (const auto &[id, instance] : fleet.instances) {
        if (instance.pool == pool) {
            ids.push_back(id);
        }
    }
    return ids;
}

WavePlan FleetFixture::plan() const
{
    return planWaves(fleet, lists, observations, limits, nowMs);
}

void FleetFixture::apply(const WavePlan &plan)
{
    for (const WaveRelease &release : plan.releases) {
        const auto outcome = releaseDrain(fleet, {release.instance, release.expectedEpoch}, nowMs);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.message, true,
                                     outcome.status == CommandStatus::Applied);
    }
    for (const WaveGrant &grant : plan.grants) {
        const auto outcome = grantDrain(
                fleet, lists,
                {grant.instance, grant.expectedEpoch, grant.wave, {}, grant.observedUnavailable},
                nowMs);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.message, true,
                                     outcome.status == CommandStatus::Applied);
    }
}

WavePlan FleetFixture::planAndApply()
{
    WavePlan result = plan();
    apply(result);
    return result;
}

void FleetFixture::setPhase(const std::string &id, InstancePhase phase)
{
    const auto outcome = setInstancePhase(fleet, {id, record(id).epoch, phase}, nowMs);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.message, true, outcome.status == CommandStatus::Applied);
}

void FleetFixture::fail(const std::string &id)
{
    if (record(id).phase != InstancePhase::Failed) {
        setPhase(id, InstancePhase::Failed);
    }
}

void FleetFixture::failDomain(const std::string &id, FailureDomain domain)
{
    const std::string key = domainKey(record(id), domain);
    for (const auto &[other, instance] : fleet.instances) {
        if (domainKey(instance, domain) == key) {
            fail(other);
        }
    }
}

void FleetFixture::advancePhases()
{
    for (const auto &[id, instance] : fleet.instances) {
        switch (instance.phase) {
        case InstancePhase::Draining:
            setPhase(id, InstancePhase::Drained);
            break;
        case InstancePhase::Drained:
            setPhase(id, InstancePhase::Rebooting);
            break;
        case InstancePhase::Rebooting:
            setPhase(id, InstancePhase::Proving);
            break;
        case InstancePhase::Proving:
            setPhase(id, InstancePhase::InService);
            break;
        case InstancePhase::InService:
        case InstancePhase::Failed:
            break;
        }
    }
}

std::uint32_t FleetFixture::unavailable(const std::string &pool) const
{
    std::uint32_t count = 0;
    for (const auto &[id, instance] : fleet.instances) {
        const bool available = instance.phase == InstancePhase::InService
                && !observations.unavailable.contains(id);
        count += instance.pool == pool && !available ? 1 : 0;
    }
    return count;
}

std::uint32_t FleetFixture::healthy(const std::string &pool) const
{
    return static_cast<std::uint32_t>(members(pool).size()) - unavailable(pool);
}

std::string reasonFor(const WavePlan &plan, const std::string &instance)
{
    for (const WaveWait &wait : plan.waits) {
        if (wait.instance == instance) {
            return std::string(waveReasonNames.name(wait.reason));
        }
    }
    for (const WaveGrant &grant : plan.grants) {
        if (grant.instance == instance) {
            return std::string(waveReasonNames.name(grant.reason));
        }
    }
    for (const WaveRelease &release : plan.releases) {
        if (release.instance == instance) {
            return std::string(waveReasonNames.name(release.reason));
        }
    }
    return {};
}

} // namespace dandelionloom::test
