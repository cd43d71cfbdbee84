#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <stdexcept>

#include "Consensus/Raft.h"
#include "Support/Section.h"

using namespace dandelionloom;
using dandelionloom::test::section;

namespace {

const VoterId self{"a", "a-1"};
const VoterId leader{"b", "b-1"};
const VoterId third{"c", "c-1"};

/// Behind the first election timeout, in which a restarted voter grants no votes.
constexpr SteadyTimeMs start = 1000;
constexpr SteadyTimeMs later = start + 700;

/// A voter at term 3 with three entries of terms 1, 1 and 3.
struct Voter
{
    Voter()
    {
        RaftOptions options;
        options.self = self;
        options.voterNames = {"a", "b", "c"};
        raft = std::make_unique<Raft>(
                options, HardState{3, {}}, nullptr,
                std::vector<LogEntry>{{1, 1, voterEntryKind, encodeVoters({self, leader, third})},
                                      {2, 1, commandEntryKind, "two"},
                                      {3, 3, commandEntryKind, "three"}},
                start);
    }

    /// Answers that are released once all is synced.
    std::vector<RaftMessage> answers(const RaftMessage &message, SteadyTimeMs now = later)
    {
        raft->receive(message, now);
        const RaftOutput output = raft->takeOutput();
        CPPUNIT_ASSERT(output.messages.empty());
        return raft->synced(now).messages;
    }

    std::unique_ptr<Raft> raft;
};

RaftMessage request(RaftMessageKind kind, std::uint64_t term, std::uint64_t logIndex,
                    std::uint64_t logTerm)
{
    RaftMessage message;
    message.kind = kind;
    message.from = leader;
    message.to = self;
    message.request = 9;
    message.term = term;
    message.logIndex = logIndex;
    message.logTerm = logTerm;
    return message;
}

} // namespace

class RaftMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftMessagesTest);
    CPPUNIT_TEST(damagedBytes);
    CPPUNIT_TEST(refusedMessages);
    CPPUNIT_TEST(staleMessages);
    CPPUNIT_TEST(votes);
    CPPUNIT_TEST(syncBeforeAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a crash on bytes that are no message.
    void damagedBytes()
    {
        const std::string bytes = encodeRaftMessage(request(RaftMessageKind::Vote, 4, 3, 3));
        CPPUNIT_ASSERT(isOk(decodeRaftMessage(bytes)));
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            CPPUNIT_ASSERT(!isOk(decodeRaftMessage(bytes.substr(0, size))));
        }
        RaftMessage unknown = request(RaftMessageKind::Vote, 4, 3, 3);
        unknown.kind = static_cast<RaftMessageKind>(99);
        CPPUNIT_ASSERT(!isOk(decodeRaftMessage(encodeRaftMessage(unknown))));
    }

    /// Guards against a log that is changed by a message for another voter, or by entries that
    /// do not follow one another.
    void refusedMessages()
    {
        const auto isRefused = [](const std::function<void(RaftMessage &)> &change) {
            Voter voter;
            RaftMessage message = request(RaftMessageKind::Append, 4, 3, 3);
            message.entries = {{4, 4, commandEntryKind, "four"}, {5, 4, commandEntryKind, "five"}};
            change(message);
            return voter.answers(message).empty() && voter.raft->log().lastIndex() == 3;
        };
        CPPUNIT_ASSERT(!isRefused([](RaftMessage &) {}));
        CPPUNIT_ASSERT(isRefused([](RaftMessage &message) { message.to.storageId = "a-0"; }));
        CPPUNIT_ASSERT(isRefused([](RaftMessage &message) { message.to.storageId.clear(); }));
        CPPUNIT_ASSERT(isRefused([](RaftMessage &message) { message.to.name = "c"; }));
        CPPUNIT_ASSERT(isRefused([](RaftMessage &message) { message.from = self; }));
        CPPUNIT_ASSERT(isRefused([](RaftMessage &message) { message.from.name.clear(); }));
        CPPUNIT_ASSERT(isRefused([](RaftMessage &message) { message.entries[1].index = 6; }));
        CPPUNIT_ASSERT(isRefused([](RaftMessage &message) { message.entries[1].term = 3; }));
        CPPUNIT_ASSERT(isRefused([](RaftMessage &message) { message.entries[1].term = 5; }));
        CPPUNIT_ASSERT(isRefused([](RaftMessage &message) { message.logTerm = 5; }));
        CPPUNIT_ASSERT(
                isRefused([](RaftMessage &message) { message.entries[1].kind = voterEntryKind; }));
    }

    /// Guards against a replaced leader that keeps its followers, and against a conflict that is
    /// walked back one entry at a time.
    void staleMessages()
    {
        Voter voter;
        section("an append of an earlier term is answered with the present one", [&] {
            const auto answers = voter.answers(request(RaftMessageKind::Append, 2, 3, 3));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
            CPPUNIT_ASSERT(!answers[0].accepted);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), answers[0].term);
            CPPUNIT_ASSERT(voter.raft->leader().empty());
        });
        section("a conflict skips the whole term", [&] {
            const auto answers = voter.answers(request(RaftMessageKind::Append, 4, 2, 2));
            CPPUNIT_ASSERT(!answers.at(0).accepted);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), answers[0].logIndex);
        });
        section("an index behind the end leads back to the end", [&] {
            const auto answers = voter.answers(request(RaftMessageKind::Append, 4, 9, 4));
            CPPUNIT_ASSERT(!answers.at(0).accepted);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), answers[0].logIndex);
        });
        section("a repeated append neither shortens the log nor lowers the commit index", [&] {
            RaftMessage append = request(RaftMessageKind::Append, 4, 3, 3);
            append.entries = {{4, 4, commandEntryKind, "four"}};
            append.commit = 4;
            voter.answers(append);
            RaftMessage old = request(RaftMessageKind::Append, 4, 0, 0);
            old.commit = 1;
            const auto answers = voter.answers(old);
            CPPUNIT_ASSERT(answers.at(0).accepted);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), voter.raft->log().lastIndex());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), voter.raft->commitIndex());
        });
    }

    /// Guards against two votes in a term and votes for a candidate that lacks entries.
    void votes()
    {
        Voter voter;
        CPPUNIT_ASSERT(!voter.answers(request(RaftMessageKind::Vote, 4, 5, 1)).at(0).accepted);
        CPPUNIT_ASSERT(!voter.answers(request(RaftMessageKind::Vote, 4, 2, 3)).at(0).accepted);
        CPPUNIT_ASSERT(voter.answers(request(RaftMessageKind::Vote, 4, 3, 3)).at(0).accepted);
        section("the same candidate again", [&] {
            CPPUNIT_ASSERT(voter.answers(request(RaftMessageKind::Vote, 4, 3, 3)).at(0).accepted);
        });
        section("another candidate, and the same name with another folder", [&] {
            for (const VoterId &candidate : {third, VoterId{"b", "b-2"}}) {
                RaftMessage vote = request(RaftMessageKind::Vote, 4, 3, 3);
                vote.from = candidate;
                CPPUNIT_ASSERT(!voter.answers(vote).at(0).accepted);
            }
        });
        section("none while a leader is heard", [&] {
            voter.answers(request(RaftMessageKind::Append, 4, 3, 3));
            CPPUNIT_ASSERT(
                    voter.answers(request(RaftMessageKind::Vote, 5, 9, 4), later + 599).empty());
            CPPUNIT_ASSERT(
                    voter.answers(request(RaftMessageKind::PreVote, 5, 9, 4), later + 599).empty());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), voter.raft->term());
        });
    }

    /// Guards against a caller that goes on before it has synced, and against a vote or an
    /// acknowledgement that outlives a failed sync.
    void syncBeforeAnswer()
    {
        Voter voter;
        voter.raft->receive(request(RaftMessageKind::Vote, 4, 3, 3), later);
        const RaftOutput output = voter.raft->takeOutput();
        CPPUNIT_ASSERT(output.needsSync());
        CPPUNIT_ASSERT(output.messages.empty());
        CPPUNIT_ASSERT(output.hardState == (HardState{4, "b/b-1"}));
        CPPUNIT_ASSERT_THROW(voter.raft->receive(request(RaftMessageKind::Vote, 5, 3, 3), later),
                             std::logic_error);
        voter.raft->syncFailed(later);
        const RaftOutput repeated = voter.raft->takeOutput();
        CPPUNIT_ASSERT(repeated.hardState == output.hardState);
        CPPUNIT_ASSERT(voter.raft->synced(later).messages.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftMessagesTest);
