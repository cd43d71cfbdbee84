#pragma once

#include <map>
#include <string>
#include <vector>

#include "Model/Lists.h"
#include "Model/Result.h"

namespace dandelionloom {

/// All faults of a list file, each a line "file:line: expected ..., found ...".
struct ListFileError
{
    std::vector<std::string> faults;
};

/// Reads a plans file, `[[plan]]` tables in TOML. An empty list must be written as `plan = []`:
/// a file that lost its content must not remove every plan.
Result<std::vector<Plan>, ListFileError> parsePlans(const std::string &text,
                                                    const std::string &file);
/// Reads an allowances file, `[[allowance]]` tables in TOML, with the same rule for empty lists.
Result<std::vector<Allowance>, ListFileError> parseAllowances(const std::string &text,
                                                              const std::string &file);

Result<std::vector<Plan>, ListFileError> readPlans(const std::string &path);
Result<std::vector<Allowance>, ListFileError> readAllowances(const std::string &path);

/// The list as a file that parsePlans() reads back to equal entries.
std::string renderPlans(const std::map<std::string, Plan> &plans);
std::string renderAllowances(const std::map<std::string, Allowance> &allowances);

} // namespace dandelionloom
