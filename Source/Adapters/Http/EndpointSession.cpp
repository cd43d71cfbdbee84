#include "Adapters/Http/EndpointSession.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <charconv>
#include <optional>

#include "Adapters/Http/ByteReader.h"

namespace dandelionloom {

namespace {

constexpr int maxResponseHeaders = 100;

/// Gives access to the protected constructor of Poco::Net::StreamSocket that takes an
/// implementation.
class StreamSocketWithImpl : public Poco::Net::StreamSocket
{
public:
    explicit StreamSocketWithImpl(Poco::Net::SocketImpl *impl) : StreamSocket(impl) { }
};

AttemptResult maybeRunResult(AttemptFault fault)
{
    return {AttemptVerdict::MaybeRun, fault, {}};
}

/// Framing of a response. `length` is empty for chunked transfer coding.
struct ResponseFraming
{
    bool valid = false;
    std::optional<std::size_t> length;
};

ResponseFraming framingOf(const Poco::Net::HTTPResponse &response, const std::string &method)
{
    const int status = response.getStatus();
    if (method == "HEAD" || status == 204 || status == 304) {
        return {true, 0};
    }
    std::size_t lengthFields = 0;
    std::string length;
    std::string coding;
    for (const auto &[name, value] : response) {
        if (equalHeaderNames(name, "Content-Length")) {
            ++lengthFields;
            length = value;
        } else if (equalHeaderNames(name, "Transfer-Encoding")) {
            coding = value;
        }
    }
    if (!coding.empty()) {
        return {lengthFields == 0 && equalHeaderNames(coding, "chunked"), std::nullopt};
    }
    // Content-Length is required: a response that ends with the connection can't be distinguished
    // from a truncated one.
    std::size_t value = 0;
    const char *last = length.data() + length.size();
    const auto [rest, error] = std::from_chars(length.data(), last, value);
    return {lengthFields == 1 && !length.empty() && error == std::errc() && rest == last, value};
}

AttemptFault faultOf(ReadStatus status)
{
    switch (status) {
    case ReadStatus::TimedOut:
        return AttemptFault::TimedOut;
    case ReadStatus::TooLong:
        return AttemptFault::ResponseTooLarge;
    case ReadStatus::Malformed:
        return AttemptFault::InvalidResponse;
    default:
        return AttemptFault::ShortBody;
    }
}

} // namespace

namespace detail {

Poco::Timespan DeadlineSocketImpl::remainingTime() const
{
    const SteadyTimeMs remainingMs = deadlineAt - steadyTimeNow();
    if (remainingMs <= 0) {
        throw Poco::TimeoutException("deadline");
    }
    return {remainingMs * Poco::Timespan::MILLISECONDS};
}

int DeadlineSocketImpl::sendBytes(const void *buffer, int length, int flags)
{
    setSendTimeout(remainingTime());
    // StreamSocketImpl::sendBytes is not used: it continues partial sends and loses the number of
    // bytes sent on an error.
    const int count = SocketImpl::sendBytes(buffer, length, flags | MSG_NOSIGNAL);
    bytesSent += static_cast<std::size_t>(std::max(count, 0));
    return count;
}

int DeadlineSocketImpl::receiveBytes(void *buffer, int length, int flags)
{
    if (!poll(remainingTime(), SELECT_READ)) {
        throw Poco::TimeoutException("deadline");
    }
    return SocketImpl::receiveBytes(buffer, length, flags);
}

} // namespace detail

EndpointSession::EndpointSession(const Poco::Net::StreamSocket &socket,
                                 detail::DeadlineSocketImpl &impl)
    : HTTPClientSession(socket), m_socketImpl(impl)
{
    setKeepAlive(true);
}

std::unique_ptr<EndpointSession> EndpointSession::connectTo(const std::string &address,
                                                            SteadyTimeMs deadlineAt)
{
    auto *impl = new detail::DeadlineSocketImpl;
    StreamSocketWithImpl socket(impl);
    const SteadyTimeMs remainingMs = deadlineAt - steadyTimeNow();
    if (remainingMs <= 0) {
        throw Poco::TimeoutException("deadline");
    }
    socket.connect(Poco::Net::SocketAddress(address),
                   Poco::Timespan(remainingMs * Poco::Timespan::MILLISECONDS));
    socket.setNoDelay(true);
    return std::unique_ptr<EndpointSession>(new EndpointSession(socket, *impl));
}

AttemptResult EndpointSession::exchange(const EndpointAttempt &attempt,
                                        std::size_t maxResponseBytes)
{
    m_reusable = false;
    m_socketImpl.deadlineAt = attempt.deadlineAt;
    m_socketImpl.bytesSent = 0;
    try {
        send(attempt);
    } catch (const Poco::Exception &) {
        const bool sent = m_socketImpl.bytesSent > 0;
        return {sent ? AttemptVerdict::MaybeRun : AttemptVerdict::NotSent,
                AttemptFault::SendFailed,
                {}};
    }
    try {
        return receive(attempt, maxResponseBytes);
    } catch (const Poco::TimeoutException &) {
        return maybeRunResult(AttemptFault::TimedOut);
    } catch (const Poco::Net::NoMessageException &) {
        return maybeRunResult(AttemptFault::ConnectionLost);
    } catch (const Poco::Net::MessageException &) {
        return maybeRunResult(AttemptFault::InvalidResponse);
    } catch (const Poco::SyntaxException &) {
        return maybeRunResult(AttemptFault::InvalidResponse);
    } catch (const Poco::Exception &) {
        return maybeRunResult(AttemptFault::ConnectionLost);
    }
}

void EndpointSession::send(const EndpointAttempt &attempt)
{
    // HTTPClientSession::sendRequest() is not used: it resends a failed request on a new
    // connection.
    std::string bytes = attempt.method + " " + attempt.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : attempt.headers) {
        bytes += name + ": " + value + "\r\n";
    }
    const SteadyTimeMs remainingMs =
            std::max<SteadyTimeMs>(attempt.deadlineAt - steadyTimeNow(), 1);
    bytes += std::string(headerNames::requestId) + ": " + attempt.requestId + "\r\n";
    bytes += std::string(headerNames::attemptId) + ": " + attempt.attemptId + "\r\n";
    bytes += std::string(headerNames::deadline) + ": " + std::to_string(remainingMs) + "\r\n";
    bytes += "Content-Length: " + std::to_string(attempt.body.size()) + "\r\n";
    bytes += "Connection: keep-alive\r\n\r\n";
    bytes += attempt.body;
    constexpr std::size_t maxSendBytes = 262144;
    for (std::size_t position = 0; position < bytes.size();) {
        const std::size_t partSize = std::min(bytes.size() - position, maxSendBytes);
        const int count = socket().sendBytes(bytes.data() + position, static_cast<int>(partSize));
        if (count <= 0) {
            throw Poco::TimeoutException("deadline");
        }
        position += static_cast<std::size_t>(count);
    }
}

