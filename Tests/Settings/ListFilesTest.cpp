#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Adapters/Settings/ListFiles.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

template <typename T>
std::string faultsOf(const Result<T, ListFileError> &result)
{
    std::string joined;
    if (!isOk(result)) {
        for (const std::string &fault : errorOf(result).faults) {
            joined += fault + "\n";
        }
    }
    return joined;
}

const std::string onePlan = "[[plan]]\nid = \"quotes\"\ncustomer = \"c\"\nservice = \"pricing\"\n"
                            "min_healthy_instances = 2\nmax_unavailable_instances = 1\n";

} // namespace

class ListFilesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ListFilesTest);
    CPPUNIT_TEST(roundTrip);
    CPPUNIT_TEST(invalidLists);
    CPPUNIT_TEST(emptyLists);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a list that changes when it is rendered and parsed again.
    void roundTrip()
    {
        std::map<std::string, Plan> plans;
        plans["quotes"] = {"quotes", "Smith \"& Söhne\"\n\\ 'x'", "pricing", Urgency::Urgent, 3, 2,
                           750};
        plans["dues.late"] = {"dues.late", "c", "dues", Urgency::Batch, 0, 1, 86400000};
        const auto readPlans = parsePlans(renderPlans(plans), "plans.toml");
        CPPUNIT_ASSERT_EQUAL(std::string(), faultsOf(readPlans));
        for (const Plan &plan : valueOf(readPlans)) {
            CPPUNIT_ASSERT(plans.at(plan.id) == plan);
        }
        CPPUNIT_ASSERT_EQUAL(plans.size(), valueOf(readPlans).size());

        std::map<std::string, Allowance> allowances;
        allowances["quotes"] = {"quotes", 5, 40, 1000, 3, 2};
        const auto readAllowances = parseAllowances(renderAllowances(allowances), "a.toml");
        CPPUNIT_ASSERT_EQUAL(std::string(), faultsOf(readAllowances));
        CPPUNIT_ASSERT(allowances.at("quotes") == valueOf(readAllowances).at(0));
    }

    /// Guards against an invalid list that passes the parser, and against a parser that stops at
    /// the first fault.
    void invalidLists()
    {
        section("all faults of a file, by line", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("p.toml:1: expected max_unavailable_instances (a whole number from "
                                "1 to 1000000) in [[plan]], found none\n"
                                "p.toml:4: expected service other than 'spare', which is the spare "
                                "pool, found 'spare'\n"
                                "p.toml:6: expected a key of [[plan]], found 'urgancy'; did you "
                                "mean 'urgency'?\n"
                                "p.toml:8: expected each id once, found 'quotes' again\n"
                                "p.toml:11: expected min_healthy_instances as a whole number from "
                                "0 to 1000000, found -1\n"
                                "p.toml:13: expected urgency as one of 'urgent', 'normal', "
                                "'batch', found 'high'\n"),
                    faultsOf(parsePlans("[[plan]]\nid = \"quotes\"\ncustomer = \"c\"\n"
                                        "service = \"spare\"\nmin_healthy_instances = 2\n"
                                        "urgancy = \"urgent\"\n"
                                        "[[plan]]\nid = \"quotes\"\ncustomer = \"c\"\n"
                                        "service = \"pricing\"\nmin_healthy_instances = -1\n"
                                        "max_unavailable_instances = 1\nurgency = \"high\"\n",
                                        "p.toml")));
        });
        section("the wrong list", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("a.toml:1: expected only [[allowance]] tables, found 'plan'\n"
                                "a.toml:1: expected at least one [[allowance]], or allowance = [] "
                                "for an empty list, found none\n"),
                    faultsOf(parseAllowances(onePlan, "a.toml")));
        });
        section("single brackets", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("p.toml:1: expected [[plan]] with double brackets, "
                                             "found another value\n"),
                                 faultsOf(parsePlans("[plan]\nid = \"quotes\"\n", "p.toml")));
        });
        section("allowance out of range", [&] {
            CPPUNIT_ASSERT_EQUAL(
                    std::string("a.toml:4: expected slots as a whole number from 1 to 1000000, "
                                "found 0\n"),
                    faultsOf(parseAllowances("[[allowance]]\nplan = \"quotes\"\nmax_instances = 1\n"
                                             "slots = 0\nrequests_per_second = 5\n",
                                             "a.toml")));
        });
    }

    /// Guards against a truncated file that removes every plan.
    void emptyLists()
    {
        section("a file without content is refused", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("p.toml:1: expected at least one [[plan]], or plan = "
                                             "[] for an empty list, found none\n"),
                                 faultsOf(parsePlans("", "p.toml")));
        });
        section("an explicit empty list is accepted, as it is rendered", [&] {
            const auto plans = parsePlans(renderPlans({}), "p.toml");
            CPPUNIT_ASSERT(isOk(plans) && valueOf(plans).empty());
            const auto allowances = parseAllowances(renderAllowances({}), "a.toml");
            CPPUNIT_ASSERT(isOk(allowances) && valueOf(allowances).empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListFilesTest);
