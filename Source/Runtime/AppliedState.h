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

/// Applies committed entries to the state store and keeps the last ones to feed followers.
/// Used by the replica's thread alone.
class AppliedState
{
public:
    AppliedState(std::string group, StateStore &store);

    /// Applies the entry behind the applied index. Fails on a record this program can't read.
    Result<CommandOutcome, CodecError> apply(const LogEntry &entry);
    /// Replaces the state by a snapshot of encode(). One that is not newer is left out.
    Result<Done, CodecError> restore(std::uint64_t index, const std::string &bytes);
    std::string encode() const;

    std::uint64_t index() const { return m_index; }
    /// Time of the latest applied command.
    std::int64_t lastAtMs() const { return m_lastAtMs; }

    /// Entries behind `index`, at most `maxBytes` of payload but at least one if there is any.
    /// None if they are no longer kept.
    std::optional<std::vector<LogEntry>> entriesAfter(std::uint64_t index,
                                                      std::size_t maxBytes) const;

    /// Records a contact with a quorum. It counts once all that it covers is applied.
    void noteContact(const QuorumContact &contact);
    /// The latest contact whose accepted commands are all applied.
    const std::optional<QuorumContact> &contact() const { return m_contact; }

private:
    void settleContacts();

    const std::string m_group;
    StateStore &m_store;
    std::uint64_t m_index = 0;
    std::int64_t m_lastAtMs = 0;
    std::deque<LogEntry> m_tail;
    std::size_t m_tailBytes = 0;
    std::deque<QuorumContact> m_pendingContacts;
    std::optional<QuorumContact> m_contact;
};

} // namespace dandelionloom
