#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "State/StateStore.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

constexpr std::int64_t hourMs = 60LL * 60 * 1000;

/// Applies commands at consecutive indexes.
struct CommandSequence
{
    StateStore store{"region-1"};
    std::uint64_t index = 0;
    std::int64_t nowMs = 1000;

    CommandOutcome apply(CommandBody body)
    {
        return store.apply(++index, Command{"region-1", nowMs, std::move(body)});
    }
};

Plan plan(const std::string &id, std::uint32_t minHealthy, std::uint32_t maxUnavailable)
{
    Plan result;
    result.id = id;
    result.customer = "customer";
    result.service = "pricing";
    result.minHealthyInstances = minHealthy;
    result.maxUnavailableInstances = maxUnavailable;
    return result;
}

ApplyList plansChange(const std::string &changeId, std::uint64_t expected, std::vector<Plan> plans)
{
    ApplyList change;
    change.change = {changeId, "operator-1"};
    change.kind = ListKind::Plans;
    change.expectedRevision = expected;
    change.plans = std::move(plans);
    return change;
}

RequestClaim claim(const std::string &key, const std::string &digest, const std::string &gateway)
{
    RequestClaim result;
    result.plan = "quotes";
    result.key = key;
    result.digest = digest;
    result.gateway = gateway;
    result.gatewayIncarnation = 7;
    return result;
}

} // namespace

class StateStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StateStoreTest);
    CPPUNIT_TEST(listChanges);
    CPPUNIT_TEST(drainGrants);
    CPPUNIT_TEST(failureDuringDrain);
    CPPUNIT_TEST(boundedChangeRecordSize);
    CPPUNIT_TEST(claims);
    CPPUNIT_TEST(snapshots);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against concurrent changes of two operators that both succeed, and against a retry
    /// that is applied twice.
    void listChanges()
    {
        CommandSequence sequence;
        section("the first operator's change is applied", [&] {
            const auto outcome = sequence.apply(plansChange("c1", 0, {plan("quotes", 1, 1)}));
            CPPUNIT_ASSERT(outcome.status == CommandStatus::Applied);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), outcome.revision);
            section("a concurrent change of the same revision is a conflict that states both", [&] {
                const auto second = sequence.apply(plansChange("c2", 0, {plan("other", 1, 1)}));
                CPPUNIT_ASSERT(second.status == CommandStatus::Conflict);
                CPPUNIT_ASSERT_EQUAL(std::string("expected revision 0 of the plans list, found 1"),
                                     second.message);
            });
            section("a resend gets the first answer and changes nothing", [&] {
                sequence.apply(plansChange("c3", 1, {plan("quotes", 2, 1)}));
                const auto again = sequence.apply(plansChange("c1", 0, {plan("quotes", 1, 1)}));
                CPPUNIT_ASSERT(again.status == CommandStatus::Applied);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), again.revision);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), sequence.store.lists()->revision);
            });
            section("a change id cannot be reused for another change", [&] {
                const auto other = sequence.apply(plansChange("c1", 2, {plan("x", 1, 1)}));
                CPPUNIT_ASSERT(other.status == CommandStatus::Invalid);
            });
        });
        section("an allowance without a plan is invalid", [&] {
            ApplyList allowances;
            allowances.change = {"c4", "operator-1"};
            allowances.kind = ListKind::Allowances;
            allowances.allowances = {{"missing", 1, 8, 100, 1, 0}};
            const auto outcome = sequence.apply(allowances);
            CPPUNIT_ASSERT(outcome.status == CommandStatus::Invalid);
            CPPUNIT_ASSERT(outcome.message.find("'missing'") != std::string::npos);
        });
    }

    /// Guards against two waves, or a wave and a failure, using the same unit of the budget.
    void drainGrants()
    {
        CommandSequence sequence;
        sequence.apply(plansChange("c1", 0, {plan("quotes", 2, 1)}));
        for (const char *id : {"i1", "i2", "i3", "i4"}) {
            sequence.apply(RegisterInstance{id, "pricing", "zone-a", "rack-1"});
        }
        sequence.apply(StartWave{{"w1", "operator-1"}, "wave-1", {"i1", "i2"}, 1000});
        sequence.apply(StartWave{{"w2", "operator-1"}, "wave-2", {"i3"}, 1000});
        section("an observed failure without a record counts against the budget", [&] {
            const auto outcome = sequence.apply(GrantDrain{"i1", 1, "wave-1", "", 1});
            CPPUNIT_ASSERT(outcome.status == CommandStatus::Conflict);
        });
        section("the first grant is given", [&] {
            CPPUNIT_ASSERT(sequence.apply(GrantDrain{"i1", 1, "wave-1", "", 0}).status
                           == CommandStatus::Applied);
            section("a second wave cannot use the same unit", [&] {
                CPPUNIT_ASSERT(sequence.apply(GrantDrain{"i3", 1, "wave-2", "", 0}).status
                               == CommandStatus::Conflict);
            });
            section("a step with an old epoch is fenced", [&] {
                CPPUNIT_ASSERT(
                        sequence.apply(SetInstancePhase{"i1", 1, InstancePhase::Drained}).status
                        == CommandStatus::Conflict);
            });
            section("a reboot without a completed drain is refused", [&] {
                CPPUNIT_ASSERT(
                        sequence.apply(SetInstancePhase{"i1", 2, InstancePhase::Rebooting}).status
                        == CommandStatus::Conflict);
            });
            section("a proving instance still holds its unit; in service releases it", [&] {
                using enum InstancePhase;
                std::uint64_t epoch = 2;
                for (const InstancePhase phase : {Drained, Rebooting, Proving}) {
                    CPPUNIT_ASSERT(sequence.apply(SetInstancePhase{"i1", epoch++, phase}).status
                                   == CommandStatus::Applied);
                }
                CPPUNIT_ASSERT(sequence.apply(GrantDrain{"i3", 1, "wave-2", "", 0}).status
                               == CommandStatus::Conflict);
                sequence.apply(SetInstancePhase{"i1", epoch, InService});
                CPPUNIT_ASSERT(sequence.apply(GrantDrain{"i3", 1, "wave-2", "", 0}).status
                               == CommandStatus::Applied);
            });
        });
        section("a move changes the pool in one step and only after the drain", [&] {
            sequence.apply(ReleaseDrain{"i3", 2});
            sequence.apply(GrantDrain{"i4", 1, "move", "spare", 0});
            CPPUNIT_ASSERT(sequence.apply(MoveInstance{"i4", 2, "spare"}).status
                           == CommandStatus::Conflict);
            sequence.apply(SetInstancePhase{"i4", 2, InstancePhase::Drained});
            CPPUNIT_ASSERT(sequence.apply(MoveInstance{"i4", 3, "spare"}).status
                           == CommandStatus::Applied);
            CPPUNIT_ASSERT_EQUAL(std::string("spare"),
                                 sequence.store.fleet()->instances.at("i4").pool);
        });
    }

    /// Guards against a wave that finishes although a target failed before its reboot.
    void failureDuringDrain()
    {
        using enum InstancePhase;
        CommandSequence sequence;
        sequence.apply(plansChange("c1", 0, {plan("quotes", 1, 1)}));
        sequence.apply(RegisterInstance{"i1", "pricing", "zone-a", "rack-1"});
        sequence.apply(RegisterInstance{"i2", "pricing", "zone-a", "rack-2"});
        sequence.apply(StartWave{{"w1", "operator-1"}, "wave-1", {"i1"}, 1000});
        sequence.apply(GrantDrain{"i1", 1, "wave-1", "", 0});
        std::uint64_t epoch = 2;
        for (const InstancePhase phase : {Failed, Proving, InService}) {
            CPPUNIT_ASSERT(sequence.apply(SetInstancePhase{"i1", epoch++, phase}).status
                           == CommandStatus::Applied);
        }
        CPPUNIT_ASSERT(sequence.store.fleet()->waves.at("wave-1").state == WaveState::Running);
        section("the target is granted again and finishes after its reboot", [&] {
            CPPUNIT_ASSERT(sequence.apply(GrantDrain{"i1", epoch++, "wave-1", "", 0}).status
                           == CommandStatus::Applied);
            for (const InstancePhase phase : {Drained, Rebooting, Proving, InService}) {
                CPPUNIT_ASSERT(sequence.apply(SetInstancePhase{"i1", epoch++, phase}).status
                               == CommandStatus::Applied);
            }
            CPPUNIT_ASSERT(sequence.store.fleet()->waves.at("wave-1").state == WaveState::Finished);
        });
    }

    /// Guards against change records that keep entire lists in memory for a day.
    void boundedChangeRecordSize()
    {
        CommandSequence sequence;
        std::vector<Plan> plans;
        for (int number = 0; number < 690; ++number) {
            plans.push_back(plan("plan-" + std::to_string(number), 1, 1));
        }
        sequence.apply(plansChange("c0", 0, plans));
        const std::size_t before = sequence.store.encodeSnapshot().size();
        sequence.apply(plansChange("c1", 1, plans));
        constexpr std::size_t maxBytesPerChange = 300;
        CPPUNIT_ASSERT(sequence.store.encodeSnapshot().size() - before < maxBytesPerChange);
    }

    /// Guards against a second execution of a request with an idempotency key.
    void claims()
    {
        CommandSequence sequence;
        const auto verdict = [&](const RequestClaim &wanted) {
            return sequence.apply(ClaimRequests{{wanted}}).claims.at(0).verdict;
        };
        CPPUNIT_ASSERT(verdict(claim("k", "d", "entry-1")) == ClaimVerdict::Granted);
        section("a resend through another gateway does not get the claim", [&] {
            CPPUNIT_ASSERT(verdict(claim("k", "d", "entry-2")) == ClaimVerdict::Exists);
        });
        section("the key with another body is refused", [&] {
            CPPUNIT_ASSERT(verdict(claim("k", "other", "entry-2")) == ClaimVerdict::KeyReused);
        });
        section("a settlement by a process that does not hold the claim changes nothing", [&] {
            RequestClaim settled = claim("k", "d", "entry-2");
            settled.state = ClaimState::NotRun;
            sequence.apply(SettleRequests{{settled}});
            CPPUNIT_ASSERT(sequence.store.claim("quotes", "k")->state == ClaimState::Claimed);
        });
        section("a late settlement of an earlier request of the same process changes nothing", [&] {
            RequestClaim settled = claim("k", "d", "entry-1");
            settled.requestId = "earlier";
            settled.state = ClaimState::NotRun;
            sequence.apply(SettleRequests{{settled}});
            CPPUNIT_ASSERT(sequence.store.claim("quotes", "k")->state == ClaimState::Claimed);
        });
        section("not run releases the key; done does not", [&] {
            RequestClaim settled = claim("k", "d", "entry-1");
            settled.state = ClaimState::NotRun;
            sequence.apply(SettleRequests{{settled}});
            CPPUNIT_ASSERT(verdict(claim("k", "d", "entry-2")) == ClaimVerdict::Granted);
            RequestClaim done = claim("k", "d", "entry-2");
            done.state = ClaimState::Done;
            sequence.apply(SettleRequests{{done}});
            CPPUNIT_ASSERT(verdict(claim("k", "d", "entry-1")) == ClaimVerdict::Exists);
        });
        section("a claim is kept for one day and then removed", [&] {
            sequence.nowMs += 23 * hourMs;
            sequence.apply(ExpireRecords{});
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), sequence.store.claimCount());
            sequence.nowMs += 2 * hourMs;
            sequence.apply(ExpireRecords{});
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), sequence.store.claimCount());
        });
    }

    /// Guards against loss or change of state by a restart.
    void snapshots()
    {
        CommandSequence sequence;
        sequence.apply(plansChange("c1", 0, {plan("quotes", 2, 1)}));
        sequence.apply(RegisterInstance{"i1", "pricing", "zone-a", "rack-1"});
        sequence.apply(ClaimRequests{{claim("k", "d", "entry-1")}});
        const std::string bytes = sequence.store.encodeSnapshot();
        section("the restored state is equal and includes the change ids", [&] {
            CommandSequence restored;
            CPPUNIT_ASSERT(isOk(restored.store.restoreSnapshot(bytes)));
            CPPUNIT_ASSERT(restored.store.encodeSnapshot() == bytes);
            CPPUNIT_ASSERT_EQUAL(sequence.index, restored.store.appliedIndex());
            const auto again = restored.apply(plansChange("c1", 0, {plan("quotes", 2, 1)}));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), again.revision);
        });
        section("every truncated snapshot is refused and changes nothing", [&] {
            StateStore store{"region-1"};
            for (std::size_t length = 0; length < bytes.size(); ++length) {
                CPPUNIT_ASSERT(!isOk(store.restoreSnapshot(bytes.substr(0, length))));
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), store.lists()->revision);
        });
        section("a snapshot of another group is refused", [&] {
            StateStore store{"region-2"};
            CPPUNIT_ASSERT(!isOk(store.restoreSnapshot(bytes)));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateStoreTest);
