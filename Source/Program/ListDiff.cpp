#include "Program/ListDiff.h"

namespace dandelionloom {

EntryFields fieldsOf(const Plan &plan)
{
    return {{"id", plan.id},
            {"customer", plan.customer},
            {"service", plan.service},
            {"urgency", std::string(urgencyNames.name(plan.urgency))},
            {"min_healthy_instances", std::to_string(plan.minHealthyInstances)},
            {"max_unavailable_instances", std::to_string(plan.maxUnavailableInstances)},
            {"default_deadline_ms", std::to_string(plan.defaultDeadlineMs)}};
}

EntryFields fieldsOf(const Allowance &allowance)
{
    return {{"plan", allowance.plan},
            {"max_instances", std::to_string(allowance.maxInstances)},
            {"slots", std::to_string(allowance.slots)},
            {"requests_per_second", std::to_string(allowance.requestsPerSecond)},
            {"weight", std::to_string(allowance.weight)},
            {"accelerators", std::to_string(allowance.accelerators)}};
}

ListDiff listDiff(const ListEntries &from, const ListEntries &to)
{
    ListDiff diff;
    for (const auto &[id, fields] : from) {
        if (!to.contains(id)) {
            diff.removed.push_back(id);
        }
    }
    for (const auto &[id, fields] : to) {
        const auto earlier = from.find(id);
        if (earlier == from.end()) {
            diff.added.push_back(id);
            continue;
        }
        for (std::size_t index = 0; index < fields.size(); ++index) {
            const std::string &before = earlier->second[index].second;
            if (before != fields[index].second) {
                diff.changed[id].push_back({fields[index].first, before, fields[index].second});
            }
        }
    }
    return diff;
}

} // namespace dandelionloom
