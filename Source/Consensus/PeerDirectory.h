#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Model/Time.h"

namespace dandelionloom {

/// Names of the other instances of a group that an instance knows of beside its voter set. A name
/// is a hint where to ask for the group; it gives no vote and no admission.
class PeerDirectory
{
public:
    /// A name that is not configured is forgotten `retentionMs` after the last evidence for it.
    PeerDirectory(std::string self, const std::vector<std::string> &configured,
                  std::int64_t retentionMs);

    /// Adds a name from the settings. It is never forgotten.
    void addConfigured(const std::string &name);
    /// Records that a message of the instance arrived. True if the name was unknown.
    bool recordContact(const std::string &name, SteadyTimeMs now);
    /// Records a name that another instance has passed on. True if it was unknown.
    bool recordHint(const std::string &name, SteadyTimeMs now);
    void forgetExpired(SteadyTimeMs now);

    /// All known names, in alphabetical order.
    std::vector<std::string> names() const;
    /// Names that may be passed on: those heard from directly. If hints were passed on as well,
    /// instances would keep the name of a removed one alive among themselves.
    std::vector<std::string> contactedNames() const;
    /// Names that became known since the last call and are not in the settings.
    std::vector<std::string> takeNewNames();

private:
    struct Evidence
    {
        SteadyTimeMs lastAt = 0;
        /// Last direct contact; none if there was none within the retention.
        std::optional<SteadyTimeMs> contactedAt;
    };

    /// Returns the evidence for a name, added if there was none. Null for this instance's own name
    /// and for a new name beyond the limit. Sets `added` if the name is new and not configured.
    Evidence *findOrAdd(const std::string &name, bool &added);

    const std::string m_self;
    const std::int64_t m_retentionMs;
    std::set<std::string> m_configured;
    std::map<std::string, Evidence> m_evidence;
    std::vector<std::string> m_newNames;
};

} // namespace dandelionloom
