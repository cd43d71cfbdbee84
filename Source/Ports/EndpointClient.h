#pragma once

#include <string>

#include "Model/EnumNames.h"
#include "Model/HttpMessage.h"
#include "Model/Time.h"

namespace dandelionloom {

/// One attempt of a request at one endpoint.
struct EndpointAttempt
{
    std::string instance;
    /// IP number and port.
    std::string address;
    std::string requestId;
    std::string attemptId;
    std::string method;
    /// Path and query as the caller sent them.
    std::string target;
    /// End-to-end fields only.
    HttpHeaders headers;
    std::string body;
    /// On this process's monotonic clock.
    SteadyTimeMs deadlineAt = 0;
    bool idempotent = false;
};

enum class AttemptVerdict {
    /// The complete response to this attempt was received.
    Answered,
    /// The endpoint rejected the attempt before running it.
    Refused,
    /// No byte of the request was sent.
    NotSent,
    /// Bytes were sent but no valid response was received: the endpoint may have run the request.
    MaybeRun
};
inline constexpr EnumNames<AttemptVerdict, 4> attemptVerdictNames{
        {"answered", "refused", "not-sent", "maybe-run"}};

/// Why an attempt has no valid response.
enum class AttemptFault {
    None,
    ConnectFailed,
    NoConnection,
    SendFailed,
    TimedOut,
    ConnectionLost,
    InvalidResponse,
    WrongAttemptId,
    ShortBody,
    TrailingBytes,
    ResponseTooLarge
};
inline constexpr EnumNames<AttemptFault, 11> attemptFaultNames{
        {"none", "connect-failed", "no-connection", "send-failed", "timed-out", "connection-lost",
         "bad-answer", "wrong-attempt-id", "short-body", "left-over-bytes", "answer-too-large"}};

/// True if a response was received but discarded, because it can't be attributed to the attempt
/// with certainty.
inline bool isDiscardedResponse(AttemptFault fault)
{
    return fault >= AttemptFault::InvalidResponse;
}

struct AttemptResult
{
    AttemptVerdict verdict = AttemptVerdict::NotSent;
    AttemptFault fault = AttemptFault::None;
    /// Response of the endpoint, for Answered and Refused.
    HttpResponse answer;
};

/// Sends attempts to endpoints. Thread-safe; run() blocks at most until the deadline.
class EndpointClient
{
public:
    virtual ~EndpointClient() = default;

    virtual AttemptResult run(const EndpointAttempt &attempt) = 0;
    /// Closes the idle connections to an address that accepts no more work.
    virtual void closeConnectionsTo(const std::string &address) = 0;
    /// Closes connections that have exceeded the idle timeout. Call about once per second.
    virtual void closeIdle() = 0;
};

} // namespace dandelionloom
