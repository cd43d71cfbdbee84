#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "Consensus/Raft.h"
#include "Ports/LogStorage.h"
#include "State/StateStore.h"

namespace dandelionloom {

/// Applies committed entries to the state store and retains the latest ones for followers. Not
/// thread-safe: used on the replica's thread only.
class AppliedState
{
public:
    AppliedState(std::string group, StateStore &store);

    /// Applies the entry after the applied index. Fails on any other index and on a command that
    /// this version can't decode.
    Result<CommandOutcome, CodecError> apply(const LogEntry &entry);
    /// Replaces the state by a snapshot that encode() made at `index`. A snapshot that is not newer
    /// than the state is ignored.
    Result<Done, CodecError> restore(std::uint64_t index, const std::string &bytes);
    /// Encodes a snapshot of the state at the applied index.
    std::string encode() const;

    std::uint64_t index() const { return m_index; }
    /// Latest time of an applied command.
    std::int64_t lastCommandTimeMs() const { return m_lastCommandTimeMs; }

    /// Entries after `index` with at most `maxBytes` of payload, but at least one entry if there is
    /// any. None if the entries are no longer retained.
    std::optional<std::vector<LogEntry>> entriesAfter(std::uint64_t index,
                                                      std::size_t maxBytes) const;

    /// Records a contact with a quorum. contact() returns it once its commit index is applied.
    void recordContact(const QuorumContact &contact);
    /// The latest quorum contact whose commit index is applied.
    const std::optional<QuorumContact> &contact() const { return m_contact; }

private:
    void promoteAppliedContacts();

    const std::string m_group;
    StateStore &m_store;
    std::uint64_t m_index = 0;
    std::int64_t m_lastCommandTimeMs = 0;
    std::deque<LogEntry> m_tail;
    std::size_t m_tailBytes = 0;
    std::deque<QuorumContact> m_pendingContacts;
    std::optional<QuorumContact> m_contact;
};

} // namespace dandelionloom
