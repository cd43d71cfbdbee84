#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Model/HttpMessage.h"
#include "Model/Result.h"

namespace dandelionloom {

struct CredentialsError
{
    /// Names file and line, never a credential.
    std::string message;
};

/// Credentials of one kind of principal. They are kept in memory only and never logged.
class Credentials
{
public:
    /// Reads lines `name credential`; empty lines and lines that start with '#' are skipped. A
    /// name may have several credentials, so that they can be rotated without an interruption.
    static Result<Credentials, CredentialsError> fromFile(const std::string &path);
    static Result<Credentials, CredentialsError> fromText(const std::string &text,
                                                          const std::string &source);

    /// Name of the credential's owner. The run time doesn't depend on the content of `credential`,
    /// only on its length.
    std::optional<std::string> ownerOf(std::string_view credential) const;
    /// Owner of the credential in `Authorization: Bearer`.
    std::optional<std::string> ownerOf(const HttpHeaders &headers) const;

private:
    struct Entry
    {
        std::string name;
        std::string credential;
    };

    std::vector<Entry> m_entries;
};

} // namespace dandelionloom
