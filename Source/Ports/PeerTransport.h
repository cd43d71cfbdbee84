#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Model/EnumNames.h"
#include "Model/Result.h"
#include "Model/Time.h"

namespace dandelionloom {

/// Messages between entry instances. The number is on the wire: only append.
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
    /// One message of the job journal's consensus; the answer is the reply.
    JournalMessage,
    /// A call of a client, a worker or an operator that the leader of the journal answers.
    JobCall,
    /// Asks a control instance who leads the journal and who keeps it.
    Locate
};
inline constexpr EnumNames<PeerMessageKind, 16> peerMessageKindNames{
        {"hello", "pre-vote", "vote", "append", "snapshot-chunk", "feed", "propose", "read-index",
         "progress", "endpoint-delta", "endpoint-digest", "endpoint-fetch", "gateway-demand",
         "journal-message", "job-call", "locate"}};

enum class PeerErrorKind {
    /// No byte of the message was sent.
    NotSent,
    /// The message may have been received.
    NoAnswer,
    /// The peer refused it: wrong cluster, version, credential or an unknown message.
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

/// Calls between entry instances. Bodies are msgpack documents of the module that owns the kind.
class PeerTransport
{
public:
    using Reply = std::function<void(PeerResult)>;
    /// Runs on a transport thread and must not block; `reply` may be called later, once, from
    /// any thread.
    using Handler = std::function<void(const std::string &from, std::string body, Reply reply)>;

    virtual ~PeerTransport() = default;

    /// Sets the handler of a message kind. Call before start().
    virtual void setHandler(PeerMessageKind kind, Handler handler) = 0;

    /// Sends a message. Never blocks. `reply` is called exactly once, on a transport thread, at
    /// the latest when `timeout` has passed.
    virtual void call(const std::string &peer, PeerMessageKind kind, std::string body,
                      Milliseconds timeout, Reply reply) = 0;
};

} // namespace dandelionloom
