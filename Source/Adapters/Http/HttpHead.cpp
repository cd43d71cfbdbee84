#include "Adapters/Http/HttpHead.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace dandelionloom {

namespace {

constexpr std::size_t maxMethodLength = 32;
/// Memory for a body of which no byte has arrived.
constexpr std::size_t maxReservedBodyBytes = 64 * 1024;

/// Fields that may occur only once: HTTP implementations differ in which of several values they
/// use.
constexpr std::array<std::string_view, 9> singletonFields{
        "Host",        "Content-Length",  "Transfer-Encoding",         "Authorization",
        "Expect",      "Idempotency-Key", "Dandelionloom-Deadline-Ms", "If-Match",
        "Content-Type"};

bool isTokenCharacter(char character)
{
    const bool letter = (character >= 'a' && character <= 'z')
            || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9');
    return letter || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isVisible(char character)
{
    return character > 0x20 && character < 0x7f;
}

bool isFieldValueCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

HttpRequestError requestError(ReadStatus status, const HttpRequestError &tooLong)
{
    switch (status) {
    case ReadStatus::TimedOut:
        return {408, "request-timeout"};
    case ReadStatus::TooLong:
        return tooLong;
    case ReadStatus::Malformed:
        return {400, "bad-line-end"};
    default:
        return {400, "truncated-request"};
    }
}

std::optional<HttpRequestError> parseRequestLine(const std::string &line, HttpHead &head)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string::npos || first == last) {
        return HttpRequestError{400, "bad-request-line"};
    }
    head.method = line.substr(0, first);
    head.target = line.substr(first + 1, last - first - 1);
    const std::string version = line.substr(last + 1);
    if (!isToken(head.method) || head.method.size() > maxMethodLength
        || !head.target.starts_with('/')
        || !std::all_of(head.target.begin(), head.target.end(), isVisible)) {
        return HttpRequestError{400, "bad-request-line"};
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        return HttpRequestError{version.starts_with("HTTP/") ? 505 : 400, "bad-version"};
    }
    head.keepAlive = version == "HTTP/1.1";
    return std::nullopt;
}

std::optional<HttpRequestError> parseField(const std::string &line, HttpHeaders &headers)
{
    const auto colon = line.find(':');
    if (colon == std::string::npos || !isToken(std::string_view(line).substr(0, colon))) {
        return HttpRequestError{400, "bad-header"};
    }
    const std::string_view value = trimmed(std::string_view(line).substr(colon + 1));
    if (!std::all_of(value.begin(), value.end(), isFieldValueCharacter)) {
        return HttpRequestError{400, "bad-header"};
    }
    headers.emplace_back(line.substr(0, colon), std::string(value));
    return std::nullopt;
}

std::optional<HttpRequestError> checkSingletonFields(const HttpHeaders &headers)
{
    for (const std::string_view name : singletonFields) {
        const auto count = std::count_if(headers.begin(), headers.end(), [&](const auto &item) {
            return equalHeaderNames(item.first, name);
        });
        if (count > 1) {
            return HttpRequestError{400, "repeated-header"};
        }
    }
    return std::nullopt;
}

std::optional<HttpRequestError> parseFraming(HttpHead &head, const HttpLimits &limits)
{
    const auto length = headerValue(head.headers, "Content-Length");
    const auto coding = headerValue(head.headers, "Transfer-Encoding");
    if (length && coding) {
        return HttpRequestError{400, "length-and-chunked"};
    }
    if (coding) {
        if (!head.keepAlive || !equalHeaderNames(*coding, "chunked")) {
            return HttpRequestError{head.keepAlive ? 501 : 400, "bad-transfer-encoding"};
        }
        head.contentLength.reset();
        return std::nullopt;
    }
    if (!length) {
        return std::nullopt;
    }
    std::size_t value = 0;
    const char *last = length->data() + length->size();
    const auto [rest, error] = std::from_chars(length->data(), last, value);
    if (error == std::errc::result_out_of_range && rest == last) {
        return HttpRequestError{413, "body-too-large"};
    }
    if (length->empty() || error != std::errc() || rest != last) {
        return HttpRequestError{400, "bad-content-length"};
    }
    if (value > limits.maxBodyBytes) {
        return HttpRequestError{413, "body-too-large"};
    }
    head.contentLength = value;
    return std::nullopt;
}

std::optional<HttpRequestError> parseOptions(HttpHead &head)
{
    if (head.keepAlive && !headerValue(head.headers, "Host")) {
        return HttpRequestError{400, "no-host"};
    }
    if (const auto expect = headerValue(head.headers, "Expect")) {
        if (!equalHeaderNames(*expect, "100-continue")) {
            return HttpRequestError{417, "bad-expect"};
        }
        head.expectsContinue = true;
    }
    if (hasConnectionOption(head.headers, "close")) {
        head.keepAlive = false;
    }
    return std::nullopt;
}

std::optional<HttpRequestError> readFields(ByteReader &reader, const HttpLimits &limits,
                                           HttpHeaders &headers)
{
    const HttpRequestError tooLarge{431, "header-too-large"};
    std::size_t bytes = 0;
    std::string line;
    while (true) {
        const ReadStatus status = reader.readLine(line, limits.maxHeaderBytes - bytes);
        if (status != ReadStatus::Ok) {
            return requestError(status, tooLarge);
        }
        if (line.empty()) {
            return std::nullopt;
        }
        bytes += line.size();
        if (headers.size() == limits.maxHeaderCount) {
            return HttpRequestError{431, "too-many-headers"};
        }
        if (const auto error = parseField(line, headers)) {
            return error;
        }
    }
}

ReadStatus readSizedBody(ByteReader &reader, std::string &body, std::size_t length)
{
    // A client may declare a length and send nothing.
    const std::size_t first = std::min(length, maxReservedBodyBytes);
    body.reserve(first);
    const ReadStatus status = reader.readExactly(body, first);
    if (status != ReadStatus::Ok) {
        return status;
    }
    // A string that grows by itself takes up to twice the bytes that the listeners count.
    body.reserve(length);
    return reader.readExactly(body, length - first);
}

} // namespace

Result<HttpHead, HttpRequestError> readHead(ByteReader &reader, const HttpLimits &limits)
{
    HttpHead head;
    std::string line;
    ReadStatus status = reader.readLine(line, limits.maxRequestLineBytes);
    if (status == ReadStatus::Ok && line.empty()) {
        // RFC 9112 section 2.2: one empty line before the request line is ignored.
        status = reader.readLine(line, limits.maxRequestLineBytes);
    }
    if (status != ReadStatus::Ok) {
        return requestError(status, {414, "request-line-too-long"});
    }
    if (const auto error = parseRequestLine(line, head)) {
        return *error;
    }
    if (const auto error = readFields(reader, limits, head.headers)) {
        return *error;
    }
    if (const auto error = checkSingletonFields(head.headers)) {
        return *error;
    }
    if (const auto error = parseFraming(head, limits)) {
        return *error;
    }
    if (const auto error = parseOptions(head)) {
        return *error;
    }
    return head;
}

Result<std::string, HttpRequestError> readBody(ByteReader &reader, const HttpHead &head,
                                               const HttpLimits &limits)
{
    std::string body;
    const ReadStatus status = head.contentLength
            ? readSizedBody(reader, body, *head.contentLength)
            : readChunkedBody(reader, body, limits.maxBodyBytes);
    if (status == ReadStatus::Malformed) {
        return HttpRequestError{400, "bad-chunk"};
    }
    if (status != ReadStatus::Ok) {
        return requestError(status, {413, "body-too-large"});
    }
    return body;
}

} // namespace dandelionloom
