#pragma once

#include <map>
#include <string>
#include <vector>

#include "Model/Time.h"
#include "Ports/ReplicatedLog.h"

namespace dandelionloom {

/// Last reports of other entry instances, heard directly or through those that they feed.
/// Used by the replica's thread alone.
class ProgressTable
{
public:
    /// Takes reports whose heardAgeMs counts from their sender. A report that is older than the
    /// one known is left out.
    void note(const std::vector<ReplicaProgress> &reports, SteadyTimeMs now);
    /// All reports that are at most `maxAgeMs` old, with their ages as of now.
    std::vector<ReplicaProgress> reports(SteadyTimeMs now, std::int64_t maxAgeMs) const;

private:
    struct Entry
    {
        ReplicaProgress report;
        SteadyTimeMs heardAt = 0;
    };
    std::map<std::string, Entry> m_entries;
};

} // namespace dandelionloom
