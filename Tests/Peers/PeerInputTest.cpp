#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <iostream>
#include <random>

#include "Adapters/Peers/PeerEnvelope.h"
#include "Peers/PeerSupport.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr int waitMs = 10000;
constexpr std::size_t frameHeaderBytes = 9;
constexpr char resetFrame = 3;

/// A TCP client that sends arbitrary bytes.
class RawClient
{
public:
    explicit RawClient(const std::string &address)
        : m_socket(valueOf(startConnect(*parseSocketAddress(address))))
    {
        wait(POLLOUT);
    }
    ~RawClient() { ::close(m_socket); }
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                    ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count < 0 && errno != EAGAIN) {
                return;
            }
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            wait(POLLOUT);
        }
    }

    void shutDownSending() { ::shutdown(m_socket, SHUT_WR); }

    /// Reads until the predicate holds for the bytes received so far or the other side closes.
    std::string readUntil(const std::function<bool(const std::string &)> &isComplete)
    {
        std::string bytes;
        std::array<char, 4096> buffer;
        while (!isComplete(bytes)) {
            CPPUNIT_ASSERT_MESSAGE("the connection stays open", wait(POLLIN));
            const ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                break;
            }
            bytes.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return bytes;
    }

    void waitForClose()
    {
        readUntil([](const std::string &) { return false; });
    }

private:
    bool wait(short events) const
    {
        pollfd entry{m_socket, events, 0};
        return ::poll(&entry, 1, waitMs) == 1;
    }

    int m_socket = -1;
};

/// The bytes that a client sends from the connection preface up to and including its hello.
std::string recordHelloBytes()
{
    const int listener = valueOf(listenOn(*parseSocketAddress("127.0.0.1:0")));
    const std::string address = formatSocketAddress(localAddress(listener));
    PeerNode client("a", {{"b", "zone-1", address}});
    CPPUNIT_ASSERT(isOk(client.transport.start()));
    client.transport.call("b", PeerMessageKind::Vote, "", Milliseconds(10000),
                          [](const PeerResult &) {});
    pollfd entry{listener, POLLIN, 0};
    CPPUNIT_ASSERT(::poll(&entry, 1, waitMs) == 1);
    const int accepted = ::accept(listener, nullptr, nullptr);
    const std::string hello = encodeEnvelope(makeHello(PeerNode::withDefaults({}, "a")));
    std::string bytes;
    std::array<char, 4096> buffer;
    while (bytes.find(hello) == std::string::npos) {
        const ssize_t count = ::recv(accepted, buffer.data(), buffer.size(), 0);
        CPPUNIT_ASSERT(count > 0);
        bytes.append(buffer.data(), static_cast<std::size_t>(count));
    }
    ::close(accepted);
    ::close(listener);
    return bytes;
}

std::string frame(char type, char flags, std::uint32_t stream, const std::string &payload)
{
    std::string bytes;
    for (const int shift : {16, 8, 0}) {
        bytes += static_cast<char>(payload.size() >> static_cast<unsigned>(shift));
    }
    bytes += type;
    bytes += flags;
    for (const int shift : {24, 16, 8, 0}) {
        bytes += static_cast<char>(stream >> static_cast<unsigned>(shift));
    }
    return bytes + payload;
}

/// Number of frames of the given type in a byte stream.
std::size_t countFrames(const std::string &bytes, char type)
{
    std::size_t result = 0;
    std::size_t offset = 0;
    while (offset + frameHeaderBytes <= bytes.size()) {
        const auto byte = [&](std::size_t index) {
            return static_cast<std::size_t>(static_cast<unsigned char>(bytes[offset + index]));
        };
        result += bytes[offset + 3] == type ? 1 : 0;
        offset += frameHeaderBytes + (byte(0) << 16U) + (byte(1) << 8U) + byte(2);
    }
    return result;
}

std::string openStream(std::uint32_t stream)
{
    return frame(1, 4, stream, std::string("\x83\x86\x84\x01\x04peer", 9));
}

