#include "Consensus/RaftMessage.h"

namespace dandelionloom {

namespace {

template <typename T>
std::string packed(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

} // namespace

bool isResponse(RaftMessageKind kind)
{
    switch (kind) {
    case RaftMessageKind::ProbeResponse:
    case RaftMessageKind::PreVoteResponse:
    case RaftMessageKind::VoteResponse:
    case RaftMessageKind::AppendResponse:
    case RaftMessageKind::SnapshotResponse:
    case RaftMessageKind::DepartureResponse:
        return true;
    case RaftMessageKind::Probe:
    case RaftMessageKind::PreVote:
    case RaftMessageKind::Vote:
    case RaftMessageKind::Append:
    case RaftMessageKind::SnapshotChunk:
    case RaftMessageKind::Departure:
        return false;
    }
    return false;
}

std::string encodeRaftMessage(const RaftMessage &message)
{
    return packed(message);
}

Result<RaftMessage, RaftMessageError> decodeRaftMessage(const std::string &bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        auto message = handle.get().as<RaftMessage>();
        const auto kind = static_cast<std::size_t>(message.kind);
        if (kind >= raftMessageKindNames.names.size()) {
            return RaftMessageError{"unknown consensus message kind " + std::to_string(kind)};
        }
        return message;
    } catch (const std::exception &exception) {
        return RaftMessageError{std::string("consensus message is damaged: ") + exception.what()};
    }
}

std::string encodeVoters(const std::vector<VoterId> &voters)
{
    return packed(voters);
}

Result<std::vector<VoterId>, RaftMessageError> decodeVoters(const std::string &bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<std::vector<VoterId>>();
    } catch (const std::exception &exception) {
        return RaftMessageError{std::string("voter change is damaged: ") + exception.what()};
    }
}

} // namespace dandelionloom
