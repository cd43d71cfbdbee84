#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>

#include "Adapters/Peers/PeerEnvelope.h"
#include "Clients/ClientCrowd.h"
#include "Clients/RunningServe.h"
#include "Clients/RunningSystem.h"
#include "Support/Section.h"

using namespace dandelionloom;
using namespace dandelionloom::test;

namespace {

constexpr std::size_t bytesPerMb = 1024 * 1024;

/// Memory of the nodes that docs/settings.md assumes.
constexpr std::size_t nodeMemoryMb = 128;
/// Descriptors for all but the connections of the crowd, as in limits.max_open_files of the
/// platform.
constexpr std::size_t otherDescriptors = 200;

/// Numbers of connections that the listeners accept, from the settings of the tests or from
/// docs/settings.md.
constexpr std::size_t fewCallers = 16;
constexpr std::size_t manyCallers = 64;
constexpr std::size_t defaultCallers = 1024;
constexpr std::size_t endpointConnections = 512;
constexpr std::size_t operatorConnections = 16 + 64;
constexpr std::size_t peerConnections = 256;

/// Two crowds, or the one that sends ahead, have more connections than their listener accepts.
constexpr std::size_t sendAheadConnections = 48;
constexpr std::size_t sendAheadBytes = 4 * bytesPerMb;
constexpr std::size_t silentConnections = 300;
constexpr std::size_t silentOperators = 60;
/// Part of a request line.
constexpr std::size_t partialHeadBytes = 8;
/// The bodies of a crowd are more than the memory of the node.
constexpr std::size_t bodyConnections = 200;
constexpr std::size_t bodyBytes = bytesPerMb;
/// The messages of a crowd of peers are more than the memory of the machine; each connection holds
/// less than the limit of 8 MiB.
constexpr std::size_t messageConnections = 24;
constexpr std::size_t messageBytes = 7 * bytesPerMb;
constexpr std::size_t frameBytes = 16 * 1024;

/// Neither the listeners' time limits nor those of reads end a crowd before the test does.
const std::string longReadTimeout = "read_timeout_ms = 600000\n";

std::string requestWith(const std::string &line, const std::string &credential)
{
    return line + " HTTP/1.1\r\nHost: loom\r\nAuthorization: Bearer " + credential + "\r\n\r\n";
}

ClientCrowdOptions silentCrowd(const std::string &address, std::size_t connections)
{
    return {address, connections, 0, {"-"}};
}

ClientCrowdOptions slowCrowd(const std::string &address, std::size_t connections)
{
    return {address, connections, partialHeadBytes, {"GET /slow HTTP/1.1\r\n"}};
}

/// An HTTP/2 frame.
std::string frame(char type, char flags, char stream, const std::string &payload)
{
    std::string bytes;
    for (const unsigned shift : {16U, 8U, 0U}) {
        bytes += static_cast<char>(payload.size() >> shift);
    }
    return bytes + type + flags + std::string(3, '\0') + stream + payload;
}

std::string dataFrame(char stream)
{
    return frame(0, 0, stream, std::string(frameBytes, 'x'));
}

/// Peers that say hello and begin two messages, without an end.
ClientCrowdOptions crowdOfPeers(const std::string &address)
{
    PeerIdentity identity;
    identity.clusterId = "dandelionloom";
    identity.group = "jobs";
    identity.name = "crowd";
    identity.credential = "none";
    const std::string head("\x83\x86\x84\x01\x04peer", 9);
    const auto openStream = [&](char stream) { return frame(1, 4, stream, head); };
    ClientCrowdOptions options{
            address, messageConnections, messageBytes, {dataFrame(3) + dataFrame(5)}};
    options.prologue = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, "") + frame(4, 1, 0, "")
            + openStream(1) + openStream(3) + openStream(5)
            + frame(0, 1, 1, encodeEnvelope(makeHello(identity)));
    options.prologueReply = identity.clusterId;
    return options;
}

