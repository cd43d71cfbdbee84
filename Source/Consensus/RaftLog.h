#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "Ports/LogStorage.h"

namespace dandelionloom {

/// Kinds of LogEntry::kind.
inline constexpr std::uint32_t commandEntryKind = 0;
inline constexpr std::uint32_t voterEntryKind = 1;

/// The entries of one replica in memory. Changes since the last sync can be undone, so that a
/// full disk leaves memory as the disk is.
class RaftLog
{
public:
    RaftLog() = default;
    /// `voters` is the voter set at `baseIndex`, the last index that `entries` do not hold.
    RaftLog(std::uint64_t baseIndex, std::uint64_t baseTerm, std::vector<VoterId> voters,
            const std::vector<LogEntry> &entries);

    std::uint64_t baseIndex() const { return m_baseIndex; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const;
    /// Last index that was synced.
    std::uint64_t durableIndex() const;
    /// Term of an entry or of the base; none if the log does not hold the index.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    const LogEntry &at(std::uint64_t index) const;
    /// Entries from `first` up to `last`, at least one if there is one, else limited by
    /// `maxBytes` of payload.
    std::vector<LogEntry> slice(std::uint64_t first, std::uint64_t last,
                                std::size_t maxBytes) const;

    /// The voter set in force: of the last voter change, committed or not.
    const std::vector<VoterId> &voters() const;
    /// The voter set as of `index`.
    const std::vector<VoterId> &votersAt(std::uint64_t index) const;
    /// Index of the last voter change.
    std::uint64_t votersIndex() const;

    /// Replaces everything from entries.front().index on. Not durable until synced().
    void replaceFrom(const std::vector<LogEntry> &entries);
    /// The entries to sync; empty if there are none.
    std::vector<LogEntry> unsynced() const;
    void synced();
    /// Undoes all changes since the last synced().
    void undo();

    /// Drops the entries up to `index`, which a snapshot covers.
    void compact(std::uint64_t index);
    /// Starts anew behind a snapshot from another replica.
    void reset(std::uint64_t baseIndex, std::uint64_t baseTerm, std::vector<VoterId> voters);

private:
    struct VoterChange
    {
        std::uint64_t index = 0;
        std::vector<VoterId> voters;
    };

    void push(const LogEntry &entry);
    void truncateFrom(std::uint64_t index);

    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    std::deque<LogEntry> m_entries;
    /// Never empty; the first is the voter set at the base.
    std::vector<VoterChange> m_voterChanges{{}};
    /// First index changed since the last sync, and the durable entries that were replaced.
    std::optional<std::uint64_t> m_changedFrom;
    std::vector<LogEntry> m_replaced;
};

} // namespace dandelionloom
