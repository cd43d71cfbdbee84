#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Decisions/Ejection.h"
#include "Decisions/Lifecycle.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

LifecycleFacts factsIn(InstancePhase phase)
{
    LifecycleFacts facts;
    facts.record.id = "i1";
    facts.record.pool = "pricing";
    facts.record.phase = phase;
    facts.commandAcknowledged = true;
    facts.gatewaysConfirmed = true;
    facts.endpointServing = true;
    facts.endpointConditionMs = 1000000;
    facts.platformState = PlatformInstanceState::Running;
    facts.nowMs = 1000000;
    return facts;
}

LifecycleStep stepOf(const LifecycleFacts &facts)
{
    return nextLifecycleStep(facts, {});
}

} // namespace

class LifecycleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LifecycleTest);
    CPPUNIT_TEST(drain);
    CPPUNIT_TEST(reboot);
    CPPUNIT_TEST(failure);
    CPPUNIT_TEST(ejection);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a stop while a gateway may still send work, or work still runs.
    void drain()
    {
        LifecycleFacts facts = factsIn(InstancePhase::Draining);
        facts.platformState = PlatformInstanceState::Drained;
        facts.gatewaysConfirmed = false;
        CPPUNIT_ASSERT(stepOf(facts).reason == LifecycleReason::WaitingForGateways);
        facts.gatewaysConfirmed = true;
        CPPUNIT_ASSERT(stepOf(facts).phase == InstancePhase::Drained);
        facts.platformState = PlatformInstanceState::Draining;
        CPPUNIT_ASSERT(stepOf(facts).action == LifecycleAction::None);
        facts.commandAcknowledged = false;
        CPPUNIT_ASSERT(stepOf(facts).action == LifecycleAction::RequestDrain);
        section("a released grant ends the drain at the platform", [&] {
            facts.record.phase = InstancePhase::InService;
            CPPUNIT_ASSERT(stepOf(facts).action == LifecycleAction::RequestUndrain);
        });
    }

    /// Guards against an instance that counts as maintained without a reboot, or before it proved
    /// itself.
    void reboot()
    {
        LifecycleFacts facts = factsIn(InstancePhase::Rebooting);
        facts.commandAcknowledged = false;
        CPPUNIT_ASSERT(stepOf(facts).action == LifecycleAction::RequestReboot);
        facts.commandAcknowledged = true;
        facts.endpointServing = false;
        CPPUNIT_ASSERT(stepOf(facts).reason == LifecycleReason::EndpointMissing);
        facts.endpointServing = true;
        CPPUNIT_ASSERT(stepOf(facts).phase == InstancePhase::Proving);
        facts.record.phase = InstancePhase::Proving;
        facts.endpointConditionMs = 500;
        CPPUNIT_ASSERT(stepOf(facts).reason == LifecycleReason::Proving);
        facts.endpointConditionMs = 20000;
        CPPUNIT_ASSERT(stepOf(facts).phase == InstancePhase::InService);
    }

    /// Guards against one lost renewal that counts as a failure, and a failure that never counts.
    void failure()
    {
        LifecycleFacts facts = factsIn(InstancePhase::InService);
        facts.endpointServing = false;
        facts.endpointConditionMs = 1000;
        CPPUNIT_ASSERT(stepOf(facts).action == LifecycleAction::None);
        facts.endpointConditionMs = 31000;
        CPPUNIT_ASSERT(stepOf(facts).phase == InstancePhase::Failed);
        facts.expectsEndpoint = false;
        CPPUNIT_ASSERT(stepOf(facts).reason == LifecycleReason::Healthy);
    }

    /// Guards against a request that fails everywhere and ejects a pool, and an endpoint that
    /// fails everything and keeps its work.
    void ejection()
    {
        const EjectionLimits limits;
        PoolHealth health;
        const auto judge = [&](std::vector<CompletedAttempt> attempts) {
            recordAttempts(health, attempts, 10, 1000, limits);
        };
        for (int number = 0; number < 10; ++number) {
            judge({{"a", AttemptOutcome::ServerError}, {"b", AttemptOutcome::ServerError}});
        }
        CPPUNIT_ASSERT(!isEjected(health, "a", 1000));
        for (int number = 0; number < 3; ++number) {
            judge({{"a", AttemptOutcome::ServerError}, {"b", AttemptOutcome::Succeeded}});
        }
        CPPUNIT_ASSERT(isEjected(health, "a", 1000));
        CPPUNIT_ASSERT(!isEjected(health, "a", 7000));
        for (const char *instance : {"c", "d", "e", "f"}) {
            for (int number = 0; number < 5; ++number) {
                judge({{instance, AttemptOutcome::TransportError}});
            }
        }
        int ejected = 0;
        for (const auto &[instance, endpoint] : health) {
            ejected += isEjected(health, instance, 1000) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("at most 30% of the pool", 3, ejected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LifecycleTest);
