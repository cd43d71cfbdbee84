#include "Decisions/WaveLoans.h"

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

/// The size at which the whole budget may be spent in several domains.
std::uint64_t sizeForBudget(const PoolLedger &ledger)
{
    std::uint32_t largest = 0;
    for (const auto &[domain, count] : ledger.domains) {
        largest = std::max(largest, count.available + count.unavailable);
    }
    return static_cast<std::uint64_t>(ledger.minHealthy) + ledger.maxUnavailable + largest;
}

} // namespace

CapacityPlan lendForWaves(CapacityPlan plan, const Fleet &fleet, const BudgetLedger &ledger,
                          std::uint32_t keepInBuffer)
{
    std::uint32_t lendable = plan.buffer + plan.surplus;
    lendable -= std::min(lendable, keepInBuffer);
    std::vector<std::pair<PoolCapacity *, std::uint64_t>> borrowers;
    for (const std::string &pool : poolsWithTargets(fleet)) {
        const auto sized = plan.pools.find(pool);
        const auto counted = ledger.pools.find(pool);
        if (sized != plan.pools.end() && counted != ledger.pools.end()) {
            borrowers.emplace_back(&sized->second, sizeForBudget(counted->second));
        }
    }
    while (lendable > 0) {
        std::erase_if(borrowers,
                      [](const auto &item) { return item.first->instances >= item.second; });
        if (borrowers.empty()) {
            break;
        }
        for (const auto &[pool, size] : borrowers) {
            if (lendable == 0) {
                break;
            }
            ++pool->instances;
            pool->reason = CapacityReason::LentForWave;
            --(plan.surplus > 0 ? plan.surplus : plan.buffer);
            --lendable;
        }
    }
    return plan;
}

} // namespace dandelionloom
