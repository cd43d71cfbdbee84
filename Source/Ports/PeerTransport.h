#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Model/EnumNames.h"
#include "Model/Result.h"
#include "Model/Time.h"

namespace dandelionloom {

/// Kinds of messages between peers. The numeric values are part of the wire protocol: only append.
enum class PeerMessageKind {
    Hello,
    PreVote,
    Vote,
    Append,
    SnapshotChunk,
    Feed,
    Propose,
    ReadIndex,
    Progress,
    EndpointDelta,
    EndpointDigest,
    EndpointFetch,
    GatewayDemand,
    /// A consensus message of the job journal. The reply carries the response message.
    JournalMessage,
    /// A call of a client, worker or operator, forwarded to the leader of the journal.
    JobCall,
    /// Asks a control instance for the leader and the voters of the journal.
    Locate,
    /// Calls to workers that the leader of the journal has another control instance make.
    WorkerCalls,
    /// The results of such calls.
    WorkerCallResults
};
inline constexpr EnumNames<PeerMessageKind, 18> peerMessageKindNames{
        {"hello", "pre-vote", "vote", "append", "snapshot-chunk", "feed", "propose", "read-index",
         "progress", "endpoint-delta", "endpoint-digest", "endpoint-fetch", "gateway-demand",
         "journal-message", "job-call", "locate", "worker-calls", "worker-call-results"}};

enum class PeerErrorKind {
    /// No part of the message was sent.
    NotSent,
    /// The message may have been received.
    NoAnswer,
    /// The peer rejected the message: wrong cluster, version or credential, or unknown kind.
    Refused
};
inline constexpr EnumNames<PeerErrorKind, 3> peerErrorKindNames{
        {"not-sent", "no-answer", "refused"}};

struct PeerError
{
    PeerErrorKind kind = PeerErrorKind::NotSent;
    std::string message;
};

using PeerResult = Result<std::string, PeerError>;

/// Remote calls between peers. Bodies are msgpack documents, defined by the module that owns the
/// message kind.
class PeerTransport
{
public:
    using Reply = std::function<void(PeerResult)>;
    /// Runs on a transport thread and must not block. `reply` may be called once, later and from
    /// any thread.
    using Handler = std::function<void(const std::string &from, std::string body, Reply reply)>;

    virtual ~PeerTransport() = default;

    /// Sets the handler for a message kind. Must be called before the transport starts.
    virtual void setHandler(PeerMessageKind kind, Handler handler) = 0;

    /// Sends a message without blocking. `reply` is called exactly once, on a transport thread, no
    /// later than after `timeout`.
    virtual void call(const std::string &peer, PeerMessageKind kind, std::string body,
                      Milliseconds timeout, Reply reply) = 0;
};

} // namespace dandelionloom
