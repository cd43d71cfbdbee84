#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "Model/EnumNames.h"
#include "Scheduling/JobTypes.h"

namespace dandelionloom {

/// The teams of one configuration. Each submission asks for the caller's team.
struct TeamDirectory
{
    bool requiresKeys = false;
    /// Name of the team by key.
    std::unordered_map<std::string, std::string> teamOfKey;
    /// Position in FleetConfiguration::teams by name.
    std::unordered_map<std::string, std::size_t> positionOfTeam;
};

TeamDirectory makeTeamDirectory(const FleetConfiguration &configuration);

/// The team with this name; null if there is none. The directory must be of the configuration.
const TeamConfig *findTeam(const TeamDirectory &directory, const FleetConfiguration &configuration,
                           const std::string &name);

enum class KeyCheck {
    /// The key belongs to a team.
    Known,
    /// The queue is public, or the configuration has no teams.
    NotRequired,
    Missing,
    /// No team of the configuration in force has the key.
    Unknown
};
inline constexpr EnumNames<KeyCheck, 4> keyCheckNames{
        {"known", "not-required", "missing", "unknown"}};

struct KeyDecision
{
    KeyCheck check = KeyCheck::NotRequired;
    /// Team of the key; empty if the check failed or the caller sent no key.
    std::string team;

    bool isAllowed() const { return check == KeyCheck::Known || check == KeyCheck::NotRequired; }
};

/// Checks the key of a call against the configuration in force.
KeyDecision checkKey(const TeamDirectory &directory, const QueueConfig &queue,
                     const std::string &apiKey);

/// False if the job is of another team than the caller's. An empty team is no other team: jobs of
/// public queues, and those accepted before the configuration had teams, have none.
bool mayAccess(const std::string &callerTeam, const std::string &jobTeam);

} // namespace dandelionloom
