#include "Model/HttpMessage.h"

#include <algorithm>
#include <array>

namespace dandelionloom {

namespace {

char lowerCase(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

constexpr std::array<std::string_view, 10> hopByHopNames{"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Authenticate",
                                                         "Proxy-Authorization",
                                                         "TE",
                                                         "Transfer-Encoding",
                                                         "Trailer",
                                                         "Upgrade",
                                                         "Expect",
                                                         "Proxy-Connection"};

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Options listed in all `Connection` fields.
std::vector<std::string> connectionOptions(const HttpHeaders &headers)
{
    std::vector<std::string> options;
    for (const auto &[name, value] : headers) {
        if (!equalHeaderNames(name, "Connection")) {
            continue;
        }
        std::string_view rest = value;
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            options.emplace_back(trimmed(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    return options;
}

template <typename Names>
bool containsName(const Names &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view item) { return equalHeaderNames(item, name); });
}

} // namespace

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    return std::equal(
            left.begin(), left.end(), right.begin(), right.end(),
            [](char first, char second) { return lowerCase(first) == lowerCase(second); });
}

std::optional<std::string> headerValue(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &[field, value] : headers) {
        if (equalHeaderNames(field, name)) {
            return value;
        }
    }
    return std::nullopt;
}

bool hasConnectionOption(const HttpHeaders &headers, std::string_view option)
{
    return containsName(connectionOptions(headers), option);
}

void removeHeader(HttpHeaders &headers, std::string_view name)
{
    std::erase_if(headers, [&](const auto &item) { return equalHeaderNames(item.first, name); });
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    const std::vector<std::string> options = connectionOptions(headers);
    HttpHeaders kept;
    for (const auto &item : headers) {
        if (!containsName(hopByHopNames, item.first) && !containsName(options, item.first)
            && !equalHeaderNames(item.first, "Content-Length")) {
            kept.push_back(item);
        }
    }
    return kept;
}

} // namespace dandelionloom
