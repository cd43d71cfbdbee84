#pragma once

#include <map>
#include <string>
#include <vector>

#include "Model/Time.h"
#include "Ports/ReplicatedLog.h"

namespace dandelionloom {

/// Latest progress reports of the other entry instances, received directly or forwarded by the
/// instances that feed them. Not thread-safe: used on the replica's thread only.
class ProgressTable
{
public:
    /// Stores reports whose heardAgeMs is their age at the time `now`. A report that is older than
    /// the stored one is ignored.
    void mergeReports(const std::vector<ReplicaProgress> &reports, SteadyTimeMs now);
    /// All reports that are at most `maxAgeMs` old, with heardAgeMs as of `now`.
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
