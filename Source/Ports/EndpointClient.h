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
    /// The whole answer of this attempt.
    Answered,
    /// The endpoint refused the attempt before it started.
    Refused,
    /// No byte of the request was sent.
    NotSent,
    /// Bytes were sent and no usable answer came: the endpoint may have run the request.
    MaybeRun
};
inline constexpr EnumNames<AttemptVerdict, 4> attemptVerdictNames{
        {"answered", "refused", "not-sent", "maybe-run"}};

/// Why an attempt has no usable answer.
enum class AttemptFault {
    None,
    ConnectFailed,
    NoConnection,
    SendFailed,
    TimedOut,
    ConnectionLost,
    BadAnswer,
    WrongAttemptId,
    ShortBody,
    LeftOverBytes,
    AnswerTooLarge
};
inline constexpr EnumNames<AttemptFault, 11> attemptFaultNames{
        {"none", "connect-failed", "no-connection", "send-failed", "timed-out", "connection-lost",
         "bad-answer", "wrong-attempt-id", "short-body", "left-over-bytes", "answer-too-large"}};

/// True if an answer came and was dropped because it can't be proven to be the attempt's own.
inline bool isDroppedAnswer(AttemptFault fault)
{
    return fault >= AttemptFault::BadAnswer;
}

struct AttemptResult
{
    AttemptVerdict verdict = AttemptVerdict::NotSent;
    AttemptFault fault = AttemptFault::None;
    /// The endpoint's answer, for Answered and Refused.
    HttpAnswer answer;
};

/// Sends attempts to endpoints. Thread-safe; run() blocks until the deadline at the latest.
class EndpointClient
{
public:
    virtual ~EndpointClient() = default;

    virtual AttemptResult run(const EndpointAttempt &attempt) = 0;
    /// Closes idle connections to an address that takes no more work.
    virtual void forget(const std::string &address) = 0;
    /// Closes connections that were idle for too long. To be called about once a second.
    virtual void closeIdle() = 0;
};

} // namespace dandelionloom
