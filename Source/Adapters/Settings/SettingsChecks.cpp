#include "Adapters/Settings/SettingsChecks.h"

#include <map>
#include <utility>

namespace dandelionloom {

namespace {

using Conflicts = std::vector<SettingsConflict>;

/// With an election timeout below three heartbeats, one lost heartbeat can start an election.
constexpr int minHeartbeatsPerElectionTimeout = 3;

std::string peerKeyPath(std::size_t index, const std::string &key)
{
    return "peer[" + std::to_string(index) + "]." + key;
}

/// Reports values that are used more than once. `uses` holds pairs of key path and value.
void checkUnique(const std::string &expected,
                 const std::vector<std::pair<std::string, std::string>> &uses, Conflicts &conflicts)
{
    std::map<std::string, std::string> firstUses;
    for (const auto &[keyPath, value] : uses) {
        if (value.empty()) {
            continue;
        }
        const auto [first, inserted] = firstUses.emplace(value, keyPath);
        if (!inserted) {
            conflicts.push_back(
                    {keyPath,
                     "expected " + expected + " that is used once, found '" + value + "' again"});
        }
    }
}

void checkPeers(const Settings &settings, Conflicts &conflicts)
{
    std::vector<std::pair<std::string, std::string>> names;
    std::vector<std::pair<std::string, std::string>> addresses;
    for (std::size_t index = 0; index < settings.peers.size(); ++index) {
        const PeerSettings &peer = settings.peers[index];
        names.emplace_back(peerKeyPath(index, "name"), peer.name);
        addresses.emplace_back(peerKeyPath(index, "address"), peer.address);
        addresses.emplace_back(peerKeyPath(index, "operators"), peer.operators);
    }
    checkUnique("a name", names, conflicts);
    checkUnique("an address", addresses, conflicts);
    checkUnique("an address",
                {{"listen.callers", settings.listen.callers},
                 {"listen.operators", settings.listen.operators},
                 {"listen.endpoints", settings.listen.endpoints},
                 {"listen.peers", settings.listen.peers}},
                conflicts);
}

void checkVoters(const Settings &settings, Conflicts &conflicts)
{
    std::size_t voters = 0;
    std::map<std::string, std::size_t> votersPerZone;
    for (const PeerSettings &peer : settings.peers) {
        if (peer.voter) {
            ++voters;
            ++votersPerZone[peer.availabilityZone];
        }
    }
    if (voters != 3 && voters != 5) {
        conflicts.push_back(
                {"peer",
                 "expected 3 or 5 peers with voter = true, found " + std::to_string(voters)});
        return;
    }
    for (const auto &[zone, count] : votersPerZone) {
        if (2 * count > voters) {
            conflicts.push_back({"peer",
                                 "expected no availability zone with a majority of the "
                                         + std::to_string(voters) + " voters, found "
                                         + std::to_string(count) + " in '" + zone + "'"});
        }
    }
}

void checkOwnPeer(const Settings &settings, Conflicts &conflicts)
{
    for (std::size_t index = 0; index < settings.peers.size(); ++index) {
        const PeerSettings &peer = settings.peers[index];
        if (peer.name != settings.instance.name) {
            continue;
        }
        if (peer.availabilityZone != settings.instance.availabilityZone) {
            conflicts.push_back({peerKeyPath(index, "availability_zone"),
                                 "expected '" + settings.instance.availabilityZone
                                         + "' as in [instance], found '" + peer.availabilityZone
                                         + "'"});
        }
        if (peer.voter && !settings.instance.dataFolder) {
            conflicts.push_back({"instance", "expected data_folder for a voter, found none"});
        }
        return;
    }
    conflicts.push_back(
            {"instance.name",
             "expected the name of one [[peer]], found '" + settings.instance.name + "'"});
}

void checkTiming(const TimingSettings &timing, Conflicts &conflicts)
{
    const auto minTimeout = minHeartbeatsPerElectionTimeout * timing.heartbeat;
    if (timing.electionTimeoutMin < minTimeout) {
        conflicts.push_back({"timing.election_timeout_min_ms",
                             "expected at least 3 times heartbeat_ms, which is "
                                     + std::to_string(minTimeout.count()) + ", found "
                                     + std::to_string(timing.electionTimeoutMin.count())});
    }
    if (timing.electionTimeoutMin > timing.electionTimeoutMax) {
        conflicts.push_back({"timing.election_timeout_min_ms",
                             "expected at most election_timeout_max_ms, which is "
                                     + std::to_string(timing.electionTimeoutMax.count())
                                     + ", found "
                                     + std::to_string(timing.electionTimeoutMin.count())});
    }
}

} // namespace

std::vector<SettingsConflict> findConflicts(const Settings &settings)
{
    Conflicts conflicts;
    checkPeers(settings, conflicts);
    checkVoters(settings, conflicts);
    checkOwnPeer(settings, conflicts);
    checkTiming(settings.timing, conflicts);
    if (settings.platform.url && settings.platform.credentialFile.empty()) {
        conflicts.push_back({"platform", "expected credential_file next to url, found none"});
    }
    return conflicts;
}

} // namespace dandelionloom
