#include "Runtime/ProgressTable.h"

namespace dandelionloom {

namespace {

/// Exceeds the number of entry instances of any deployment, and bounds the memory that a faulty
/// peer can make this instance use.
constexpr std::size_t entryLimit = 1024;

} // namespace

void ProgressTable::mergeReports(const std::vector<ReplicaProgress> &reports, SteadyTimeMs now)
{
    for (const ReplicaProgress &report : reports) {
        if (report.heardAgeMs < 0 || report.name.empty()) {
            continue;
        }
        const SteadyTimeMs heardAt = now - report.heardAgeMs;
        const auto found = m_entries.find(report.name);
        if (found == m_entries.end() && m_entries.size() >= entryLimit) {
            continue;
        }
        if (found == m_entries.end() || heardAt >= found->second.heardAt) {
            m_entries[report.name] = {report, heardAt};
        }
    }
}

std::vector<ReplicaProgress> ProgressTable::reports(SteadyTimeMs now, std::int64_t maxAgeMs) const
{
    std::vector<ReplicaProgress> result;
    for (const auto &item : m_entries) {
        const std::int64_t age = now - item.second.heardAt;
        if (age <= maxAgeMs) {
            result.push_back(item.second.report);
            result.back().heardAgeMs = age;
        }
    }
    return result;
}

} // namespace dandelionloom
