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

/// A client that writes bytes as given.
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

    void endSending() { ::shutdown(m_socket, SHUT_WR); }

    /// Reads until the predicate holds for all bytes so far or the other side closed.
    std::string readUntil(const std::function<bool(const std::string &)> &enough)
    {
        std::string bytes;
        std::array<char, 4096> buffer;
        while (!enough(bytes)) {
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

/// The bytes that a client sends up to its hello.
std::string recordedHello()
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
    const std::string hello = encodeEnvelope(helloOf(PeerNode::completed({}, "a")));
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

/// Types of the whole frames in a stream of bytes.
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

/// A server with one handler and a well-behaved client that shows it still works.
struct Target
{
    explicit Target(PeerTransportOptions serverOptions = {},
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

    void assertWorks()
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
    CPPUNIT_TEST(damagedInputClosesTheConnection);
    CPPUNIT_TEST(clientSurvivesDamagedAnswers);
    CPPUNIT_TEST(limitsCloseTheConnection);
    CPPUNIT_TEST(streamsAreLimited);
    CPPUNIT_TEST(envelopesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against bytes from the network that stop the process or disturb other connections.
    void damagedInputClosesTheConnection()
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
        const std::string hello = recordedHello();
        const std::string preface = hello.substr(0, 24);
        Target target;
        const auto feed = [&](const std::string &bytes) {
            RawClient client(target.server.address());
            client.send(bytes);
            client.endSending();
            client.waitForClose();
        };
        section("random bytes, with and without the preface", [&] {
            for (int round = 0; round < 100; ++round) {
                feed((round % 2 == 0 ? preface : "") + randomBytes(random() % 2000));
            }
            CPPUNIT_ASSERT(target.server.log.waitForLine("connection without hello at 127.0.0.1"));
        });
        section("a hello truncated at each byte", [&] {
            for (std::size_t length = 0; length < hello.size(); ++length) {
                feed(hello.substr(0, length));
            }
        });
        section("a hello with flipped bits, and a hello followed by random bytes", [&] {
            for (int round = 0; round < 200; ++round) {
                std::string bytes = hello;
                bytes[random() % bytes.size()] ^= static_cast<char>(1U << (random() % 8));
                feed(bytes + (round % 2 == 0 ? randomBytes(500) : ""));
            }
            feed(hello + randomBytes(2000));
        });
        section("a body that is no envelope, after the hello", [&] {
            feed(hello + frame(1, 4, 3, std::string("\x83\x86\x84\x01\x04peer", 9))
                 + frame(0, 1, 3, "\xc1"));
            CPPUNIT_ASSERT(target.server.log.waitForLine("expected a request envelope"));
        });
        section("a silent connection ends at the hello timeout", [&] {
            PeerTransportOptions options;
            options.helloTimeout = Milliseconds(50);
            Target quick(options);
            RawClient client(quick.server.address());
            client.waitForClose();
            CPPUNIT_ASSERT(quick.server.log.waitForLine("expected a hello within 50 ms"));
        });
        target.assertWorks();
    }

    /// Guards against a server that can harm its clients.
    void clientSurvivesDamagedAnswers()
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

    /// Guards against a message or header that takes the memory of the process.
    void limitsCloseTheConnection()
    {
        section("a message past the limit", [&] {
            PeerTransportOptions generous;
            generous.maxMessageBytes = 8U << 20U;
            Target target({}, generous);
            const PeerResult result =
                    target.client->call("b", PeerMessageKind::Vote, std::string(6U << 20U, 'x'));
            CPPUNIT_ASSERT(!isOk(result));
            CPPUNIT_ASSERT(errorOf(result).kind == PeerErrorKind::NoAnswer);
            CPPUNIT_ASSERT(target.server.log.waitForLine("expected a message of at most 4194368"));
            target.assertWorks();
        });
        section("incomplete messages past the limit", [&] {
            PeerTransportOptions narrow;
            narrow.maxBufferedBytes = 100000;
            Target target(narrow);
            CPPUNIT_ASSERT(!isOk(
                    target.client->call("b", PeerMessageKind::Vote, std::string(200000, 'x'))));
            CPPUNIT_ASSERT(target.server.log.waitForLine("bytes of incomplete messages"));
            target.assertWorks();
        });
        section("header fields past the limit", [&] {
            PeerTransportOptions narrow;
            narrow.maxHeaderBytes = 64;
            Target target(narrow);
            CPPUNIT_ASSERT(!isOk(target.client->call("b", PeerMessageKind::Vote, "x")));
            CPPUNIT_ASSERT(target.server.log.waitForLine("bytes of header fields"));
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
            Target target(options);
            target.assertWorks();
            CPPUNIT_ASSERT(target.server.log.waitForLine("from a at 127.0.0.1"));
            target.assertWorks();
        });
    }

    /// Guards against a peer that opens streams without end.
    void streamsAreLimited()
    {
        PeerTransportOptions options;
        options.maxStreams = 8;
        Target target(options);
        RawClient client(target.server.address());
        client.send(recordedHello());
        // Once the hello is answered its own stream is closed and counts no more.
        client.readUntil([](const std::string &found) {
            return found.find("cluster-1") != std::string::npos;
        });
        std::string bytes;
        for (std::uint32_t index = 0; index < 20; ++index) {
            bytes += frame(1, 4, 3 + 2 * index, std::string("\x83\x86\x84\x01\x04peer", 9));
        }
        client.send(bytes);
        const std::string answer = client.readUntil(
                [](const std::string &found) { return countFrames(found, resetFrame) >= 12; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), countFrames(answer, resetFrame));
        target.assertWorks();
    }

    /// Guards against a few bytes that claim gigabytes.
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
