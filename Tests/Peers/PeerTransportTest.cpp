#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>
#include <optional>
#include <thread>

#include "Adapters/Peers/PeerEnvelope.h"
#include "Peers/PeerSupport.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

const PeerTransport::Handler echo = [](const std::string &from, std::string body,
                                       const PeerTransport::Reply &reply) {
    reply(from + ":" + body);
};

PeerTransportOptions shortTimeoutOptions()
{
    PeerTransportOptions options;
    options.backOffMin = Milliseconds(5);
    options.backOffMax = Milliseconds(40);
    options.helloTimeout = Milliseconds(300);
    options.receiveTimeout = Milliseconds(200);
    return options;
}

void assertStarted(PeerNode &node)
{
    const Result<Done, PeerSetupError> started = node.transport.start();
    CPPUNIT_ASSERT_MESSAGE(isOk(started) ? "" : errorOf(started).message, isOk(started));
}

void assertError(PeerErrorKind kind, const PeerResult &result)
{
    CPPUNIT_ASSERT(!isOk(result));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(errorOf(result).message,
                                 std::string(peerErrorKindNames.name(kind)),
                                 std::string(peerErrorKindNames.name(errorOf(result).kind)));
}

/// Shuts down the connections of this process to a port of its own.
void shutDownConnectionsTo(std::uint16_t port)
{
    constexpr int maxDescriptors = 1024;
    for (int descriptor = 0; descriptor < maxDescriptors; ++descriptor) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0
            && peer.sin_family == AF_INET && ntohs(peer.sin_port) == port) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
}

} // namespace

class PeerTransportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerTransportTest);
    CPPUNIT_TEST(eachCallGetsOneReply);
    CPPUNIT_TEST(largeMessagesPass);
    CPPUNIT_TEST(foreignPeersAreRefused);
    CPPUNIT_TEST(callToStoppedPeerIsNotSent);
    CPPUNIT_TEST(restartedPeerIsReconnected);
    CPPUNIT_TEST(reconnectsAreBackedOff);
    CPPUNIT_TEST(silentConnectionIsClosed);
    CPPUNIT_TEST(callOnResetConnection);
    CPPUNIT_TEST(longPollOutlivesReceiveTimeout);
    CPPUNIT_TEST(answersOfABusyLoop);
    CPPUNIT_TEST(stopCompletesAllCalls);
    CPPUNIT_TEST(settingsAreValidated);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against lost, duplicated and mismatched replies when many calls share a connection.
    void eachCallGetsOneReply()
    {
        PeerNode server("b");
        server.transport.setHandler(PeerMessageKind::Vote, echo);
        assertStarted(server);
        PeerNode client("a", {{"b", "zone-1", server.address()}});
        assertStarted(client);

        section("many concurrent calls, more than the stream limit", [&] {
            constexpr int calls = 1000;
            Signal signal;
            std::map<int, int> replies;
            int wrong = 0;
            for (int index = 0; index < calls; ++index) {
                const std::string body = std::to_string(index);
                client.transport.call(
                        "b", PeerMessageKind::Vote, body, Milliseconds(10000),
                        [&, index, body](const PeerResult &result) {
                            signal.change([&] {
                                ++replies[index];
                                wrong += isOk(result) && valueOf(result) == "a:" + body ? 0 : 1;
                            });
                        });
            }
            CPPUNIT_ASSERT(signal.waitFor([&] { return replies.size() == calls; }));
            CPPUNIT_ASSERT_EQUAL(0, wrong);
            for (const auto &[index, count] : replies) {
                CPPUNIT_ASSERT_EQUAL(1, count);
            }
        });
        section("messages are counted by kind on both sides", [&] {
            const std::string name = "dandelionloom_peer_messages_total";
            const std::string vote = "kind=\"vote\"}";
            CPPUNIT_ASSERT_EQUAL(1000.0,
                                 client.metrics.value(name + "{direction=\"sent\"," + vote));
            CPPUNIT_ASSERT_EQUAL(1000.0,
                                 client.metrics.value(name + "{direction=\"received\"," + vote));
            CPPUNIT_ASSERT_EQUAL(1000.0,
                                 server.metrics.value(name + "{direction=\"received\"," + vote));
            CPPUNIT_ASSERT(
                    client.metrics.value("dandelionloom_peer_wire_bytes_total{direction=\"sent\"}")
                    > 1000);
        });
        section("a message without handler and an unknown peer", [&] {
            assertError(PeerErrorKind::Refused, client.call("b", PeerMessageKind::Append, "x"));
            assertError(PeerErrorKind::NotSent, client.call("c", PeerMessageKind::Vote, "x"));
        });
        section("a handler that replies twice, and one that throws", [&] {
            PeerNode other("c");
            other.transport.setHandler(PeerMessageKind::Vote,
                                       [](const std::string &, const std::string &,
                                          const PeerTransport::Reply &reply) {
                                           reply(std::string("first"));
                                           reply(std::string("second"));
                                       });
            other.transport.setHandler(
                    PeerMessageKind::Feed,
                    [](const std::string &, const std::string &, const PeerTransport::Reply &) {
                        throw std::runtime_error("broken");
                    });
            assertStarted(other);
            PeerNode caller("a", {{"c", "zone-1", other.address()}});
            assertStarted(caller);
            CPPUNIT_ASSERT_EQUAL(std::string("first"),
                                 valueOf(caller.call("c", PeerMessageKind::Vote, "")));
            assertError(PeerErrorKind::NoAnswer, caller.call("c", PeerMessageKind::Feed, ""));
        });
    }

    /// Guards against stalled flow control, and against sending messages above the limit.
    void largeMessagesPass()
    {
        PeerNode server("b");
        server.transport.setHandler(PeerMessageKind::SnapshotChunk, echo);
        assertStarted(server);
        PeerNode client("a", {{"b", "zone-1", server.address()}});
        assertStarted(client);
        const std::size_t limit = PeerTransportOptions().maxMessageBytes;
        const std::string body(limit - 2, 'x');
        const PeerResult answer = client.call("b", PeerMessageKind::SnapshotChunk, body);
        CPPUNIT_ASSERT(isOk(answer));
        CPPUNIT_ASSERT(valueOf(answer) == "a:" + body);
        assertError(PeerErrorKind::NotSent,
                    client.call("b", PeerMessageKind::SnapshotChunk, std::string(limit + 1, 'x')));
        assertError(PeerErrorKind::NoAnswer,
                    client.call("b", PeerMessageKind::SnapshotChunk, std::string(limit, 'x')));
    }

    /// Guards against accepting messages of another cluster, and against logging a credential.
    void foreignPeersAreRefused()
    {
        const auto assertRefused = [](PeerIdentity identity, const std::string &expected,
                                      const std::string &found) {
            PeerNode server("b");
            std::atomic<int> handled = 0;
            server.transport.setHandler(PeerMessageKind::Vote,
                                        [&](const std::string &, const std::string &,
                                            const PeerTransport::Reply &reply) {
                                            ++handled;
                                            reply(std::string());
                                        });
            assertStarted(server);
            PeerNode client("a", {{"b", "zone-1", server.address()}}, {}, std::move(identity));
            assertStarted(client);
            assertError(PeerErrorKind::Refused, client.call("b", PeerMessageKind::Vote, "x"));
            for (PeerNode *node : {&server, &client}) {
                CPPUNIT_ASSERT(node->log.waitForLine("refused: "));
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), node->log.count(expected));
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), node->log.count(found));
                CPPUNIT_ASSERT_EQUAL(std::size_t(0), node->log.count("secret"));
            }
            CPPUNIT_ASSERT_EQUAL(0, handled.load());
        };
        section("another cluster", [&] {
            PeerIdentity identity;
            identity.clusterId = "cluster-2";
            assertRefused(identity, "expected cluster \"cluster-1\"", "found \"cluster-2\"");
        });
        section("another group", [&] {
            PeerIdentity identity;
            identity.group = "region-2";
            assertRefused(identity, "expected group \"region-1\"", "found \"region-2\"");
        });
        section("another credential", [&] {
            PeerIdentity identity;
            identity.credential = "secret-2";
            assertRefused(identity, "expected the peer credential", "found another one");
        });
        section("an unknown protocol version", [&] {
            PeerHello hello = makeHello(PeerNode::withDefaults({}, "a"));
            hello.version = 2;
            const std::optional<std::string> refusal =
                    helloRefusal(hello, PeerNode::withDefaults({}, "b"));
            CPPUNIT_ASSERT_EQUAL(std::string("expected protocol version \"1\", found \"2\""),
                                 refusal.value_or(""));
        });
        section("another peer behind the address", [&] {
            PeerNode server("c");
            assertStarted(server);
            PeerNode client("a", {{"b", "zone-1", server.address()}});
            assertStarted(client);
            assertError(PeerErrorKind::Refused, client.call("b", PeerMessageKind::Vote, "x"));
            CPPUNIT_ASSERT(client.log.waitForLine("expected \"b\" of cluster \"cluster-1\", found "
                                                  "\"c\" of cluster \"cluster-1\""));
        });
    }

    /// Guards against reporting a call to a stopped peer as possibly received.
    void callToStoppedPeerIsNotSent()
    {
        std::string address;
        {
            PeerNode stoppedPeer("b");
            assertStarted(stoppedPeer);
            address = stoppedPeer.address();
        }
        PeerNode client("a", {{"b", "zone-1", address}}, shortTimeoutOptions());
        assertStarted(client);
        assertError(PeerErrorKind::NotSent, client.call("b", PeerMessageKind::Vote, "x"));
        assertError(PeerErrorKind::NotSent, client.call("b", PeerMessageKind::Vote, "x"));
    }

    /// Guards against a transport that does not reconnect to a restarted peer.
    void restartedPeerIsReconnected()
    {
        auto server = std::make_unique<PeerNode>("b");
        server->transport.setHandler(PeerMessageKind::Vote, echo);
        assertStarted(*server);
        const std::string address = server->address();
        PeerNode client("a", {{"b", "zone-1", address}}, shortTimeoutOptions());
        assertStarted(client);
        CPPUNIT_ASSERT(isOk(client.call("b", PeerMessageKind::Vote, "1")));
        server.reset();
        CPPUNIT_ASSERT(!isOk(client.call("b", PeerMessageKind::Vote, "2", Milliseconds(300))));
        server = std::make_unique<PeerNode>("b", std::vector<PeerAddress>{}, PeerTransportOptions{},
                                            PeerIdentity{}, address);
        server->transport.setHandler(PeerMessageKind::Vote, echo);
        assertStarted(*server);
        PeerResult result = PeerError{};
        for (int attempt = 0; attempt < 20 && !isOk(result); ++attempt) {
            result = client.call("b", PeerMessageKind::Vote, "3", Milliseconds(300));
        }
        CPPUNIT_ASSERT(isOk(result));
    }

    /// Guards against reconnecting without back-off when the other side closes each connection at
    /// once.
    void reconnectsAreBackedOff()
    {
        // The relay's target port is closed, so each connection ends right after it is established.
        std::uint16_t closedPort = 0;
        {
            PeerNode stoppedPeer("b");
            assertStarted(stoppedPeer);
            closedPort = stoppedPeer.transport.port();
        }
        ByteRelay relay(closedPort);
        PeerTransportOptions options = shortTimeoutOptions();
        options.backOffMin = Milliseconds(20);
        options.backOffMax = Milliseconds(160);
        PeerNode client("a", {{"b", "zone-1", relay.address()}}, options);
        assertStarted(client);
        const SteadyTimeMs start = steadyTimeNow();
        while (steadyTimeNow() - start < 1000) {
            assertError(PeerErrorKind::NotSent, client.call("b", PeerMessageKind::Vote, "x"));
        }
        // The back-off is at least 10, 20, 40 and from then on 80 ms: at most 16 attempts in 1 s.
        CPPUNIT_ASSERT(relay.acceptedCount() >= 3);
        CPPUNIT_ASSERT(relay.acceptedCount() <= 16);
    }

    /// Guards against a call that is written while its connection is found to be reset. It kept its
    /// stream without a connection, and its time-out ended the process (soak seed 223).
    void callOnResetConnection()
    {
        PeerNode server("b");
        server.transport.setHandler(PeerMessageKind::Vote, echo);
        assertStarted(server);
        PeerNode client("a", {{"b", "zone-1", server.address()}}, shortTimeoutOptions());
        assertStarted(client);
        Signal signal;
        std::optional<PeerResult> second;
        client.transport.call(
                "b", PeerMessageKind::Vote, "1", Milliseconds(5000), [&](const PeerResult &) {
                    // On the thread of the transport, which sees the end of the connection when it
                    // writes the call.
                    shutDownConnectionsTo(server.transport.port());
                    client.transport.call("b", PeerMessageKind::Vote, "2", Milliseconds(300),
                                          [&](const PeerResult &result) {
                                              signal.change([&] { second = result; });
                                          });
                });
        CPPUNIT_ASSERT(signal.waitFor([&] { return second.has_value(); }));
        assertError(PeerErrorKind::NoAnswer, *second);
        section("later calls get their own replies on a new connection", [&] {
            PeerResult result = PeerError{};
            for (int attempt = 0; attempt < 20 && !isOk(result); ++attempt) {
                result = client.call("b", PeerMessageKind::Vote, "3", Milliseconds(300));
            }
            CPPUNIT_ASSERT(isOk(result));
            CPPUNIT_ASSERT_EQUAL(std::string("a:3"), valueOf(result));
        });
    }

    /// Guards against calls that hang when the network loses the bytes of one direction, so that
    /// the connection stays open but no response arrives.
    void silentConnectionIsClosed()
    {
        PeerNode server("b");
        server.transport.setHandler(PeerMessageKind::Vote, echo);
        assertStarted(server);
        ByteRelay relay(server.transport.port());
        PeerNode client("a", {{"b", "zone-1", relay.address()}}, shortTimeoutOptions());
        assertStarted(client);
        CPPUNIT_ASSERT(isOk(client.call("b", PeerMessageKind::Vote, "1")));
        relay.dropResponses(true);
        section("a call is answered by its timeout", [&] {
            const SteadyTimeMs start = steadyTimeNow();
            assertError(PeerErrorKind::NoAnswer,
                        client.call("b", PeerMessageKind::Vote, "2", Milliseconds(60)));
            CPPUNIT_ASSERT(steadyTimeNow() - start >= 60);
        });
        section("a longer call is answered when the silent connection is closed", [&] {
            assertError(PeerErrorKind::NoAnswer,
                        client.call("b", PeerMessageKind::Vote, "3", Milliseconds(20000)));
            CPPUNIT_ASSERT(client.log.waitForLine("no byte received for"));
        });
        section("after the cut a new connection carries calls", [&] {
            relay.dropResponses(false);
            PeerResult result = PeerError{};
            for (int attempt = 0; attempt < 20 && !isOk(result); ++attempt) {
                result = client.call("b", PeerMessageKind::Vote, "4", Milliseconds(500));
            }
            CPPUNIT_ASSERT(isOk(result));
            CPPUNIT_ASSERT(relay.acceptedCount() >= 2);
        });
    }

    /// Guards against closing a healthy connection whose only call is a long poll.
    void longPollOutlivesReceiveTimeout()
    {
        PeerNode server("b");
        Signal signal;
        PeerTransport::Reply pendingReply;
        server.transport.setHandler(
                PeerMessageKind::Feed,
                [&](const std::string &, const std::string &, PeerTransport::Reply reply) {
                    signal.change([&] { pendingReply = std::move(reply); });
                });
        assertStarted(server);
        PeerNode client("a", {{"b", "zone-1", server.address()}}, shortTimeoutOptions());
        assertStarted(client);
        const PeerResult timedOut = client.call("b", PeerMessageKind::Feed, "", Milliseconds(700));
        assertError(PeerErrorKind::NoAnswer, timedOut);
        CPPUNIT_ASSERT_EQUAL(std::string("timeout"), errorOf(timedOut).message);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), client.log.count("lost"));
    }

    /// Guards against a call that times out, and a connection that is closed as silent, although
    /// the answer has arrived: the loop was busy for longer than the time-outs.
    void answersOfABusyLoop()
    {
        PeerNode server("b");
        server.transport.setHandler(PeerMessageKind::Vote, echo);
        assertStarted(server);
        PeerTransportOptions options = shortTimeoutOptions();
        options.receiveTimeout = Milliseconds(100);
        PeerNode client("a", {{"b", "zone-1", server.address()}}, options);
        assertStarted(client);
        CPPUNIT_ASSERT(isOk(client.call("b", PeerMessageKind::Vote, "first")));

        Signal signal;
        std::optional<PeerResult> answer;
        static constexpr std::int64_t timeoutMs = 100;
        // The reply to an unknown peer is delivered on the loop. The two calls of the first one are
        // made in one turn of the loop, which the second of them keeps busy.
        client.transport.call(
                "unknown", PeerMessageKind::Vote, {}, Milliseconds(1000), [&](const PeerResult &) {
                    client.transport.call("b", PeerMessageKind::Vote, "second",
                                          Milliseconds(timeoutMs), [&](const PeerResult &result) {
                                              signal.change([&] { answer = result; });
                                          });
                    client.transport.call("unknown", PeerMessageKind::Vote, {}, Milliseconds(1000),
                                          [](const PeerResult &) {
                                              const SteadyTimeMs startedAt = steadyTimeNow();
                                              while (steadyTimeNow() <= startedAt + 2 * timeoutMs) {
                                              }
                                          });
                });
        CPPUNIT_ASSERT(signal.waitFor([&] { return answer.has_value(); }));
        CPPUNIT_ASSERT_MESSAGE(isOk(*answer) ? "" : errorOf(*answer).message, isOk(*answer));
        CPPUNIT_ASSERT_EQUAL(std::string("a:second"), valueOf(*answer));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), client.log.count("lost"));
    }

    /// Guards against calls that never complete when the transport stops, and against crashes on
    /// replies that handlers give after the stop.
    void stopCompletesAllCalls()
    {
        auto server = std::make_unique<PeerNode>("b");
        Signal signal;
        PeerTransport::Reply pendingReply;
        server->transport.setHandler(
                PeerMessageKind::Feed,
                [&](const std::string &, const std::string &, PeerTransport::Reply reply) {
                    signal.change([&] { pendingReply = std::move(reply); });
                });
        assertStarted(*server);
        PeerNode client("a", {{"b", "zone-1", server->address()}});
        assertStarted(client);
        std::vector<PeerResult> replies;
        client.transport.call("b", PeerMessageKind::Feed, "", Milliseconds(60000),
                              [&](PeerResult result) {
                                  signal.change([&] { replies.push_back(std::move(result)); });
                              });
        CPPUNIT_ASSERT(signal.waitFor([&] { return pendingReply != nullptr; }));
        client.transport.stop();
        CPPUNIT_ASSERT(signal.waitFor([&] { return replies.size() == 1; }));
        assertError(PeerErrorKind::NoAnswer, replies.front());
        assertError(PeerErrorKind::NotSent, client.call("b", PeerMessageKind::Feed, ""));
        server.reset();
        pendingReply(std::string("late"));
    }

    /// Guards against starting with invalid settings.
    void settingsAreValidated()
    {
        PeerNode named("a", {{"b", "zone-1", "localhost:1"}});
        const Result<Done, PeerSetupError> result = named.transport.start();
        CPPUNIT_ASSERT(!isOk(result));
        CPPUNIT_ASSERT_EQUAL(
                std::string("expected an IP number and port for peer b, found \"localhost:1\""),
                errorOf(result).message);
        PeerNode first("a");
        assertStarted(first);
        PeerNode second("b", {}, {}, {}, first.address());
        CPPUNIT_ASSERT(!isOk(second.transport.start()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);