AttemptResult EndpointSession::receive(const EndpointAttempt &attempt, std::size_t maxResponseBytes)
{
    Poco::Net::HTTPResponse response;
    response.setFieldLimit(maxResponseHeaders);
    receiveResponse(response);
    if (response.get(headerNames::attemptId, "") != attempt.attemptId) {
        return maybeRunResult(AttemptFault::WrongAttemptId);
    }
    const ResponseFraming framing = framingOf(response, attempt.method);
    // Interim responses other than 100 are invalid here: the final response is not awaited.
    if (!framing.valid || response.getStatus() < Poco::Net::HTTPResponse::HTTP_OK) {
        return maybeRunResult(AttemptFault::InvalidResponse);
    }
    ByteReader reader([&](char *buffer, int size) {
        return static_cast<int>(HTTPSession::read(buffer, size));
    });
    AttemptResult result{AttemptVerdict::Answered, AttemptFault::None, {}};
    ReadStatus status = ReadStatus::TooLong;
    if (!framing.length) {
        status = readChunkedBody(reader, result.answer.body, maxResponseBytes);
    } else if (*framing.length <= maxResponseBytes) {
        status = reader.readExactly(result.answer.body, *framing.length);
    }
    if (status != ReadStatus::Ok) {
        return maybeRunResult(faultOf(status));
    }
    if (reader.buffered() > 0 || buffered() > 0 || socket().available() > 0) {
        return maybeRunResult(AttemptFault::TrailingBytes);
    }
    HttpHeaders received;
    for (const auto &item : response) {
        received.emplace_back(item.first, item.second);
    }
    result.answer.status = response.getStatus();
    result.answer.headers = endToEndHeaders(received);
    if (attempt.method == "HEAD" && response.has("Content-Length")) {
        result.answer.headers.emplace_back("Content-Length", response.get("Content-Length"));
    }
    if (response.get(headerNames::refused, "") == "not-started") {
        result.verdict = AttemptVerdict::Refused;
    }
    m_reusable = response.getKeepAlive();
    return result;
}

bool EndpointSession::isOpenAndIdle()
{
    try {
        // A connection that is readable without a request in flight was closed by the endpoint, or
        // holds unexpected bytes.
        return buffered() == 0 && !socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace dandelionloom
