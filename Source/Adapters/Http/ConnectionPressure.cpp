#include "Adapters/Http/ConnectionPressure.h"

#include <algorithm>
#include <tuple>

namespace dandelionloom {

ConnectionActivity activityOfResponse(bool writable, SteadyTimeMs withoutProgressMs)
{
    return !writable && withoutProgressMs >= unreadGraceMs ? ConnectionActivity::ResponseUnread
                                                           : ConnectionActivity::RequestActive;
}

std::optional<std::uint64_t>
chooseConnectionToClose(const std::vector<ConnectionFacts> &connections)
{
    // The activities are declared in the order in which connections are given up.
    const auto order = [](const ConnectionFacts &facts) {
        return std::tuple(facts.activity, facts.progressAt, facts.id);
    };
    const auto first = std::min_element(
            connections.begin(), connections.end(),
            [&](const auto &left, const auto &right) { return order(left) < order(right); });
    if (first == connections.end() || first->activity == ConnectionActivity::RequestActive) {
        return std::nullopt;
    }
    return first->id;
}

} // namespace dandelionloom
