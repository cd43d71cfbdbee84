#include "Adapters/Http/OperatorAuthentication.h"

#include <strings.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "Adapters/Settings/TextChecks.h"

namespace dandelionloom {

namespace {

constexpr const char *bearerScheme = "Bearer ";

/// Compares in a time that depends only on the length of `presented`. `expected` must not be empty.
bool equalInConstantTime(const std::string &presented, const std::string &expected)
{
    std::size_t difference = presented.size() ^ expected.size();
    for (std::size_t index = 0; index < presented.size(); ++index) {
        const auto presentedByte = static_cast<unsigned char>(presented[index]);
        const auto expectedByte = static_cast<unsigned char>(expected[index % expected.size()]);
        difference |= static_cast<std::size_t>(presentedByte ^ expectedByte);
    }
    return difference == 0;
}

} // namespace

Result<OperatorCredentials, CredentialFileError> OperatorCredentials::read(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return CredentialFileError{
                {path + ": expected a readable credential file, found: " + std::strerror(errno)}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str(), path);
}

Result<OperatorCredentials, CredentialFileError> OperatorCredentials::parse(const std::string &text,
                                                                            const std::string &file)
{
    OperatorCredentials credentials;
    CredentialFileError error;
    std::istringstream lines(text);
    std::size_t lineNumber = 0;
    for (std::string line; std::getline(lines, line);) {
        ++lineNumber;
        std::istringstream fields(line);
        Entry entry;
        std::string extraField;
        if (!(fields >> entry.name) || entry.name.front() == '#') {
            continue;
        }
        const std::string location = file + ":" + std::to_string(lineNumber) + ": ";
        if (!(fields >> entry.credential) || fields >> extraField
            || !isValidIdentifier(entry.name)) {
            error.faults.push_back(location
                                   + "expected 'name credential', found another number of words or "
                                     "a name that is not of letters, digits, '-', '_' or '.'");
            continue;
        }
        for (const Entry &other : credentials.m_entries) {
            if (other.credential == entry.credential) {
                error.faults.push_back(location
                                       + "expected a credential of its own, found that of '"
                                       + other.name + "'");
            }
        }
        credentials.m_entries.push_back(std::move(entry));
    }
    if (credentials.m_entries.empty() && error.faults.empty()) {
        error.faults.push_back(file + ": expected at least one credential, found none");
    }
    if (!error.faults.empty()) {
        return error;
    }
    return credentials;
}

std::optional<std::string> OperatorCredentials::operatorOf(const std::string &authorization) const
{
    const std::size_t schemeLength = std::strlen(bearerScheme);
    if (authorization.size() <= schemeLength
        || strncasecmp(authorization.c_str(), bearerScheme, schemeLength) != 0) {
        return std::nullopt;
    }
    const std::string presented = authorization.substr(schemeLength);
    std::optional<std::string> name;
    // No early exit: the run time must not reveal which entry matched.
    for (const Entry &entry : m_entries) {
        if (equalInConstantTime(presented, entry.credential)) {
            name = entry.name;
        }
    }
    return name;
}

} // namespace dandelionloom
