#include "Runtime/AppliedState.h"

#include <algorithm>

#include "Runtime/ReplicaMessages.h"

namespace dandelionloom {

namespace {

/// Entries that are retained, so that followers that lag slightly need no snapshot.
constexpr std::size_t tailLimitBytes = 4 * 1024 * 1024;
constexpr std::size_t tailLimitEntries = 16384;

/// Maximum number of quorum contacts whose commit index is not applied yet. A replica that lags
/// further ignores new contacts, so its contact age stays that of the earlier ones.
constexpr std::size_t pendingContactLimit = 256;

/// Format of a stored or transferred snapshot.
struct StateDocument
{
    std::int64_t lastCommandTimeMs = 0;
    std::string state;
    MSGPACK_DEFINE_ARRAY(lastCommandTimeMs, state)
};

} // namespace

AppliedState::AppliedState(std::string group, StateStore &store)
    : m_group(std::move(group)), m_store(store)
{ }

Result<CommandOutcome, CodecError> AppliedState::apply(const LogEntry &entry)
{
    if (entry.index != m_index + 1) {
        return CodecError{"expected entry " + std::to_string(m_index + 1) + ", found "
                          + std::to_string(entry.index)};
    }
    // Voter changes and the first entry of a term hold no command and only advance the index.
    Command command{m_group, m_lastCommandTimeMs, NoOperation{}};
    if (entry.kind == commandEntryKind && !entry.payload.empty()) {
        auto decoded = decodeCommand(entry.payload);
        if (!isOk(decoded)) {
            return errorOf(decoded);
        }
        command = takeValue(std::move(decoded));
    }
    m_lastCommandTimeMs = std::max(m_lastCommandTimeMs, command.atMs);
    CommandOutcome outcome = m_store.apply(entry.index, command);
    m_index = entry.index;
    m_tail.push_back(entry);
    m_tailBytes += entry.payload.size();
    while (m_tail.size() > 1
           && (m_tailBytes > tailLimitBytes || m_tail.size() > tailLimitEntries)) {
        m_tailBytes -= m_tail.front().payload.size();
        m_tail.pop_front();
    }
    promoteAppliedContacts();
    return outcome;
}

Result<Done, CodecError> AppliedState::restore(std::uint64_t index, const std::string &bytes)
{
    if (index <= m_index) {
        return Done{};
    }
    auto document = unpackMessage<StateDocument>(bytes);
    if (!isOk(document)) {
        return CodecError{"snapshot " + std::to_string(index) + " is damaged"};
    }
    auto restored = m_store.restoreSnapshot(valueOf(document).state);
    if (!isOk(restored)) {
        return restored;
    }
    if (m_store.appliedIndex() != index) {
        return CodecError{"expected a snapshot of index " + std::to_string(index) + ", found "
                          + std::to_string(m_store.appliedIndex())};
    }
    m_index = index;
    m_lastCommandTimeMs = std::max(m_lastCommandTimeMs, valueOf(document).lastCommandTimeMs);
    m_tail.clear();
    m_tailBytes = 0;
    promoteAppliedContacts();
    return Done{};
}

std::string AppliedState::encode() const
{
    return packMessage(StateDocument{m_lastCommandTimeMs, m_store.encodeSnapshot()});
}

std::optional<std::vector<LogEntry>> AppliedState::entriesAfter(std::uint64_t index,
                                                                std::size_t maxBytes) const
{
    std::vector<LogEntry> entries;
    if (index >= m_index) {
        return entries;
    }
    if (m_tail.empty() || index + 1 < m_tail.front().index) {
        return std::nullopt;
    }
    std::size_t bytes = 0;
    for (std::size_t at = index + 1 - m_tail.front().index; at < m_tail.size(); ++at) {
        bytes += m_tail[at].payload.size();
        if (!entries.empty() && bytes > maxBytes) {
            break;
        }
        entries.push_back(m_tail[at]);
    }
    return entries;
}

void AppliedState::recordContact(const QuorumContact &contact)
{
    const QuorumContact *latest = !m_pendingContacts.empty() ? &m_pendingContacts.back()
            : m_contact                                      ? &*m_contact
                                                             : nullptr;
    if ((latest != nullptr && contact.at <= latest->at)
        || m_pendingContacts.size() >= pendingContactLimit) {
        return;
    }
    m_pendingContacts.push_back(contact);
    promoteAppliedContacts();
}

void AppliedState::promoteAppliedContacts()
{
    while (!m_pendingContacts.empty() && m_pendingContacts.front().commit <= m_index) {
        m_contact = m_pendingContacts.front();
        m_pendingContacts.pop_front();
    }
}

} // namespace dandelionloom
