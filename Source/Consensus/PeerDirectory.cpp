#include "Consensus/PeerDirectory.h"

#include <algorithm>
#include <utility>

namespace dandelionloom {

namespace {

/// A group has a handful of instances. The limit bounds what a faulty peer can add.
constexpr std::size_t maxNames = 64;

} // namespace

PeerDirectory::PeerDirectory(std::string self, const std::vector<std::string> &configured,
                             std::int64_t retentionMs)
    : m_self(std::move(self)), m_retentionMs(retentionMs)
{
    for (const std::string &name : configured) {
        addConfigured(name);
    }
}

void PeerDirectory::addConfigured(const std::string &name)
{
    if (!name.empty() && name != m_self) {
        m_configured.insert(name);
    }
}

PeerDirectory::Evidence *PeerDirectory::findOrAdd(const std::string &name, bool &added)
{
    added = false;
    if (name.empty() || name == m_self) {
        return nullptr;
    }
    const auto found = m_evidence.find(name);
    if (found != m_evidence.end()) {
        return &found->second;
    }
    if (m_evidence.size() >= maxNames) {
        return nullptr;
    }
    added = !m_configured.contains(name);
    if (added) {
        m_newNames.push_back(name);
    }
    return &m_evidence[name];
}

bool PeerDirectory::recordContact(const std::string &name, SteadyTimeMs now)
{
    bool added = false;
    if (Evidence *evidence = findOrAdd(name, added)) {
        evidence->lastAt = now;
        evidence->contactedAt = now;
    }
    return added;
}

bool PeerDirectory::recordHint(const std::string &name, SteadyTimeMs now)
{
    bool added = false;
    if (Evidence *evidence = findOrAdd(name, added)) {
        evidence->lastAt = now;
    }
    return added;
}

void PeerDirectory::forgetExpired(SteadyTimeMs now)
{
    const auto isExpired = [&](SteadyTimeMs at) { return now - at >= m_retentionMs; };
    std::erase_if(m_evidence, [&](const auto &item) { return isExpired(item.second.lastAt); });
    for (auto &[name, evidence] : m_evidence) {
        if (evidence.contactedAt && isExpired(*evidence.contactedAt)) {
            evidence.contactedAt.reset();
        }
    }
}

std::vector<std::string> PeerDirectory::names() const
{
    std::set<std::string> result = m_configured;
    for (const auto &[name, evidence] : m_evidence) {
        result.insert(name);
    }
    return {result.begin(), result.end()};
}

std::vector<std::string> PeerDirectory::contactedNames() const
{
    std::vector<std::string> result;
    for (const auto &[name, evidence] : m_evidence) {
        if (evidence.contactedAt) {
            result.push_back(name);
        }
    }
    return result;
}

std::vector<std::string> PeerDirectory::takeNewNames()
{
    return std::exchange(m_newNames, {});
}

} // namespace dandelionloom
