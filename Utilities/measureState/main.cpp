// Measures time and memory of the replicated state at several sizes: measureState [SEED]
#include <cstdlib>
#include <iostream>
#include <memory>

#include "Decisions/Waves.h"
#include "Meter.h"
#include "Samples.h"
#include "State/StateStore.h"

using namespace dandelionloom;
using namespace dandelionloom::measure;

namespace {

constexpr std::size_t claimBatchSize = 64;
constexpr std::size_t responseBytes = 100;
constexpr std::size_t typicalPlanCount = 690;

/// Collects the rows of a table. The first value of a name adds a row, later ones extend it.
class Table
{
public:
    void add(const std::string &name, const std::string &unit, double value)
    {
        for (Series &series : m_series) {
            if (series.name == name) {
                series.values.push_back(value);
                return;
            }
        }
        m_series.push_back({name, unit, {value}});
    }
    void print(const std::string &sizeName, const std::vector<double> &sizes) const
    {
        printTable(sizeName, sizes, m_series);
    }

private:
    std::vector<Series> m_series;
};

class CommandApplier
{
public:
    explicit CommandApplier(StateStore &store) : m_store(store) { }

    /// Applies a command; exits if the state rejects it.
    void apply(CommandBody body)
    {
        const CommandOutcome outcome = m_store.apply(++m_index, commandOf(std::move(body)));
        if (outcome.status != CommandStatus::Applied) {
            std::cerr << "expected an applied command, found: " << outcome.message << "\n";
            std::exit(1);
        }
    }

private:
    StateStore &m_store;
    std::uint64_t m_index = 1;
};

std::unique_ptr<StateStore> restoreStore(const std::string &snapshot)
{
    auto store = std::make_unique<StateStore>(sampleGroup);
    const auto restored = store->restoreSnapshot(snapshot);
    if (!isOk(restored)) {
        std::cerr << errorOf(restored).message << "\n";
        std::exit(1);
    }
    return store;
}

double encodedBytes(CommandBody body)
{
    return static_cast<double>(encodeCommand(commandOf(std::move(body))).size());
}

void addMemoryRows(Table &table, const MemoryUsage &before)
{
    const MemoryUsage after = memoryUsage();
    table.add("memory, resident", "B", static_cast<double>(after.resident - before.resident));
    table.add("memory, allocated", "B", static_cast<double>(after.allocated - before.allocated));
}

void addSnapshotRows(Table &table, StateStore &store)
{
    const std::string snapshot = store.encodeSnapshot();
    StateStore copy(sampleGroup);
    table.add("snapshot", "B", static_cast<double>(snapshot.size()));
    table.add("encode snapshot", "us", medianMicroseconds([&] { (void)store.encodeSnapshot(); }));
    table.add("restore snapshot", "us",
              medianMicroseconds([&] { (void)copy.restoreSnapshot(snapshot); }));
}

void addFleetCommandRows(Table &table, StateStore &store)
{
    CommandApplier applier(store);
    std::uint64_t number = 0;
    const InstanceRecord target = store.fleet()->instances.begin()->second;
    table.add("RegisterInstance", "us", medianMicroseconds([&] {
                  applier.apply(RegisterInstance{"worker-new-" + std::to_string(++number),
                                                 "service-1", "region-1-zone-1", "rack-new"});
              }));
    table.add("GrantDrain and ReleaseDrain", "us", medianMicroseconds([&] {
                  const auto record = store.fleet()->instances.at(target.id);
                  applier.apply(GrantDrain{record.id, record.epoch, "move", "spare", 0});
                  applier.apply(
                          ReleaseDrain{record.id, store.fleet()->instances.at(target.id).epoch});
              }));
    table.add("SetInstancePhase (to failed and back)", "us",
              medianMicroseconds([&] {
                  for (const InstancePhase phase :
                       {InstancePhase::Failed, InstancePhase::Proving, InstancePhase::InService}) {
                      const auto epoch = store.fleet()->instances.at(target.id).epoch;
                      applier.apply(SetInstancePhase{target.id, epoch, phase});
                  }
              }) / 3);
}

void addWaveRows(Table &table, StateStore &store)
{
    StartWave wave{{"wave-change", "operator-1"}, "wave-1", {}, 60000};
    for (const auto &[id, record] : store.fleet()->instances) {
        wave.targets.push_back(id);
    }
    table.add("StartWave of all instances, encoded", "B", encodedBytes(wave));
    CommandApplier(store).apply(wave);
    const auto fleet = store.fleet();
    const auto lists = store.lists();
    table.add("planWaves, all instances as targets", "us",
              medianMicroseconds([&] { (void)planWaves(*fleet, *lists, {}, {}, sampleTimeMs); }));
    std::uint64_t number = 0;
    table.add("RegisterInstance during that wave", "us", medianMicroseconds([&] {
                  CommandApplier(store).apply(
                          RegisterInstance{"worker-late-" + std::to_string(++number), "service-1",
                                           "region-1-zone-1", "rack-new"});
              }));
}

void measureInstances(std::uint64_t seed)
{
    const std::vector<double> sizes{1000, 5000, 10000, 22000};
    Table table;
    for (const double size : sizes) {
        std::mt19937_64 random(seed);
        const std::string snapshot =
                sampleSnapshot(sampleLists(typicalPlanCount, random),
                               sampleFleet(static_cast<std::size_t>(size), random));
        const MemoryUsage before = memoryUsage();
        const auto store = restoreStore(snapshot);
        addMemoryRows(table, before);
        addSnapshotRows(table, *store);
        addFleetCommandRows(table, *store);
        addWaveRows(table, *store);
    }
    table.print("instances (690 plans)", sizes);
}

void measureClaims(std::uint64_t seed)
{
    // The timing of ClaimRequests adds up to 200 batches of 64, which must stay below the limit of
    // 100,000 claims.
    const std::vector<double> sizes{10000, 50000, 87000};
    Table table;
    for (const double size : sizes) {
        std::mt19937_64 random(seed);
        const MemoryUsage before = memoryUsage();
        StateStore store(sampleGroup);
        CommandApplier applier(store);
        while (static_cast<double>(store.claimCount()) < size) {
            const ClaimRequests batch = sampleClaims(claimBatchSize, store.claimCount(), random);
            applier.apply(batch);
            applier.apply(sampleSettlements(batch, responseBytes));
        }
        addMemoryRows(table, before);
        addSnapshotRows(table, store);
        ClaimRequests batch;
        table.add("ClaimRequests, 64 claims", "us",
                  medianMicroseconds([&] { applier.apply(batch); },
                                     [&] {
                                         batch = sampleClaims(claimBatchSize, store.claimCount(),
                                                              random);
                                     }));
    }
    table.print("claims", sizes);
}

void measurePlans(std::uint64_t seed)
{
    const std::vector<double> sizes{100, 300, 690};
    Table table;
    for (const double size : sizes) {
        std::mt19937_64 random(seed);
        const auto store = restoreStore(sampleSnapshot(
                sampleLists(static_cast<std::size_t>(size), random), sampleFleet(1000, random)));
        CommandApplier applier(*store);
        std::uint64_t number = 0;
        table.add("ApplyList, encoded", "B",
                  encodedBytes(sampleAllowancesChange(*store->lists(), 0, random)));
        const MemoryUsage before = memoryUsage();
        const std::size_t snapshotBefore = store->encodeSnapshot().size();
        ApplyList change;
        table.add("ApplyList", "us",
                  medianMicroseconds([&] { applier.apply(change); },
                                     [&] {
                                         change = sampleAllowancesChange(*store->lists(), ++number,
                                                                         random);
                                     }));
        change = {};
        const double changes = static_cast<double>(number);
        const MemoryUsage after = memoryUsage();
        table.add("memory kept for each change, allocated", "B",
                  static_cast<double>(after.allocated - before.allocated) / changes);
        table.add("snapshot growth for each change", "B",
                  static_cast<double>(store->encodeSnapshot().size() - snapshotBefore) / changes);
    }
    table.print("plans", sizes);
}

void printCommandBytes(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const std::string id = "worker-100000";
    const ClaimRequests batch = sampleClaims(claimBatchSize, 0, random);
    const std::vector<std::pair<std::string, CommandBody>> commands{
            {"RegisterInstance",
             RegisterInstance{id, "service-1", "region-1-zone-1", "region-1-zone-1-rack-100"}},
            {"MoveInstance", MoveInstance{id, 100, "service-1"}},
            {"SetInstancePhase", SetInstancePhase{id, 100, InstancePhase::Drained}},
            {"GrantDrain", GrantDrain{id, 100, "wave-1", {}, 0}},
            {"ReleaseDrain", ReleaseDrain{id, 100}},
            {"ClaimRequests, 64 claims", batch},
            {"SettleRequests, 64 claims, 100 B answers", sampleSettlements(batch, responseBytes)},
            {"ExpireRecords", ExpireRecords{}}};
    for (const auto &[name, body] : commands) {
        std::cout << name << ": " << encodedBytes(body) << " B\n";
    }
    std::cout << std::endl;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const std::uint64_t seed = argumentCount > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1;
    std::cout << "seed " << seed << "\n\n";
    printCommandBytes(seed);
    measurePlans(seed);
    measureClaims(seed);
    measureInstances(seed);
    return 0;
}
