#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandelionloom {

/// Header fields in the order they were received.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Compares header names without regard to the case of ASCII letters.
bool equalHeaderNames(std::string_view left, std::string_view right);

/// Value of the first field with this name.
std::optional<std::string> headerValue(const HttpHeaders &headers, std::string_view name);

/// True if a `Connection` field lists the option.
bool hasConnectionOption(const HttpHeaders &headers, std::string_view option);

void removeHeader(HttpHeaders &headers, std::string_view name);

/// The fields that a proxy may forward: excludes the hop-by-hop fields of RFC 9110 section 7.6.1,
/// fields listed in `Connection`, and `Content-Length`, which each hop generates itself.
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

namespace headerNames {
inline constexpr const char *outcome = "Dandelionloom-Outcome";
inline constexpr const char *requestId = "Dandelionloom-Request-Id";
inline constexpr const char *attemptId = "Dandelionloom-Attempt-Id";
inline constexpr const char *deadline = "Dandelionloom-Deadline-Ms";
inline constexpr const char *refused = "Dandelionloom-Refused";
inline constexpr const char *lists = "Dandelionloom-Lists";
inline constexpr const char *reason = "Dandelionloom-Reason";
inline constexpr const char *idempotencyKey = "Idempotency-Key";
} // namespace headerNames

} // namespace dandelionloom
