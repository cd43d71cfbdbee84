#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocketImpl.h>

#include "Model/Time.h"
#include "Ports/EndpointClient.h"

namespace dandelionloom {

namespace detail {

/// Socket that ends sends and receives at a deadline and counts the bytes sent.
class DeadlineSocketImpl : public Poco::Net::StreamSocketImpl
{
public:
    int sendBytes(const void *buffer, int length, int flags) override;
    int receiveBytes(void *buffer, int length, int flags) override;

    SteadyTimeMs deadlineAt = 0;
    std::size_t bytesSent = 0;

private:
    Poco::Timespan remainingTime() const;
};

} // namespace detail

/// One connection to an endpoint. It is reusable only after an exchange that read its response to
/// the end.
class EndpointSession : public Poco::Net::HTTPClientSession
{
public:
    /// Connects, at the latest by `deadlineAt`. Throws Poco::Exception on failure.
    static std::unique_ptr<EndpointSession> connectTo(const std::string &address,
                                                      SteadyTimeMs deadlineAt);

    /// Sends the attempt and reads the response.
    AttemptResult exchange(const EndpointAttempt &attempt, std::size_t maxResponseBytes);

    /// True if the connection is open and has no unread bytes.
    bool isOpenAndIdle();
    /// True if the last exchange left the connection usable.
    bool isReusable() const { return m_reusable; }

    SteadyTimeMs idleSince = 0;

private:
    EndpointSession(const Poco::Net::StreamSocket &socket, detail::DeadlineSocketImpl &impl);

    void send(const EndpointAttempt &attempt);
    AttemptResult receive(const EndpointAttempt &attempt, std::size_t maxResponseBytes);

    detail::DeadlineSocketImpl &m_socketImpl;
    bool m_reusable = false;
};

} // namespace dandelionloom
