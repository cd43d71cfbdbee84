#include "Adapters/Http/Credentials.h"

#include <cstddef>
#include <fstream>
#include <set>
#include <sstream>

namespace dandelionloom {

namespace {

/// Shorter credentials could be guessed over the network.
constexpr std::size_t minCredentialLength = 16;

constexpr std::string_view bearerScheme = "Bearer ";

/// Compares without an early exit, so that the run time does not reveal the length of a matching
/// prefix.
bool equalInConstantTime(std::string_view expected, std::string_view found)
{
    std::size_t difference = expected.size() ^ found.size();
    for (std::size_t index = 0; index < found.size(); ++index) {
        const char expectedCharacter = expected[index % expected.size()];
        difference |= static_cast<std::size_t>(
                static_cast<unsigned char>(found[index] ^ expectedCharacter));
    }
    return difference == 0;
}

} // namespace

Result<Credentials, CredentialsError> Credentials::fromFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return CredentialsError{"credential file " + path + " can't be read"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return fromText(text.str(), path);
}

Result<Credentials, CredentialsError> Credentials::fromText(const std::string &text,
                                                            const std::string &source)
{
    Credentials credentials;
    std::set<std::string> seen;
    std::istringstream lines(text);
    std::size_t lineNumber = 0;
    for (std::string line; std::getline(lines, line);) {
        ++lineNumber;
        if (line.empty() || line.front() == '#') {
            continue;
        }
        const std::string location = source + " line " + std::to_string(lineNumber) + ": ";
        std::istringstream fields(line);
        Entry entry;
        std::string extraField;
        if (!(fields >> entry.name >> entry.credential) || (fields >> extraField)) {
            return CredentialsError{location + "expected 'name credential'"};
        }
        if (entry.credential.size() < minCredentialLength) {
            return CredentialsError{location + "expected a credential of at least "
                                    + std::to_string(minCredentialLength) + " characters, found "
                                    + std::to_string(entry.credential.size())};
        }
        if (!seen.insert(entry.credential).second) {
            return CredentialsError{location + "the credential is listed twice"};
        }
        credentials.m_entries.push_back(std::move(entry));
    }
    return credentials;
}

std::optional<std::string> Credentials::ownerOf(std::string_view credential) const
{
    const Entry *owner = nullptr;
    for (const Entry &entry : m_entries) {
        if (equalInConstantTime(entry.credential, credential)) {
            owner = &entry;
        }
    }
    if (owner == nullptr) {
        return std::nullopt;
    }
    return owner->name;
}

std::optional<std::string> Credentials::ownerOf(const HttpHeaders &headers) const
{
    const auto value = headerValue(headers, "Authorization");
    if (!value || value->size() <= bearerScheme.size()
        || !equalHeaderNames(std::string_view(*value).substr(0, bearerScheme.size()),
                             bearerScheme)) {
        return std::nullopt;
    }
    return ownerOf(std::string_view(*value).substr(bearerScheme.size()));
}

} // namespace dandelionloom
