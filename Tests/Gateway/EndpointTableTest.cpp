#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Runtime/EndpointTable.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

constexpr SteadyTimeMs leaseMs = 30000;

Announcement announcement(std::uint64_t incarnation, EndpointState state = EndpointState::Serving)
{
    return {"worker-1", "127.0.0.1:9000", "pricing", 8, "rack-1", "zone-a", incarnation, state};
}

void assertVerdict(AnnounceVerdict expected, AnnounceVerdict found)
{
    CPPUNIT_ASSERT_EQUAL(std::string(announceVerdictNames.name(expected)),
                         std::string(announceVerdictNames.name(found)));
}

} // namespace

class EndpointTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointTableTest);
    CPPUNIT_TEST(leavingIsFinal);
    CPPUNIT_TEST(leaseEnd);
    CPPUNIT_TEST(changeOfService);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a late announcement that returns a leaving endpoint to service.
    void leavingIsFinal()
    {
        EndpointTable table(EndpointTableOptions{});
        assertVerdict(AnnounceVerdict::Added, table.announce(announcement(5), "entry-1", 0));
        assertVerdict(AnnounceVerdict::Renewed, table.announce(announcement(5), "entry-1", 10));
        assertVerdict(AnnounceVerdict::MarkedLeaving,
                      table.announce(announcement(5, EndpointState::Leaving), "entry-1", 20));
        section("a serving announcement that arrives late changes nothing", [&] {
            assertVerdict(AnnounceVerdict::IncarnationLeaving,
                          table.announce(announcement(5), "entry-2", 30));
            const auto record = table.find("worker-1");
            CPPUNIT_ASSERT(record->announcement.state == EndpointState::Leaving);
            CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), record->owner);
        });
        section("a repeated leaving announcement stays leaving", [&] {
            assertVerdict(AnnounceVerdict::MarkedLeaving,
                          table.announce(announcement(5, EndpointState::Leaving), "entry-2", 40));
        });
        section("the next incarnation serves and the former one is refused", [&] {
            assertVerdict(AnnounceVerdict::Added, table.announce(announcement(6), "entry-1", 50));
            assertVerdict(AnnounceVerdict::OlderIncarnation,
                          table.announce(announcement(5, EndpointState::Leaving), "entry-1", 60));
            CPPUNIT_ASSERT(table.endpoints("pricing")->front()->announcement.state
                           == EndpointState::Serving);
        });
    }

    /// Guards against routing work to an endpoint whose lease has ended, and against a late
    /// announcement that revives its incarnation.
    void leaseEnd()
    {
        EndpointTable table(EndpointTableOptions{});
        table.announce(announcement(5), "entry-1", 0);
        section("the record stays until the lease ends", [&] {
            CPPUNIT_ASSERT(table.expire(leaseMs - 1).empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.endpoints("pricing")->size());
        });
        section("it is gone at the end of the lease", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.expire(leaseMs).size());
            CPPUNIT_ASSERT(table.endpoints("pricing")->empty());
            CPPUNIT_ASSERT(!table.find("worker-1"));
        });
        section("a late announcement of the gone incarnation is refused", [&] {
            assertVerdict(AnnounceVerdict::IncarnationGone,
                          table.announce(announcement(5), "entry-1", leaseMs + 1));
            CPPUNIT_ASSERT(table.endpoints("pricing")->empty());
        });
        section("the tombstone is dropped after its retention", [&] {
            const SteadyTimeMs later = leaseMs + EndpointTableOptions{}.tombstoneRetention.count();
            CPPUNIT_ASSERT(table.expire(later).empty());
            assertVerdict(AnnounceVerdict::Added,
                          table.announce(announcement(5), "entry-1", later + 1));
        });
    }

    /// Guards against an instance that is listed under two services after it changed its service.
    void changeOfService()
    {
        EndpointTable table(EndpointTableOptions{});
        table.announce(announcement(5), "entry-1", 0);
        Announcement moved = announcement(5);
        moved.service = "risk";
        section("one incarnation keeps its service", [&] {
            assertVerdict(AnnounceVerdict::OtherService, table.announce(moved, "entry-1", 1));
        });
        section("a new incarnation leaves the old service", [&] {
            moved.incarnation = 6;
            assertVerdict(AnnounceVerdict::Added, table.announce(moved, "entry-1", 2));
            CPPUNIT_ASSERT(table.endpoints("pricing")->empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.endpoints("risk")->size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.all().size());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTableTest);
