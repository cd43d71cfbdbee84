#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "Ports/LogStorage.h"

namespace dandelionloom {

/// Values of LogEntry::kind.
inline constexpr std::uint32_t commandEntryKind = 0;
inline constexpr std::uint32_t voterEntryKind = 1;
/// A part of a command that the entries right after it continue, up to one of commandEntryKind. A
/// command whose last part is missing was never proposed completely and has no effect.
inline constexpr std::uint32_t commandPartEntryKind = 2;

/// In-memory log of one replica. Changes since the last sync can be undone, so that memory stays
/// consistent with the disk when the disk is full.
class RaftLog
{
public:
    RaftLog() = default;
    /// `voters` is the voter set at `baseIndex`, the index before the first of `entries`.
    RaftLog(std::uint64_t baseIndex, std::uint64_t baseTerm, std::vector<VoterId> voters,
            const std::vector<LogEntry> &entries);

    std::uint64_t baseIndex() const { return m_baseIndex; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const;
    /// Last index that is synced to disk.
    std::uint64_t durableIndex() const;
    /// Term of the entry at `index` or of the base; none if the index is not in the log.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    const LogEntry &at(std::uint64_t index) const;
    /// Entries from `first` to `last` with at most `maxBytes` of payload in total. The first entry
    /// is returned even if it is larger.
    std::vector<LogEntry> slice(std::uint64_t first, std::uint64_t last,
                                std::size_t maxBytes) const;

    /// The voter set in effect: that of the last voter change, whether committed or not.
    const std::vector<VoterId> &voters() const;
    /// The voter set as of `index`.
    const std::vector<VoterId> &votersAt(std::uint64_t index) const;
    /// Index of the last voter change.
    std::uint64_t votersIndex() const;

    /// Replaces all entries from entries.front().index on. Not durable until synced().
    void replaceFrom(const std::vector<LogEntry> &entries);
    /// The entries that are not synced yet.
    std::vector<LogEntry> unsynced() const;
    void synced();
    /// Undoes all changes since the last synced().
    void undo();

    /// Discards the entries up to `index`, which must be covered by a snapshot.
    void compact(std::uint64_t index);
    /// Discards the whole log and continues after a snapshot from another replica.
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
    /// First index that was changed since the last sync, and the durable entries that were
    /// replaced.
    std::optional<std::uint64_t> m_firstUnsyncedIndex;
    std::vector<LogEntry> m_replacedEntries;
};

} // namespace dandelionloom
