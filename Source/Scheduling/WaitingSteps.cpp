#include "Scheduling/WaitingSteps.h"

namespace dandelionloom {

void WaitingSteps::replace(const JobId &job, const std::string &service,
                           std::vector<WaitingStep> steps, WallTimeMs now)
{
    remove(job);
    for (WaitingStep &step : steps) {
        const StepKey key = step.key;
        Entry &entry = m_steps[key];
        entry = {std::move(step), service, {}, 0};
        insertInOrder(key, entry, now);
    }
}

void WaitingSteps::remove(const JobId &job)
{
    for (auto found = m_steps.lower_bound({job, 0, 0});
         found != m_steps.end() && found->first.job == job;) {
        removeFromOrder(found->first, found->second);
        found = m_steps.erase(found);
    }
}

void WaitingSteps::clear()
{
    m_steps.clear();
    m_byService.clear();
    m_rankChanges.clear();
}

void WaitingSteps::advance(WallTimeMs now)
{
    while (!m_rankChanges.empty() && m_rankChanges.begin()->first <= now) {
        const StepKey key = m_rankChanges.begin()->second;
        Entry &entry = m_steps.at(key);
        removeFromOrder(key, entry);
        insertInOrder(key, entry, now);
    }
}

void WaitingSteps::insertInOrder(const StepKey &key, Entry &entry, WallTimeMs now)
{
    entry.rank = rankStep(entry.step.attributes, now);
    entry.changesAt = nextRankChange(entry.step.attributes, now).value_or(0);
    m_byService[entry.service].insert({entry.rank, key});
    if (entry.changesAt != 0) {
        m_rankChanges.insert({entry.changesAt, key});
    }
}

void WaitingSteps::removeFromOrder(const StepKey &key, const Entry &entry)
{
    const auto order = m_byService.find(entry.service);
    order->second.erase({entry.rank, key});
    if (order->second.empty()) {
        m_byService.erase(order);
    }
    m_rankChanges.erase({entry.changesAt, key});
}

} // namespace dandelionloom
