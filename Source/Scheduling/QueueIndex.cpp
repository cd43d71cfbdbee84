#include "Scheduling/QueueIndex.h"

namespace dandelionloom {

QueueIndex::QueueIndex(const std::vector<QueueConfig> &queues)
{
    for (std::size_t position = 0; position < queues.size(); ++position) {
        const QueueConfig &queue = queues[position];
        m_byName.try_emplace(queue.name, position);
        Host &host = m_hosts[queue.host];
        host.byPrefix.try_emplace(queue.pathPrefix, position);
        host.lengths.insert(queue.pathPrefix.size());
    }
}

std::optional<std::size_t> QueueIndex::named(const std::string &name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::size_t> QueueIndex::serving(const std::string &host, std::string_view path) const
{
    const auto known = m_hosts.find(host);
    if (known == m_hosts.end()) {
        return std::nullopt;
    }
    const std::set<std::size_t> &lengths = known->second.lengths;
    for (auto length = lengths.rbegin(); length != lengths.rend(); ++length) {
        if (*length > path.size()) {
            continue;
        }
        const auto queue = known->second.byPrefix.find(path.substr(0, *length));
        if (queue != known->second.byPrefix.end()) {
            return queue->second;
        }
    }
    return std::nullopt;
}

} // namespace dandelionloom
