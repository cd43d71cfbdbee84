#include "Scheduling/ConfigurationRules.h"

#include <map>
#include <set>
#include <utility>

namespace dandelionloom {

namespace {

/// Keys are credentials, so messages name them by team and position only.
std::string keyPlace(const TeamConfig &team, std::size_t index)
{
    return "team " + team.name + ": key " + std::to_string(index);
}

std::string limitFault(const TeamConfig &team, const char *field, std::int64_t value)
{
    if (value >= 0) {
        return {};
    }
    return "team " + team.name + ": expected a " + field + " from 0 on, found "
            + std::to_string(value);
}

std::string teamsFault(const std::vector<TeamConfig> &teams)
{
    std::set<std::string> names;
    std::map<std::string, std::string> placeOfKey;
    for (const TeamConfig &team : teams) {
        if (team.name.empty() || !names.insert(team.name).second) {
            return "expected each team with a unique, non-empty name, found \"" + team.name + "\"";
        }
        for (std::size_t index = 0; index < team.apiKeys.size(); ++index) {
            const std::string &key = team.apiKeys[index];
            const std::string place = keyPlace(team, index);
            if (key.empty()) {
                return place + ": expected a non-empty key, found an empty one";
            }
            const auto [known, added] = placeOfKey.emplace(key, place);
            if (!added) {
                return place + ": expected a key that is listed once, found the one of "
                        + known->second;
            }
        }
        for (const std::string &fault :
             {limitFault(team, "weight", team.weight),
              limitFault(team, "quota of processors", team.maxRunning.processorMilli),
              limitFault(team, "quota of memory", team.maxRunning.memoryMb),
              limitFault(team, "quota of accelerators", team.maxRunning.accelerators)}) {
            if (!fault.empty()) {
                return fault;
            }
        }
    }
    return {};
}

} // namespace

std::string configurationFault(const FleetConfiguration &configuration)
{
    if (configuration.version == 0) {
        return "expected a version from 1 on, found 0";
    }
    std::set<std::string> services;
    for (const ServiceConfig &service : configuration.services) {
        if (service.name.empty() || !services.insert(service.name).second) {
            return "expected each service with a unique, non-empty name, found \"" + service.name
                    + "\"";
        }
    }
    std::set<std::pair<std::string, std::string>> places;
    std::set<std::string> names;
    for (const QueueConfig &queue : configuration.queues) {
        if (queue.name.empty() || !names.insert(queue.name).second) {
            return "expected each queue with a unique, non-empty name, found \"" + queue.name
                    + "\"";
        }
        if (!services.contains(queue.service)) {
            return "queue " + queue.name + ": expected a known service, found \"" + queue.service
                    + "\"";
        }
        if (queue.host.empty() || !queue.pathPrefix.starts_with('/')) {
            return "queue " + queue.name + ": expected a host and a path prefix";
        }
        if (!places.emplace(queue.host, queue.pathPrefix).second) {
            return "queue " + queue.name + ": another queue has the host and prefix " + queue.host
                    + queue.pathPrefix;
        }
        if (queue.timeoutMs <= 0) {
            return "queue " + queue.name + ": expected a timeout above 0 ms";
        }
    }
    return teamsFault(configuration.teams);
}

} // namespace dandelionloom
