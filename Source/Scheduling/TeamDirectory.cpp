#include "Scheduling/TeamDirectory.h"

namespace dandelionloom {

TeamDirectory makeTeamDirectory(const FleetConfiguration &configuration)
{
    TeamDirectory directory;
    directory.requiresKeys = configuration.requiresKeys;
    for (std::size_t position = 0; position < configuration.teams.size(); ++position) {
        const TeamConfig &team = configuration.teams[position];
        directory.positionOfTeam.emplace(team.name, position);
        for (const std::string &key : team.apiKeys) {
            directory.teamOfKey.emplace(key, team.name);
        }
    }
    return directory;
}

const TeamConfig *findTeam(const TeamDirectory &directory, const FleetConfiguration &configuration,
                           const std::string &name)
{
    const auto found = directory.positionOfTeam.find(name);
    return found == directory.positionOfTeam.end() ? nullptr : &configuration.teams[found->second];
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
