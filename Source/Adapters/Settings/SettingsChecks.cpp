#include "Adapters/Settings/SettingsChecks.h"

#include <map>
#include <utility>

namespace dandelionloom {

namespace {

using Contradictions = std::vector<SettingsContradiction>;

/// An election timeout below three heartbeats lets one lost heartbeat start an election.
constexpr int heartbeatsPerElectionTimeout = 3;

std::string peerPlace(std::size_t index, const std::string &key)
{
    return "peer[" + std::to_string(index) + "]." + key;
}

/// Reports values that occur twice. `users` pairs each value with its place.
void checkUnique(const std::string &what,
                 const std::vector<std::pair<std::string, std::string>> &users,
                 Contradictions &found)
{
    std::map<std::string, std::string> firstPlaces;
    for (const auto &[place, value] : users) {
        if (value.empty()) {
            continue;
        }
        const auto [first, inserted] = firstPlaces.emplace(value, place);
        if (!inserted) {
            found.push_back(
                    {place,
                     "expected " + what + " that is used once, found '" + value + "' again"});
        }
    }
}

void checkPeers(const Settings &settings, Contradictions &found)
{
    std::vector<std::pair<std::string, std::string>> names;
    std::vector<std::pair<std::string, std::string>> addresses;
    for (std::size_t index = 0; index < settings.peers.size(); ++index) {
        const PeerSettings &peer = settings.peers[index];
        names.emplace_back(peerPlace(index, "name"), peer.name);
        addresses.emplace_back(peerPlace(index, "address"), peer.address);
        addresses.emplace_back(peerPlace(index, "operators"), peer.operators);
    }
    checkUnique("a name", names, found);
    checkUnique("an address", addresses, found);
    checkUnique("an address",
                {{"listen.callers", settings.listen.callers},
                 {"listen.operators", settings.listen.operators},
                 {"listen.endpoints", settings.listen.endpoints},
                 {"listen.peers", settings.listen.peers}},
                found);
}

void checkVoters(const Settings &settings, Contradictions &found)
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
        found.push_back(
                {"peer",
                 "expected 3 or 5 peers with voter = true, found " + std::to_string(voters)});
        return;
    }
    for (const auto &[zone, count] : votersPerZone) {
        if (2 * count > voters) {
            found.push_back({"peer",
                             "expected no availability zone with a majority of the "
                                     + std::to_string(voters) + " voters, found "
                                     + std::to_string(count) + " in '" + zone + "'"});
        }
    }
}

void checkOwnPeer(const Settings &settings, Contradictions &found)
{
    for (std::size_t index = 0; index < settings.peers.size(); ++index) {
        const PeerSettings &peer = settings.peers[index];
        if (peer.name != settings.instance.name) {
            continue;
        }
        if (peer.availabilityZone != settings.instance.availabilityZone) {
            found.push_back({peerPlace(index, "availability_zone"),
                             "expected '" + settings.instance.availabilityZone
                                     + "' as in [instance], found '" + peer.availabilityZone
                                     + "'"});
        }
        if (peer.voter && !settings.instance.dataFolder) {
            found.push_back({"instance", "expected data_folder for a voter, found none"});
        }
        return;
    }
    found.push_back({"instance.name",
                     "expected the name of one [[peer]], found '" + settings.instance.name + "'"});
}

void checkTiming(const TimingSettings &timing, Contradictions &found)
{
    const auto shortest = heartbeatsPerElectionTimeout * timing.heartbeat;
    if (timing.electionTimeoutMin < shortest) {
        found.push_back({"timing.election_timeout_min_ms",
                         "expected at least 3 times heartbeat_ms, which is "
                                 + std::to_string(shortest.count()) + ", found "
                                 + std::to_string(timing.electionTimeoutMin.count())});
    }
    if (timing.electionTimeoutMin > timing.electionTimeoutMax) {
        found.push_back({"timing.election_timeout_min_ms",
                         "expected at most election_timeout_max_ms, which is "
                                 + std::to_string(timing.electionTimeoutMax.count()) + ", found "
                                 + std::to_string(timing.electionTimeoutMin.count())});
    }
}

} // namespace

std::vector<SettingsContradiction> contradictionsOf(const Settings &settings)
{
    Contradictions found;
    checkPeers(settings, found);
    checkVoters(settings, found);
    checkOwnPeer(settings, found);
    checkTiming(settings.timing, found);
    if (settings.platform.url && settings.platform.credentialFile.empty()) {
        found.push_back({"platform", "expected credential_file next to url, found none"});
    }
    return found;
}

} // namespace dandelionloom