/// A connection of another process of the deployment: it ends the construction of its client with
/// an error if its hello is not accepted.
ClientCrowdOptions ordinaryPeer(const std::string &address, const PeerIdentity &identity)
{
    PeerHelloReply accepted;
    accepted.version = peerProtocolVersion;
    accepted.accepted = true;
    accepted.clusterId = identity.clusterId;
    ClientCrowdOptions options{address, 1, 0, {"-"}};
    options.prologue = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, "") + frame(4, 1, 0, "")
            + frame(1, 4, 1, std::string("\x83\x86\x84\x01\x04peer", 9))
            + frame(0, 1, 1, encodeEnvelope(makeHello(identity)));
    options.prologueReply = encodeEnvelope(accepted);
    // The name of the server follows.
    options.prologueReply.pop_back();
    return options;
}

PeerIdentity systemPeer()
{
    PeerIdentity identity;
    identity.clusterId = "dandelionloom";
    identity.group = "jobs";
    identity.name = "ordinary";
    identity.credential = "none";
    return identity;
}

PeerIdentity servePeer()
{
    PeerIdentity identity;
    identity.clusterId = RunningServe::clusterId;
    identity.group = RunningServe::group;
    identity.name = "ordinary";
    identity.credential = RunningServe::peerCredential;
    return identity;
}

/// Lets crowds send; then, with the crowds still connected, checks the processes and that a request
/// is answered with success.
void checkWithCrowds(const RunningServe &serve, const std::vector<ClientCrowdOptions> &options,
                     std::size_t connections, const std::function<int()> &ordinary)
{
    const ProcessBounds bounds{nodeMemoryMb, connections + otherDescriptors};
    std::vector<std::unique_ptr<ClientCrowd>> crowds;
    for (const ClientCrowdOptions &crowd : options) {
        crowds.push_back(std::make_unique<ClientCrowd>(crowd));
        crowds.back()->send();
    }
    section("processes are within the bounds", [&] { serve.checkProcesses(bounds); });
    section("an ordinary request at the same address is answered",
            [&] { CPPUNIT_ASSERT_EQUAL(200, ordinary()); });
    section("a caller is answered", [&] { CPPUNIT_ASSERT_EQUAL(200, serve.callerStatus()); });
    section("processes are still within the bounds", [&] { serve.checkProcesses(bounds); });
}

void checkWithCrowd(
        const RunningSystem &system, const ClientCrowdOptions &options, const std::string &job,
        const std::function<void()> &ordinary = [] {})
{
    ClientCrowd crowd(options);
    crowd.send();
    section("processes are within the limits of their machines", [&] { system.checkProcesses(); });
    section("an ordinary client connects to the same address", ordinary);
    section("a job is accepted", [&] {
        CPPUNIT_ASSERT_EQUAL(200, statusOfRequest(system.gatewayAddress(), submission(job)));
    });
    section("processes are still within the limits", [&] { system.checkProcesses(); });
}

} // namespace

