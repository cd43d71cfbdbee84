#pragma once

#include <map>
#include <string>
#include <vector>

#include "Model/Lists.h"
#include "Model/Result.h"

namespace dandelionloom {

/// All faults in a list file, each as "file:line: expected ..., found ...".
struct ListFileError
{
    std::vector<std::string> faults;
};

/// Parses a plans file: `[[plan]]` tables in TOML. An empty list must be written as `plan = []`, so
/// that a truncated file does not remove every plan.
Result<std::vector<Plan>, ListFileError> parsePlans(const std::string &text,
                                                    const std::string &file);
/// Parses an allowances file: `[[allowance]]` tables in TOML. An empty list must be written as
/// `allowance = []`.
Result<std::vector<Allowance>, ListFileError> parseAllowances(const std::string &text,
                                                              const std::string &file);

Result<std::vector<Plan>, ListFileError> readPlans(const std::string &path);
Result<std::vector<Allowance>, ListFileError> readAllowances(const std::string &path);

/// Renders the list as TOML, which parsePlans() parses back to equal entries.
std::string renderPlans(const std::map<std::string, Plan> &plans);
std::string renderAllowances(const std::map<std::string, Allowance> &allowances);

} // namespace dandelionloom
