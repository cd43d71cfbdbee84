#include "Consensus/RaftLog.h"

#include <algorithm>

#include "Consensus/RaftMessage.h"

namespace dandelionloom {

RaftLog::RaftLog(std::uint64_t baseIndex, std::uint64_t baseTerm, std::vector<VoterId> voters,
                 const std::vector<LogEntry> &entries)
    : m_baseIndex(baseIndex), m_baseTerm(baseTerm), m_voterChanges{{baseIndex, std::move(voters)}}
{
    for (const LogEntry &entry : entries) {
        push(entry);
    }
}

std::uint64_t RaftLog::lastTerm() const
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term;
}

std::uint64_t RaftLog::durableIndex() const
{
    return m_firstUnsyncedIndex ? *m_firstUnsyncedIndex - 1 : lastIndex();
}

std::optional<std::uint64_t> RaftLog::termAt(std::uint64_t index) const
{
    if (index == m_baseIndex) {
        return m_baseTerm;
    }
    if (index < m_baseIndex || index > lastIndex()) {
        return std::nullopt;
    }
    return at(index).term;
}

const LogEntry &RaftLog::at(std::uint64_t index) const
{
    return m_entries.at(index - m_baseIndex - 1);
}

std::vector<LogEntry> RaftLog::slice(std::uint64_t first, std::uint64_t last,
                                     std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (std::uint64_t index = std::max(first, m_baseIndex + 1);
         index <= std::min(last, lastIndex()); ++index) {
        const LogEntry &entry = at(index);
        bytes += entry.payload.size();
        if (!result.empty() && bytes > maxBytes) {
            break;
        }
        result.push_back(entry);
    }
    return result;
}

const std::vector<VoterId> &RaftLog::voters() const
{
    return m_voterChanges.back().voters;
}

const std::vector<VoterId> &RaftLog::votersAt(std::uint64_t index) const
{
    auto change = m_voterChanges.rbegin();
    while (change + 1 != m_voterChanges.rend() && change->index > index) {
        ++change;
    }
    return change->voters;
}

std::uint64_t RaftLog::votersIndex() const
{
    return m_voterChanges.back().index;
}

void RaftLog::replaceFrom(const std::vector<LogEntry> &entries)
{
    if (entries.empty()) {
        return;
    }
    const std::uint64_t first = entries.front().index;
    const std::uint64_t durable = durableIndex();
    if (first <= durable) {
        // Durable entries after m_firstUnsyncedIndex were saved for undo() by an earlier call.
        std::vector<LogEntry> replaced(
                m_entries.begin() + static_cast<std::ptrdiff_t>(first - m_baseIndex - 1),
                m_entries.begin() + static_cast<std::ptrdiff_t>(durable - m_baseIndex));
        replaced.insert(replaced.end(), m_replacedEntries.begin(), m_replacedEntries.end());
        m_replacedEntries = std::move(replaced);
    }
    m_firstUnsyncedIndex = std::min(m_firstUnsyncedIndex.value_or(first), first);
    truncateFrom(first);
    for (const LogEntry &entry : entries) {
        push(entry);
    }
}

std::vector<LogEntry> RaftLog::unsynced() const
{
    if (!m_firstUnsyncedIndex) {
        return {};
    }
    return {m_entries.begin()
                    + static_cast<std::ptrdiff_t>(*m_firstUnsyncedIndex - m_baseIndex - 1),
            m_entries.end()};
}

void RaftLog::synced()
{
    m_firstUnsyncedIndex.reset();
    m_replacedEntries.clear();
}

void RaftLog::undo()
{
    if (!m_firstUnsyncedIndex) {
        return;
    }
    truncateFrom(*m_firstUnsyncedIndex);
    for (const LogEntry &entry : m_replacedEntries) {
        push(entry);
    }
    synced();
}

void RaftLog::compact(std::uint64_t index)
{
    if (index <= m_baseIndex || index > durableIndex()) {
        return;
    }
    const std::uint64_t term = at(index).term;
    std::vector<VoterId> voters = votersAt(index);
    m_entries.erase(m_entries.begin(),
                    m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_baseIndex));
    std::erase_if(m_voterChanges, [&](const VoterChange &change) { return change.index <= index; });
    m_voterChanges.insert(m_voterChanges.begin(), {index, std::move(voters)});
    m_baseIndex = index;
    m_baseTerm = term;
}

void RaftLog::reset(std::uint64_t baseIndex, std::uint64_t baseTerm, std::vector<VoterId> voters)
{
    *this = RaftLog(baseIndex, baseTerm, std::move(voters), {});
}

void RaftLog::push(const LogEntry &entry)
{
    m_entries.push_back(entry);
    if (entry.kind != voterEntryKind) {
        return;
    }
    const auto voters = decodeVoters(entry.payload);
    if (isOk(voters)) {
        m_voterChanges.push_back({entry.index, valueOf(voters)});
    }
}

void RaftLog::truncateFrom(std::uint64_t index)
{
    m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_baseIndex - 1),
                    m_entries.end());
    while (m_voterChanges.size() > 1 && m_voterChanges.back().index >= index) {
        m_voterChanges.pop_back();
    }
}

} // namespace dandelionloom
