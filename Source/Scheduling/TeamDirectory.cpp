#include "Scheduling/TeamDirectory.h"

namespace dandelionloom {

TeamDirectory makeTeamDirectory(const FleetConfiguration &configuration)
{
    TeamDirectory directory;
    directory.requiresKeys = configuration.requiresKeys;
    for (const TeamConfig &team : configuration.teams) {
        for (const std::string &key : team.apiKeys) {
            directory.teamOfKey.emplace(key, team.name);
        }
    }
    return directory;
}

KeyDecision checkKey(const TeamDirectory &directory, const QueueConfig &queue,
                     const std::string &apiKey)
{
    if (!directory.requiresKeys) {
        return {KeyCheck::NotRequired, {}};
    }
    const auto team = directory.teamOfKey.find(apiKey);
    if (team != directory.teamOfKey.end()) {
        return {KeyCheck::Known, team->second};
    }
    if (queue.isPublic) {
        return {KeyCheck::NotRequired, {}};
    }
    return {apiKey.empty() ? KeyCheck::Missing : KeyCheck::Unknown, {}};
}

bool mayAccess(const std::string &callerTeam, const std::string &jobTeam)
{
    return callerTeam.empty() || jobTeam.empty() || callerTeam == jobTeam;
}

} // namespace dandelionloom
