#include "Decisions/WaveSurge.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_set>

namespace dandelionloom {

namespace {

std::set<std::string> poolsWithTargets(const Fleet &fleet)
{
    std::set<std::string> pools;
    for (const auto &[id, wave] : fleet.waves) {
        if (wave.state != WaveState::Running) {
            continue;
        }
        const std::unordered_set<std::string_view> finished(wave.finished.begin(),
                                                            wave.finished.end());
        for (const std::string &target : wave.targets) {
            const auto found = fleet.instances.find(target);
            if (found != fleet.instances.end() && !finished.contains(target)) {
                pools.insert(found->second.pool);
            }
        }
    }
    return pools;
}

/// Pool size at which a wave may use the whole budget in several domains.
std::uint64_t surgeTarget(const PoolLedger &ledger)
{
    std::uint32_t largest = 0;
    for (const auto &[domain, count] : ledger.domains) {
        largest = std::max(largest, count.available + count.unavailable);
    }
    return static_cast<std::uint64_t>(ledger.minHealthy) + ledger.maxUnavailable + largest;
}

} // namespace

CapacityPlan addWaveSurge(CapacityPlan plan, const Fleet &fleet, const BudgetLedger &ledger,
                          std::uint32_t minBuffer)
{
    std::uint32_t surgeBudget = plan.buffer + plan.surplus;
    surgeBudget -= std::min(surgeBudget, minBuffer);
    std::vector<std::pair<PoolCapacity *, std::uint64_t>> surgePools;
    for (const std::string &pool : poolsWithTargets(fleet)) {
        const auto sized = plan.pools.find(pool);
        const auto counted = ledger.pools.find(pool);
        if (sized != plan.pools.end() && counted != ledger.pools.end()) {
            surgePools.emplace_back(&sized->second, surgeTarget(counted->second));
        }
    }
    while (surgeBudget > 0) {
        std::erase_if(surgePools,
                      [](const auto &item) { return item.first->instances >= item.second; });
        if (surgePools.empty()) {
            break;
        }
        for (const auto &[pool, size] : surgePools) {
            if (surgeBudget == 0) {
                break;
            }
            ++pool->instances;
            pool->reason = CapacityReason::WaveSurge;
            --(plan.surplus > 0 ? plan.surplus : plan.buffer);
            --surgeBudget;
        }
    }
    return plan;
}

} // namespace dandelionloom