/// DATA frames with a message or a part of one.
std::string dataFrames(std::uint32_t stream, const std::string &bytes, bool end)
{
    constexpr std::size_t maxFrameBytes = 16384;
    std::string frames;
    for (std::size_t offset = 0; offset < bytes.size(); offset += maxFrameBytes) {
        const bool last = end && offset + maxFrameBytes >= bytes.size();
        frames += frame(0, last ? 1 : 0, stream, bytes.substr(offset, maxFrameBytes));
    }
    return frames;
}

std::string voteOf(std::size_t bytes)
{
    return encodeEnvelope(PeerRequest{static_cast<std::uint32_t>(PeerMessageKind::Vote),
                                      std::string(bytes, 'x')});
}

/// A frame that resets a stream, with its error code.
std::string resetOf(std::uint32_t stream, char errorCode)
{
    return frame(resetFrame, 0, stream, std::string(3, '\0') + errorCode);
}

/// A server with a limit of held bytes whose handler leaves the replies to the test, and a client
/// after its hello.
struct HeldRequests
{
    static constexpr char refusedStream = 7;
    static constexpr char cancel = 8;
    /// Two of them are beyond the limit. Smaller than the initial window of a stream.
    static constexpr std::size_t requestBytes = 60000;

    HeldRequests() : server("b", {}, options())
    {
        server.transport.setHandler(PeerMessageKind::Vote,
                                    [this](const std::string &, const std::string &,
                                           const PeerTransport::Reply &reply) {
                                        signal.change([&] { replies.push_back(reply); });
                                    });
        CPPUNIT_ASSERT(isOk(server.transport.start()));
        client = std::make_unique<RawClient>(server.address());
        client->send(recordHelloBytes());
        waitFor("cluster-1");
    }

    static PeerTransportOptions options()
    {
        PeerTransportOptions options;
        options.maxHeldBytes = 100000;
        return options;
    }

    void waitFor(const std::string &part) const
    {
        const std::string received = client->readUntil(
                [&](const std::string &bytes) { return bytes.find(part) != std::string::npos; });
        CPPUNIT_ASSERT(received.find(part) != std::string::npos);
    }

    void waitForRequests(std::size_t count)
    {
        CPPUNIT_ASSERT(signal.waitFor([&] { return replies.size() == count; }));
    }

    void sendRequest(std::uint32_t stream) const
    {
        client->send(openStream(stream) + dataFrames(stream, voteOf(requestBytes), true));
    }

    Signal signal;
    std::vector<PeerTransport::Reply> replies;
    PeerNode server;
    std::unique_ptr<RawClient> client;
};

/// A server with one handler, and a client with which tests check that the server still works.
struct PeerPair
{
    explicit PeerPair(PeerTransportOptions serverOptions = {},
                      PeerTransportOptions clientOptions = {})
        : server("b", {}, serverOptions)
    {
        server.transport.setHandler(
                PeerMessageKind::Vote,
                [](const std::string &, const std::string &, const PeerTransport::Reply &reply) {
                    reply(std::string("answer"));
                });
        CPPUNIT_ASSERT(isOk(server.transport.start()));
        clientOptions.backOffMax = Milliseconds(20);
        client = std::make_unique<PeerNode>(
                "a", std::vector<PeerAddress>{{"b", "zone-1", server.address()}}, clientOptions);
        CPPUNIT_ASSERT(isOk(client->transport.start()));
    }

    void assertCallSucceeds()
    {
        const PeerResult result = client->call("b", PeerMessageKind::Vote, "x");
        CPPUNIT_ASSERT_MESSAGE(isOk(result) ? "" : errorOf(result).message, isOk(result));
    }

    PeerNode server;
    std::unique_ptr<PeerNode> client;
};

} // namespace

class PeerInputTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerInputTest);
    CPPUNIT_TEST(malformedInputClosesTheConnection);
    CPPUNIT_TEST(clientSurvivesMalformedResponses);
    CPPUNIT_TEST(exceededLimitsCloseTheConnection);
    CPPUNIT_TEST(streamsAreLimited);
    CPPUNIT_TEST(handledRequestsAtTheLimit);
    CPPUNIT_TEST(resetStreamsCount);
    CPPUNIT_TEST(envelopesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against malformed input that crashes the process or affects other connections.
    void malformedInputClosesTheConnection()
    {
        const std::uint32_t seed = std::random_device{}();
        std::cout << " seed " << seed << std::flush;
        std::mt19937 random(seed);
        const auto randomBytes = [&](std::size_t count) {
            std::string bytes(count, '\0');
            for (char &byte : bytes) {
                byte = static_cast<char>(random());
            }
            return bytes;
        };
        const std::string hello = recordHelloBytes();
        const std::string preface = hello.substr(0, 24);
        PeerPair peers;
        const auto sendAndAwaitClose = [&](const std::string &bytes) {
            RawClient client(peers.server.address());
            client.send(bytes);
            client.shutDownSending();
            client.waitForClose();
        };
        section("random bytes, with and without the preface", [&] {
            for (int round = 0; round < 100; ++round) {
                sendAndAwaitClose((round % 2 == 0 ? preface : "") + randomBytes(random() % 2000));
            }
            CPPUNIT_ASSERT(peers.server.log.waitForLine("connection without hello at 127.0.0.1"));
        });
        section("a hello truncated at each byte", [&] {
            for (std::size_t length = 0; length < hello.size(); ++length) {
                sendAndAwaitClose(hello.substr(0, length));
            }
        });
        section("a hello with flipped bits, and a hello followed by random bytes", [&] {
            for (int round = 0; round < 200; ++round) {
                std::string bytes = hello;
                bytes[random() % bytes.size()] ^= static_cast<char>(1U << (random() % 8));
                sendAndAwaitClose(bytes + (round % 2 == 0 ? randomBytes(500) : ""));
            }
            sendAndAwaitClose(hello + randomBytes(2000));
        });
        section("a body that is no envelope, after the hello", [&] {
            sendAndAwaitClose(hello + frame(1, 4, 3, std::string("\x83\x86\x84\x01\x04peer", 9))
                              + frame(0, 1, 3, "\xc1"));
            CPPUNIT_ASSERT(peers.server.log.waitForLine("expected a request envelope"));
        });
        section("a silent connection ends at the hello timeout", [&] {
            PeerTransportOptions options;
            options.helloTimeout = Milliseconds(50);
            PeerPair shortTimeoutPeers(options);
            RawClient client(shortTimeoutPeers.server.address());
            client.waitForClose();
            CPPUNIT_ASSERT(
                    shortTimeoutPeers.server.log.waitForLine("expected a hello within 50 ms"));
        });
        peers.assertCallSucceeds();
    }

    /// Guards against a malfunctioning server that crashes its clients or leaves calls without a
    /// reply.
    void clientSurvivesMalformedResponses()
    {
        const std::uint32_t seed = std::random_device{}();
        std::cout << " seed " << seed << std::flush;
        std::mt19937 random(seed);
        const int listener = valueOf(listenOn(*parseSocketAddress("127.0.0.1:0")));
        EventLoop loop;
        loop.watch(listener, EPOLLIN, [&](std::uint32_t) {
            const int accepted = ::accept(listener, nullptr, nullptr);
            std::string bytes(1000, '\0');
            for (char &byte : bytes) {
                byte = static_cast<char>(random());
            }
            if (random() % 2 == 0) {
                bytes = frame(4, 0, 0, "") + bytes;
            }
            ::send(accepted, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            ::close(accepted);
        });
        loop.start();
        PeerTransportOptions options;
        options.backOffMin = Milliseconds(1);
        options.backOffMax = Milliseconds(2);
        PeerNode client("a", {{"b", "zone-1", formatSocketAddress(localAddress(listener))}},
                        options);
        CPPUNIT_ASSERT(isOk(client.transport.start()));
        for (int round = 0; round < 100; ++round) {
            const PeerResult result = client.call("b", PeerMessageKind::Vote, "x");
            CPPUNIT_ASSERT(!isOk(result));
            CPPUNIT_ASSERT(errorOf(result).kind == PeerErrorKind::NotSent);
        }
        loop.stop();
        ::close(listener);
    }

    /// Guards against messages and header fields that exhaust the memory of the process.
    void exceededLimitsCloseTheConnection()
    {
        section("a message past the limit", [&] {
            PeerTransportOptions largeLimit;
            largeLimit.maxMessageBytes = 8U << 20U;
            PeerPair peers({}, largeLimit);
            const PeerResult result =
                    peers.client->call("b", PeerMessageKind::Vote, std::string(6U << 20U, 'x'));
            CPPUNIT_ASSERT(!isOk(result));
            CPPUNIT_ASSERT(errorOf(result).kind == PeerErrorKind::NoAnswer);
            CPPUNIT_ASSERT(peers.server.log.waitForLine("expected a message of at most 4194368"));
            peers.assertCallSucceeds();
        });
        section("incomplete messages past the limit", [&] {
            PeerTransportOptions smallLimit;
            smallLimit.maxBufferedBytes = 100000;
            PeerPair peers(smallLimit);
            CPPUNIT_ASSERT(!isOk(
                    peers.client->call("b", PeerMessageKind::Vote, std::string(200000, 'x'))));
            CPPUNIT_ASSERT(peers.server.log.waitForLine("bytes of incomplete messages"));
            peers.assertCallSucceeds();
        });
        section("messages on all connections past the limit", [&] {
            PeerTransportOptions smallLimit;
            smallLimit.maxHeldBytes = 100000;
            PeerPair peers(smallLimit);
            // Larger than what the server reads at once.
            CPPUNIT_ASSERT(!isOk(
                    peers.client->call("b", PeerMessageKind::Vote, std::string(3U << 20U, 'x'))));
            CPPUNIT_ASSERT(
                    peers.server.log.waitForLine("100000 bytes of messages on all connections"));
            peers.assertCallSucceeds();
        });
        section("connections without a hello at the limit of connections", [&] {
            PeerTransportOptions fewConnections;
            fewConnections.maxConnections = 2;
            fewConnections.helloTimeout = Milliseconds(60000);
            PeerPair peers(fewConnections);
            RawClient first(peers.server.address());
            RawClient second(peers.server.address());
            peers.assertCallSucceeds();
            first.waitForClose();
        });
        section("header fields past the limit", [&] {
            PeerTransportOptions smallLimit;
            smallLimit.maxHeaderBytes = 64;
            PeerPair peers(smallLimit);
            CPPUNIT_ASSERT(!isOk(peers.client->call("b", PeerMessageKind::Vote, "x")));
            CPPUNIT_ASSERT(peers.server.log.waitForLine("bytes of header fields"));
        });
        section("more than a hello before the hello", [&] {
            PeerIdentity identity;
            identity.storageId = std::string(10000, 'x');
            PeerNode server("b");
            CPPUNIT_ASSERT(isOk(server.transport.start()));
            PeerNode client("a", {{"b", "zone-1", server.address()}}, {}, identity);
            CPPUNIT_ASSERT(isOk(client.transport.start()));
            CPPUNIT_ASSERT(!isOk(client.call("b", PeerMessageKind::Vote, "x")));
            CPPUNIT_ASSERT(server.log.waitForLine("expected a message of at most 4096"));
        });
        section("an idle connection", [&] {
            PeerTransportOptions options;
            options.serverIdleTimeout = Milliseconds(50);
            PeerPair peers(options);
            peers.assertCallSucceeds();
            CPPUNIT_ASSERT(peers.server.log.waitForLine("from a at 127.0.0.1"));
            peers.assertCallSucceeds();
        });
    }

    /// Guards against a peer that opens an unlimited number of streams.
    void streamsAreLimited()
    {
        PeerTransportOptions options;
        options.maxStreams = 8;
        PeerPair peers(options);
        RawClient client(peers.server.address());
        client.send(recordHelloBytes());
        // After the response to the hello, its stream is closed and no longer counts against the
        // limit.
        client.readUntil([](const std::string &received) {
            return received.find("cluster-1") != std::string::npos;
        });
        std::string bytes;
        for (std::uint32_t index = 0; index < 20; ++index) {
            bytes += frame(1, 4, 3 + 2 * index, std::string("\x83\x86\x84\x01\x04peer", 9));
        }
        client.send(bytes);
        const std::string answer = client.readUntil([](const std::string &received) {
            return countFrames(received, resetFrame) >= 12;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), countFrames(answer, resetFrame));
        peers.assertCallSucceeds();
    }

    /// Guards against requests being handled that make all incomplete messages be discarded, and
    /// against handling further requests beyond the limit.
    void handledRequestsAtTheLimit()
    {
        HeldRequests held;
        held.sendRequest(3);
        held.waitForRequests(1);
        const std::string message = voteOf(20000);
        constexpr std::size_t partBytes = 16000;
        held.client->send(openStream(5) + dataFrames(5, message.substr(0, partBytes), false));
        section("a request beyond the limit is refused as not handled", [&] {
            held.sendRequest(7);
            held.waitFor(resetOf(7, HeldRequests::refusedStream));
        });
        section("the incomplete message stays", [&] {
            held.replies[0](std::string("first answer"));
            held.waitFor("first answer");
            held.client->send(dataFrames(5, message.substr(partBytes), true));
            held.waitForRequests(2);
            held.replies[1](std::string("second answer"));
            held.waitFor("second answer");
        });
    }

    /// Guards against a client that repeats a request and resets its stream: the handler still
    /// holds each of the messages.
    void resetStreamsCount()
    {
        HeldRequests held;
        held.sendRequest(3);
        held.waitForRequests(1);
        held.client->send(resetOf(3, HeldRequests::cancel));
        held.sendRequest(5);
        held.waitFor(resetOf(5, HeldRequests::refusedStream));
        section("until the handler has replied", [&] {
            // The second answer arrives when the first one has been processed.
            held.client->send(openStream(7) + dataFrames(7, voteOf(1), true));
            held.waitForRequests(2);
            held.replies[0](std::string("too late"));
            held.replies[1](std::string("second answer"));
            held.waitFor("second answer");
            held.sendRequest(9);
            held.waitForRequests(3);
        });
        section("also after the connection has ended", [&] {
            held.client = std::make_unique<RawClient>(held.server.address());
            held.client->send(recordHelloBytes());
            held.waitFor("cluster-1");
            held.sendRequest(3);
            held.waitFor(resetOf(3, HeldRequests::refusedStream));
        });
    }

    /// Guards against short input that declares gigabytes of content and makes the decoder allocate
    /// them.
    void envelopesAreBounded()
    {
        CPPUNIT_ASSERT(!decodeEnvelope<PeerRequest>(std::string("\xdd\xff\xff\xff\xff", 5)));
        CPPUNIT_ASSERT(
                !decodeEnvelope<PeerRequest>(std::string("\x92\x01\xdb\xff\xff\xff\xff", 7)));
        CPPUNIT_ASSERT(!decodeEnvelope<PeerRequest>(std::string(100000, '\x91')));
        CPPUNIT_ASSERT(!decodeEnvelope<PeerRequest>(""));
        CPPUNIT_ASSERT(!decodeEnvelope<PeerRequest>(std::string("\x92\x01\xa1x\x00", 5)));
        const std::optional<PeerRequest> whole =
                decodeEnvelope<PeerRequest>(encodeEnvelope(PeerRequest{3, "body"}));
        CPPUNIT_ASSERT(whole && whole->kind == 3 && whole->body == "body");
        CPPUNIT_ASSERT(equalsInConstantTime("secret", "secret"));
        CPPUNIT_ASSERT(!equalsInConstantTime("secret", "secre"));
        CPPUNIT_ASSERT(!equalsInConstantTime("secret", "secretsecret"));
        CPPUNIT_ASSERT(!equalsInConstantTime("", ""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerInputTest);
