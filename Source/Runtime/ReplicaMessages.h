#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Model/Result.h"
#include "Ports/LogStorage.h"
#include "Ports/ReplicatedLog.h"

namespace dandelionloom {

// Bodies of the peer messages Propose, ReadIndex, Progress and Feed.

struct ProposeRequest
{
    /// Encoded by encodeCommand(). The leader replaces its time.
    std::string command;
    /// The leader doesn't append the command later than this after it received the request.
    std::int64_t timeoutMs = 0;

    MSGPACK_DEFINE_ARRAY(command, timeoutMs)
};

enum class ProposeVerdict { Accepted, NotLeader, Refused, Unknown, DiskFull, TooLarge };
inline constexpr EnumNames<ProposeVerdict, 6> proposeVerdictNames{
        {"accepted", "not-leader", "refused", "unknown", "disk-full", "too-large"}};

struct ProposeAnswer
{
    ProposeVerdict verdict = ProposeVerdict::Refused;
    /// Accepted: log index of the command, and its outcome encoded by encodeOutcome().
    std::uint64_t index = 0;
    std::string outcome;
    std::string message;

    MSGPACK_DEFINE_ARRAY(verdict, index, outcome, message)
};

struct ReadIndexAnswer
{
    bool confirmed = false;
    std::uint64_t index = 0;

    MSGPACK_DEFINE_ARRAY(confirmed, index)
};

struct ProgressAnswer
{
    bool isLeader = false;
    std::vector<ReplicaProgress> replicas;

    MSGPACK_DEFINE_ARRAY(isLeader, replicas)
};

/// Requests the entries after `appliedIndex`, or the next chunk of a snapshot.
struct FeedRequest
{
    std::uint64_t appliedIndex = 0;
    /// Index of the snapshot being transferred; 0 if there is none.
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
    /// Progress of the sender, and periodically also of the followers that it feeds.
    std::vector<ReplicaProgress> reports;

    MSGPACK_DEFINE_ARRAY(appliedIndex, snapshotIndex, snapshotOffset, reports)
};

struct FeedAnswer
{
    std::vector<LogEntry> entries;
    /// Applied index of the source.
    std::uint64_t appliedIndex = 0;
    /// Age of the source's last contact with a quorum; -1 if there was none. The source has applied
    /// `contactCommit`, an index not lower than any that was committed before that contact.
    std::int64_t contactAgeMs = -1;
    std::uint64_t contactCommit = 0;
    /// Time that the source held the long poll before it answered.
    std::int64_t heldMs = 0;
    std::uint64_t term = 0;
    std::string leader;
    /// Index of the snapshot that `snapshotData` is a chunk of; 0 if the answer holds no chunk.
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
    std::uint64_t snapshotBytes = 0;
    std::string snapshotData;

    MSGPACK_DEFINE_ARRAY(entries, appliedIndex, contactAgeMs, contactCommit, heldMs, term, leader,
                         snapshotIndex, snapshotOffset, snapshotBytes, snapshotData)
};

template <typename T>
std::string packMessage(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

/// Fails if the bytes are not one complete document of type T.
template <typename T>
Result<T, std::monostate> unpackMessage(const std::string &bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<T>();
    } catch (const std::exception &) {
        return std::monostate{};
    }
}

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::ProposeVerdict)
