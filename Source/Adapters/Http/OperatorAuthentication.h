#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Model/Result.h"

namespace dandelionloom {

/// Faults of a credential file, one text each. They never contain a credential.
struct CredentialFileError
{
    std::vector<std::string> faults;
};

/// Names and credentials of the operators.
class OperatorCredentials
{
public:
    /// Reads lines "name credential"; empty lines and lines that start with '#' are skipped. A
    /// name may have several credentials, so that they can be rotated without an interruption.
    static Result<OperatorCredentials, CredentialFileError> read(const std::string &path);
    static Result<OperatorCredentials, CredentialFileError> parse(const std::string &text,
                                                                  const std::string &file);

    /// Name of the operator that an `Authorization: Bearer <credential>` header authenticates. The
    /// run time depends only on the header's length and the number of operators.
    std::optional<std::string> operatorOf(const std::string &authorization) const;

private:
    struct Entry
    {
        std::string name;
        std::string credential;
    };
    std::vector<Entry> m_entries;
};

} // namespace dandelionloom
