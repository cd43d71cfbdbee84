#include "Adapters/Settings/TextChecks.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <numeric>

namespace dandelionloom {

namespace {

/// Same limit as in the checks of the replicated lists.
constexpr std::size_t maxNameLength = 128;

std::size_t editDistance(const std::string &left, const std::string &right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t(0));
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t substitution = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substitution, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string closestMatch(const std::string &word, const std::vector<std::string> &choices)
{
    std::string closest;
    std::size_t minDistance = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const std::string &candidate : choices) {
        const std::size_t distance = editDistance(word, candidate);
        if (distance < minDistance) {
            minDistance = distance;
            closest = candidate;
        }
    }
    return closest;
}

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size()) {
        return false;
    }
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port < 1 || port > 65535) {
        return false;
    }
    std::string host = text.substr(0, colon);
    in6_addr binary = {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, host.c_str(), &binary) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &binary) == 1;
}

bool isValidIdentifier(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength
            && std::all_of(text.begin(), text.end(), [](char character) {
                   return (character >= 'a' && character <= 'z')
                           || (character >= 'A' && character <= 'Z')
                           || (character >= '0' && character <= '9') || character == '-'
                           || character == '_' || character == '.';
               });
}

} // namespace dandelionloom
