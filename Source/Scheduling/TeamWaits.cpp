#include "Scheduling/TeamWaits.h"

namespace dandelionloom {

namespace {

/// The first step of a team; of several with its rank the one of the youngest job, which has the
/// most time left to be on time.
const StepPosition &stepToAdvance(const StepLane::Order &order, const WaitingSteps &waiting)
{
    const StepPosition *chosen = &*order.begin();
    for (const StepPosition &position : order) {
        if (order.begin()->rank < position.rank) {
            break;
        }
        if (waiting.at(position.key).attributes.dueAtMs
            > waiting.at(chosen->key).attributes.dueAtMs) {
            chosen = &position;
        }
    }
    return *chosen;
}

} // namespace

bool isStarved(const TeamWaitFacts &facts, const TeamWaitOptions &options)
{
    if (facts.waitedMs < options.maxPassedMs || facts.weight <= 0
        || facts.totalWeight < facts.weight) {
        return false;
    }
    const double teamMilli = static_cast<double>(facts.capacityMilli)
            * static_cast<double>(facts.weight) / static_cast<double>(facts.totalWeight);
    return teamMilli / milliPerCore * static_cast<double>(facts.waitedMs) >= facts.coreMs;
}

bool TeamWaits::beginReview(const WaitingSteps &waiting, SteadyTimeMs now)
{
    if (now < m_nextReview) {
        return false;
    }
    m_nextReview = now + m_options.reviewIntervalMs;
    std::erase_if(m_services, [&waiting](const auto &item) {
        return !waiting.byService().contains(item.first);
    });
    return true;
}

void TeamWaits::updateTeams(Service &service, const ServiceSteps &steps, SteadyTimeMs now) const
{
    for (const auto &[name, order] : steps.ofUseByTeam) {
        service.teams.try_emplace(name);
    }
    for (auto &[name, team] : service.teams) {
        const bool isWaiting = steps.ofUseByTeam.contains(name);
        if (isWaiting && !team.isWaiting) {
            team.waitingSince = now;
        }
        team.isWaiting = isWaiting;
    }
    std::erase_if(service.teams, [&](const auto &item) {
        const Team &team = item.second;
        return !team.isWaiting
                && (team.placedAt == 0 || now - team.placedAt > m_options.servedWindowMs);
    });
}

std::vector<TeamWaits::AdvancedJob>
TeamWaits::review(const std::string &service, const ServiceSteps &steps,
                  const WaitingSteps &waiting, const std::map<std::string, std::int64_t> &weights,
                  std::int64_t capacityMilli, SteadyTimeMs now)
{
    Service &state = m_services[service];
    updateTeams(state, steps, now);
    const auto weightOf = [&weights](const std::string &team) {
        const auto found = weights.find(team);
        return found == weights.end() ? 0 : found->second;
    };
    TeamWaitFacts facts;
    facts.capacityMilli = capacityMilli;
    for (const auto &[name, team] : state.teams) {
        facts.totalWeight += weightOf(name);
    }
    std::vector<AdvancedJob> added;
    for (const auto &[name, order] : steps.ofUseByTeam) {
        const auto advanced = state.advanced.find(name);
        if (advanced != state.advanced.end() && waiting.contains(advanced->second.job)) {
            continue;
        }
        const StepPosition &first = stepToAdvance(order, waiting);
        facts.waitedMs = now - state.teams.at(name).waitingSince;
        facts.coreMs = waiting.at(first.key).attributes.remainingWork / milliPerCore;
        facts.weight = weightOf(name);
        if (isStarved(facts, m_options)) {
            const AdvancedJob job{first.key.job, first.rank.group, facts.waitedMs};
            state.advanced[name] = job;
            added.push_back(job);
        }
    }
    return added;
}

void TeamWaits::placed(const std::string &service, const std::string &team, SteadyTimeMs now)
{
    Team &entry = m_services[service].teams[team];
    entry.placedAt = now;
    entry.waitingSince = now;
}

TeamWaits::AdvancedJobs TeamWaits::advanced(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? AdvancedJobs() : found->second.advanced;
}

void TeamWaits::endAdvance(const std::string &service, const std::string &team)
{
    m_services[service].advanced.erase(team);
}

void TeamWaits::clear()
{
    m_nextReview = 0;
    m_services.clear();
}

} // namespace dandelionloom
