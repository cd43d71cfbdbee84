#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Ports/LogStorage.h"

namespace dandelionloom {

/// Splits a command into parts of at most `maxBytes`; at least one.
std::vector<std::string> splitCommand(std::string payload, std::size_t maxBytes);

/// Joins the parts of commands in the order of the log. A message carries at least one entry, so an
/// entry must not be larger than a message may be.
class CommandParts
{
public:
    /// Returns the entry, with the whole payload if it ends a command, or none for a part.
    std::optional<LogEntry> add(LogEntry entry);

private:
    std::string m_payload;
    std::uint64_t m_term = 0;
    std::uint64_t m_nextIndex = 0;
};

} // namespace dandelionloom
