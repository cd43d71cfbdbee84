#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "Adapters/Settings/ListFiles.h"
#include "Adapters/Settings/Settings.h"
#include "State/ListRules.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

const std::string examplesFolder = "examples/";

Settings readExampleSettings(const std::string &deployment)
{
    auto result = readSettings(examplesFolder + deployment + ".toml");
    CPPUNIT_ASSERT_MESSAGE(isOk(result) ? "" : joined(errorOf(result).faults), isOk(result));
    return takeValue(std::move(result));
}

/// Applies both list files of a deployment in the same way as the replicated state.
Lists readExampleLists(const std::string &deployment)
{
    const auto plans = readPlans(examplesFolder + deployment + "-plans.toml");
    CPPUNIT_ASSERT_MESSAGE(isOk(plans) ? "" : joined(errorOf(plans).faults), isOk(plans));
    const auto allowances = readAllowances(examplesFolder + deployment + "-allowances.toml");
    CPPUNIT_ASSERT_MESSAGE(isOk(allowances) ? "" : joined(errorOf(allowances).faults),
                           isOk(allowances));
    ApplyList change;
    change.plans = valueOf(plans);
    const auto withPlans = applyListChange({}, change);
    CPPUNIT_ASSERT(isOk(withPlans));
    change.kind = ListKind::Allowances;
    change.allowances = valueOf(allowances);
    const auto withBoth = applyListChange(valueOf(withPlans), change);
    CPPUNIT_ASSERT(isOk(withBoth));
    return valueOf(withBoth);
}

std::set<std::string> servicesOf(const Lists &lists)
{
    std::set<std::string> services;
    for (const auto &[id, plan] : lists.plans) {
        services.insert(plan.service);
    }
    return services;
}

} // namespace

/// Must run in the root of the repository; Utilities/test does so.
class ExamplesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExamplesTest);
    CPPUNIT_TEST(settings);
    CPPUNIT_TEST(lists);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against example settings that `serve` rejects.
    void settings()
    {
        for (const auto &[deployment, zoneCount] :
             std::map<std::string, std::size_t>{{"chamdakam", 3}, {"saddlepoint", 4}}) {
            section(deployment, [&deployment = deployment, &zoneCount = zoneCount] {
                const Settings example = readExampleSettings(deployment);
                std::set<std::string> zones;
                std::set<std::string> voterZones;
                for (const PeerSettings &peer : example.peers) {
                    zones.insert(peer.availabilityZone);
                    if (peer.voter) {
                        voterZones.insert(peer.availabilityZone);
                    }
                }
                CPPUNIT_ASSERT_EQUAL(std::size_t(6), example.peers.size());
                CPPUNIT_ASSERT_EQUAL(zoneCount, zones.size());
                CPPUNIT_ASSERT_EQUAL(std::size_t(3), voterZones.size());
            });
        }
        section("the weights are those of the deployments", [&] {
            const WeightSettings chamdakam = readExampleSettings("chamdakam").weights;
            CPPUNIT_ASSERT(chamdakam.buffer > chamdakam.moves);
            CPPUNIT_ASSERT(chamdakam.shortWait > chamdakam.rollOutTime);
            const WeightSettings saddlepoint = readExampleSettings("saddlepoint").weights;
            CPPUNIT_ASSERT(saddlepoint.moves > saddlepoint.buffer);
            CPPUNIT_ASSERT(saddlepoint.rollOutTime > saddlepoint.shortWait);
        });
    }

    /// Guards against example lists that the replicated state rejects, and against plans without an
    /// allowance.
    void lists()
    {
        const Lists chamdakam = readExampleLists("chamdakam");
        CPPUNIT_ASSERT((servicesOf(chamdakam)
                        == std::set<std::string>{"pricing", "stock", "pickup", "dues", "counter"}));
        const Lists saddlepoint = readExampleLists("saddlepoint");
        CPPUNIT_ASSERT((servicesOf(saddlepoint)
                        == std::set<std::string>{"booking", "fit-records", "payments", "studio",
                                                 "riders"}));
        for (const Lists &example : {chamdakam, saddlepoint}) {
            CPPUNIT_ASSERT_EQUAL(example.plans.size(), example.allowances.size());
            // A pool has about 10 instances. With a larger sum, no instance could be drained and
            // every wave would stall.
            for (const auto &[id, plan] : example.plans) {
                CPPUNIT_ASSERT(plan.minHealthyInstances + plan.maxUnavailableInstances <= 10);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);