/// Clients that read no responses, send nothing or only parts of requests, against the listeners of
/// entry instances and those between the processes of the system.
class OtherListenersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OtherListenersTest);
    CPPUNIT_TEST(callersUnreadResponses);
    CPPUNIT_TEST(callersSilent);
    CPPUNIT_TEST(callersIncompleteBodies);
    CPPUNIT_TEST(operatorsUnreadResponses);
    CPPUNIT_TEST(operatorsSilent);
    CPPUNIT_TEST(endpointsSilent);
    CPPUNIT_TEST(peersSilent);
    CPPUNIT_TEST(systemPeersSilent);
    CPPUNIT_TEST(systemPeersIncompleteMessages);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against callers that hold all connections by leaving their responses unread.
    void callersUnreadResponses()
    {
        const RunningServe serve("caller_connections = " + std::to_string(fewCallers) + "\n"
                                 + longReadTimeout);
        checkWithCrowds(serve,
                        {{serve.callerAddress(),
                          sendAheadConnections,
                          sendAheadBytes,
                          {requestWith("GET /pricing/bundle", RunningServe::refusedCredential),
                           requestWith("GET /pricing/bundle", "unknown")}}},
                        fewCallers, [&] { return serve.callerStatus(); });
    }

    /// Guards against callers that hold all connections by sending nothing, or part of a head.
    void callersSilent()
    {
        const RunningServe serve("caller_connections = " + std::to_string(manyCallers) + "\n"
                                 + longReadTimeout);
        checkWithCrowds(serve,
                        {silentCrowd(serve.callerAddress(), silentConnections),
                         slowCrowd(serve.callerAddress(), silentConnections)},
                        manyCallers, [&] { return serve.callerStatus(); });
    }

    /// Guards against incomplete bodies that take more memory than a node has.
    void callersIncompleteBodies()
    {
        const RunningServe serve(longReadTimeout);
        const std::string request = "POST /pricing/bundle HTTP/1.1\r\nHost: loom\r\n"
                                    "Authorization: Bearer "
                + std::string(RunningServe::refusedCredential) + "\r\nContent-Length: "
                + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
        checkWithCrowds(serve,
                        {{serve.callerAddress(), bodyConnections, request.size() - 1, {request}}},
                        defaultCallers, [&] { return serve.callerStatus(); });
    }

    /// Guards against clients that hold all threads for operators by leaving responses unread.
    void operatorsUnreadResponses()
    {
        const RunningServe serve(longReadTimeout);
        checkWithCrowds(serve,
                        {{serve.operatorAddress(),
                          sendAheadConnections,
                          sendAheadBytes,
                          {requestWith("GET /metrics", RunningServe::operatorCredential),
                           requestWith("GET /v1/status", "unknown")}}},
                        operatorConnections, [&] { return serve.operatorStatus(); });
    }

    /// Guards against clients that hold all threads for operators by sending nothing, or part of a
    /// head.
    void operatorsSilent()
    {
        const RunningServe serve(longReadTimeout);
        checkWithCrowds(serve,
                        {silentCrowd(serve.operatorAddress(), silentOperators),
                         slowCrowd(serve.operatorAddress(), silentOperators)},
                        operatorConnections, [&] { return serve.operatorStatus(); });
    }

    /// Guards against clients that keep the announcements of endpoints out.
    void endpointsSilent()
    {
        const RunningServe serve("");
        checkWithCrowds(serve,
                        {silentCrowd(serve.endpointAddress(), silentConnections),
                         slowCrowd(serve.endpointAddress(), silentConnections)},
                        endpointConnections, [&] { return serve.announcementStatus(); });
    }

    /// Guards against connections without a hello that take the descriptors of an entry instance.
    void peersSilent()
    {
        const RunningServe serve("");
        checkWithCrowds(serve,
                        {silentCrowd(serve.peerAddress(), silentConnections),
                         slowCrowd(serve.peerAddress(), silentConnections)},
                        peerConnections, [&] {
                            const ClientCrowd peer(ordinaryPeer(serve.peerAddress(), servePeer()));
                            return serve.callerStatus();
                        });
    }

    /// Guards against the same at a control instance and a gateway.
    void systemPeersSilent()
    {
        const RunningSystem system;
        section("control instance", [&] {
            checkWithCrowd(system, silentCrowd(system.peerAddress(0), silentConnections),
                           "00000000000000a2", [&] {
                               const ClientCrowd peer(
                                       ordinaryPeer(system.peerAddress(0), systemPeer()));
                           });
        });
        section("gateway", [&] {
            checkWithCrowd(
                    system,
                    silentCrowd(system.peerAddress(RunningSystem::gateway), silentConnections),
                    "00000000000000a3", [&] {
                        const ClientCrowd peer(ordinaryPeer(
                                system.peerAddress(RunningSystem::gateway), systemPeer()));
                    });
        });
    }

    /// Guards against messages of peers that are each within the limit of their connection, and
    /// together take more memory than the machine has.
    void systemPeersIncompleteMessages()
    {
        const RunningSystem system;
        checkWithCrowd(system, crowdOfPeers(system.peerAddress(0)), "00000000000000a2");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OtherListenersTest);
