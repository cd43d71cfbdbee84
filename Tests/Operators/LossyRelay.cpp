#include "Operators/LossyRelay.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "Operators/OperatorFixture.h"

namespace dandelionloom::test {

namespace {

/// Reads one request with a Content-Length, or without a body.
std::string readRequest(Poco::Net::StreamSocket &socket)
{
    std::string bytes;
    char buffer[4096];
    for (;;) {
        const std::size_t end = bytes.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::string length = headerOf(bytes, "Content-Length");
            if (bytes.size() >= end + 4 + (length.empty() ? 0 : std::stoul(length))) {
                return bytes;
            }
        }
        const int count = socket.receiveBytes(buffer, sizeof(buffer));
        if (count <= 0) {
            return bytes;
        }
        bytes.append(buffer, static_cast<std::size_t>(count));
    }
}

} // namespace

LossyRelay::LossyRelay(std::uint16_t serverPort)
    : m_serverPort(serverPort), m_socket(Poco::Net::SocketAddress("127.0.0.1", 0)),
      m_thread([this] { run(); })
{ }

LossyRelay::~LossyRelay()
{
    m_stopped = true;
    try {
        // Unblocks acceptConnection() in the relay's thread.
        Poco::Net::StreamSocket unblocker(m_socket.address());
    } catch (const Poco::Exception &) {
        m_socket.close();
    }
    m_thread.join();
}

std::string LossyRelay::address() const
{
    return m_socket.address().toString();
}

void LossyRelay::run()
{
    for (;;) {
        try {
            Poco::Net::StreamSocket client = m_socket.acceptConnection();
            if (m_stopped) {
                return;
            }
            roundTrip(m_serverPort, readRequest(client));
            ++m_discardedResponses;
        } catch (const Poco::Exception &) {
            if (m_stopped) {
                return;
            }
        }
    }
}

std::string unusedAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

} // namespace dandelionloom::test
