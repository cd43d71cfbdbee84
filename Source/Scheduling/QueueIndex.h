#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Scheduling/JobTypes.h"

namespace dandelionloom {

/// Finds the queues of a configuration. Each call and each placement pass asks for queues, and a
/// configuration may hold some thousand.
class QueueIndex
{
public:
    QueueIndex() = default;
    explicit QueueIndex(const std::vector<QueueConfig> &queues);

    /// Position of the queue with this name.
    std::optional<std::size_t> named(const std::string &name) const;
    /// Position of the queue for the host with the longest prefix of the path.
    std::optional<std::size_t> serving(const std::string &host, std::string_view path) const;

private:
    /// Lets a part of a path be looked up without a copy of it.
    struct TextHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>{}(text);
        }
    };
    struct Host
    {
        std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>> byPrefix;
        /// Lengths of the prefixes, which are few.
        std::set<std::size_t> lengths;
    };

    std::unordered_map<std::string, std::size_t> m_byName;
    std::unordered_map<std::string, Host> m_hosts;
};

} // namespace dandelionloom
