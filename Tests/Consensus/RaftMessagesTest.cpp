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

/// After the first election timeout, during which a restarted voter grants no votes.
constexpr SteadyTimeMs start = 1000;
constexpr SteadyTimeMs later = start + 700;

/// A voter in term 3 whose log has three entries, of terms 1, 1 and 3.
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

    /// Delivers a message and returns the responses that are sent after the sync.
    std::vector<RaftMessage> responsesTo(const RaftMessage &message, SteadyTimeMs now = later)
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
    CPPUNIT_TEST(voteWhileLeaseLasts);
    CPPUNIT_TEST(syncBeforeAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a second leader while the lease of the first one lasts: a voter that has
    /// learnt a higher term from an answer granted its vote although it had just heard the leader.
    void voteWhileLeaseLasts()
    {
        Voter voter;
        CPPUNIT_ASSERT(voter.responsesTo(request(RaftMessageKind::Append, 4, 3, 3)).at(0).accepted);
        RaftMessage refusal = request(RaftMessageKind::PreVoteResponse, 5, 0, 0);
        refusal.from = third;
        voter.responsesTo(refusal, later + 50);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), voter.raft->term());
        RaftMessage vote = request(RaftMessageKind::Vote, 5, 3, 3);
        vote.from = third;
        section("no vote while the contact with the leader is recent",
                [&] { CPPUNIT_ASSERT(voter.responsesTo(vote, later + 100).empty()); });
        section("the same request is granted after it",
                [&] { CPPUNIT_ASSERT(voter.responsesTo(vote, later + 700).at(0).accepted); });
    }

    /// Guards against a crash on truncated messages and unknown message kinds.
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

    /// Guards against log changes by a message for another voter or by non-consecutive entries.
    void refusedMessages()
    {
        const auto isRefused = [](const std::function<void(RaftMessage &)> &change) {
            Voter voter;
            RaftMessage message = request(RaftMessageKind::Append, 4, 3, 3);
            message.entries = {{4, 4, commandEntryKind, "four"}, {5, 4, commandEntryKind, "five"}};
            change(message);
            return voter.responsesTo(message).empty() && voter.raft->log().lastIndex() == 3;
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

    /// Guards against followers that still accept entries from a deposed leader, and against a
    /// leader that resolves a log conflict one entry at a time.
    void staleMessages()
    {
        Voter voter;
        section("an append of an earlier term is answered with the current term", [&] {
            const auto responses = voter.responsesTo(request(RaftMessageKind::Append, 2, 3, 3));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), responses.size());
            CPPUNIT_ASSERT(!responses[0].accepted);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), responses[0].term);
            CPPUNIT_ASSERT(voter.raft->leader().empty());
        });
        section("a conflict skips all entries of the conflicting term", [&] {
            const auto responses = voter.responsesTo(request(RaftMessageKind::Append, 4, 2, 2));
            CPPUNIT_ASSERT(!responses.at(0).accepted);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), responses[0].logIndex);
        });
        section("an index after the end of the log leads back to the end", [&] {
            const auto responses = voter.responsesTo(request(RaftMessageKind::Append, 4, 9, 4));
            CPPUNIT_ASSERT(!responses.at(0).accepted);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), responses[0].logIndex);
        });
        section("a duplicate append neither truncates the log nor lowers the commit index", [&] {
            RaftMessage append = request(RaftMessageKind::Append, 4, 3, 3);
            append.entries = {{4, 4, commandEntryKind, "four"}};
            append.commit = 4;
            voter.responsesTo(append);
            RaftMessage old = request(RaftMessageKind::Append, 4, 0, 0);
            old.commit = 1;
            const auto responses = voter.responsesTo(old);
            CPPUNIT_ASSERT(responses.at(0).accepted);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), voter.raft->log().lastIndex());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), voter.raft->commitIndex());
        });
    }

    /// Guards against two votes in one term and votes for a candidate whose log is not up to date.
    void votes()
    {
        Voter voter;
        CPPUNIT_ASSERT(!voter.responsesTo(request(RaftMessageKind::Vote, 4, 5, 1)).at(0).accepted);
        CPPUNIT_ASSERT(!voter.responsesTo(request(RaftMessageKind::Vote, 4, 2, 3)).at(0).accepted);
        CPPUNIT_ASSERT(voter.responsesTo(request(RaftMessageKind::Vote, 4, 3, 3)).at(0).accepted);
        section("a repeated request of the same candidate is granted", [&] {
            CPPUNIT_ASSERT(
                    voter.responsesTo(request(RaftMessageKind::Vote, 4, 3, 3)).at(0).accepted);
        });
        section("another candidate, and the same name with another storage id", [&] {
            for (const VoterId &candidate : {third, VoterId{"b", "b-2"}}) {
                RaftMessage vote = request(RaftMessageKind::Vote, 4, 3, 3);
                vote.from = candidate;
                CPPUNIT_ASSERT(!voter.responsesTo(vote).at(0).accepted);
            }
        });
        section("none is granted after recent contact with a leader", [&] {
            voter.responsesTo(request(RaftMessageKind::Append, 4, 3, 3));
            CPPUNIT_ASSERT(voter.responsesTo(request(RaftMessageKind::Vote, 5, 9, 4), later + 599)
                                   .empty());
            CPPUNIT_ASSERT(
                    voter.responsesTo(request(RaftMessageKind::PreVote, 5, 9, 4), later + 599)
                            .empty());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), voter.raft->term());
        });
    }

    /// Guards against a caller that passes further input before it has synced, and against a vote
    /// or an acknowledgement that is sent after a failed sync.
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
