#include "Consensus/CommandParts.h"

#include "Consensus/RaftLog.h"

namespace dandelionloom {

std::vector<std::string> splitCommand(std::string payload, std::size_t maxBytes)
{
    std::vector<std::string> parts;
    if (payload.size() <= maxBytes) {
        parts.push_back(std::move(payload));
        return parts;
    }
    for (std::size_t offset = 0; offset < payload.size(); offset += maxBytes) {
        parts.push_back(payload.substr(offset, maxBytes));
    }
    return parts;
}

std::optional<LogEntry> CommandParts::add(LogEntry entry)
{
    // A leader appends all parts of a command at once. If it fails before they are all stored, the
    // next entry is of a later term.
    if (entry.term != m_term || entry.index != m_nextIndex) {
        m_payload.clear();
    }
    m_term = entry.term;
    m_nextIndex = entry.index + 1;
    if (entry.kind == commandPartEntryKind) {
        m_payload += entry.payload;
        return std::nullopt;
    }
    if (entry.kind == commandEntryKind && !m_payload.empty()) {
        entry.payload = m_payload + entry.payload;
    }
    m_payload.clear();
    return entry;
}

} // namespace dandelionloom
