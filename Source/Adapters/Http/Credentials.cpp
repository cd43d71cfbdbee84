#include "Adapters/Http/Credentials.h"

#include <cstddef>
#include <fstream>
#include <set>
#include <sstream>

namespace dandelionloom {

namespace {

/// Shorter ones could be guessed over the network.
constexpr std::size_t shortestCredential = 16;

constexpr std::string_view scheme = "Bearer ";

/// Compares without an early exit, so that the time tells nothing about equal prefixes.
bool equalInConstantTime(std::string_view expected, std::string_view found)
{
    std::size_t difference = expected.size() ^ found.size();
    for (std::size_t index = 0; index < found.size(); ++index) {
        const char other = expected[index % expected.size()];
        difference |= static_cast<std::size_t>(static_cast<unsigned char>(found[index] ^ other));
    }
    return difference == 0;
}

} // namespace

Result<Credentials, CredentialFault> Credentials::fromFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return CredentialFault{"credential file " + path + " can't be read"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return fromText(text.str(), path);
}

Result<Credentials, CredentialFault> Credentials::fromText(const std::string &text,
                                                           const std::string &source)
{
    Credentials credentials;
    std::set<std::string> seen;
    std::istringstream lines(text);
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        if (line.empty() || line.front() == '#') {
            continue;
        }
        const std::string place = source + " line " + std::to_string(number) + ": ";
        std::istringstream words(line);
        Entry entry;
        std::string rest;
        if (!(words >> entry.name >> entry.credential) || (words >> rest)) {
            return CredentialFault{place + "expected 'name credential'"};
        }
        if (entry.credential.size() < shortestCredential) {
            return CredentialFault{place + "expected a credential of at least "
                                   + std::to_string(shortestCredential) + " characters, found "
                                   + std::to_string(entry.credential.size())};
        }
        if (!seen.insert(entry.credential).second) {
            return CredentialFault{place + "the credential is listed twice"};
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
    if (!value || value->size() <= scheme.size()
        || !equalHeaderNames(std::string_view(*value).substr(0, scheme.size()), scheme)) {
        return std::nullopt;
    }
    return ownerOf(std::string_view(*value).substr(scheme.size()));
}

} // namespace dandelionloom
