#include "Runtime/RequestChecks.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>
#include <utility>

namespace dandelionloom {

namespace {

constexpr std::size_t maxKeyBytes = 200;

/// Bounds how long a request can hold a connection, a thread and the memory of its body.
constexpr std::uint32_t maxDeadlineMs = 10 * 60 * 1000;

constexpr std::array<std::string_view, 5> idempotentMethods{"GET", "HEAD", "OPTIONS", "PUT",
                                                            "DELETE"};
constexpr std::array<std::string_view, 2> nonIdempotentMethods{"POST", "PATCH"};

template <typename Names>
bool contains(const Names &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string serviceFromTarget(const std::string &target)
{
    const std::string path = target.substr(0, target.find('?'));
    const auto end = path.find('/', 1);
    return path.substr(1, end == std::string::npos ? std::string::npos : end - 1);
}

bool isValidKey(const std::string &key)
{
    return !key.empty() && key.size() <= maxKeyBytes
            && std::all_of(key.begin(), key.end(),
                           [](char character) { return character >= 0x20 && character < 0x7f; });
}

/// Value of the deadline header in milliseconds; 0 if it is not valid.
std::uint32_t parseDeadlineMs(const std::string &text)
{
    std::uint32_t value = 0;
    const char *last = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), last, value);
    return error == std::errc() && rest == last && value <= maxDeadlineMs ? value : 0;
}

bool isGatewayHeader(std::string_view name)
{
    constexpr std::string_view prefix = "Dandelionloom-";
    return name.size() >= prefix.size() && equalHeaderNames(name.substr(0, prefix.size()), prefix);
}

} // namespace

Result<CheckedRequest, RequestEnd> checkRequest(CallerRequest request, std::string id,
                                                const Lists &lists)
{
    const auto plan = lists.plans.find(request.plan);
    if (plan == lists.plans.end()) {
        return refusedEnd(403, "plan-not-listed");
    }
    CheckedRequest checked;
    checked.id = std::move(id);
    checked.listsRevision = lists.revision;
    checked.service = serviceFromTarget(request.target);
    if (checked.service != plan->second.service) {
        return refusedEnd(403, "service-not-in-plan");
    }
    checked.idempotent = contains(idempotentMethods, request.method);
    if (!checked.idempotent && !contains(nonIdempotentMethods, request.method)) {
        return refusedEnd(405, "method-not-allowed");
    }
    const auto key = headerValue(request.headers, headerNames::idempotencyKey);
    if (key && !isValidKey(*key)) {
        return refusedEnd(400, "bad-idempotency-key");
    }
    if (key && !checked.idempotent) {
        checked.key = *key;
    }
    std::uint32_t deadlineMs = plan->second.defaultDeadlineMs;
    if (const auto text = headerValue(request.headers, headerNames::deadline)) {
        deadlineMs = parseDeadlineMs(*text);
        if (deadlineMs == 0) {
            return refusedEnd(400, "bad-deadline");
        }
    }
    checked.deadlineAt = request.receivedAt + deadlineMs;
    checked.request = std::move(request);
    return checked;
}

std::string requestDigest(const CallerRequest &request)
{
    // Neither method nor target can contain a line feed, so different requests can't be joined to
    // the same text.
    const std::string text = request.method + "\n" + request.target + "\n" + request.body;
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return digits.data();
}

HttpHeaders forwardedHeaders(const CallerRequest &request)
{
    HttpHeaders headers = endToEndHeaders(request.headers);
    std::erase_if(headers, [](const auto &item) {
        return isGatewayHeader(item.first) || equalHeaderNames(item.first, "Authorization");
    });
    return headers;
}

} // namespace dandelionloom
