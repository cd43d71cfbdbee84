#include "Scheduling/ConfigurationRules.h"

#include <set>
#include <utility>

namespace dandelionloom {

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
    return {};
}

} // namespace dandelionloom
