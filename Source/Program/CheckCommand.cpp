#include "Program/CheckCommand.h"

#include <set>

#include "Adapters/Settings/ListFiles.h"
#include "Adapters/Settings/Settings.h"
#include "Program/ServeCommand.h"

namespace dandelionloom {

namespace {

void writeLines(std::ostream &out, const std::vector<std::string> &lines)
{
    for (const std::string &line : lines) {
        out << line << "\n";
    }
}

/// One fault for each allowance that refers to a plan which is not in the plans file.
std::vector<std::string> orphanFaults(const std::vector<Plan> &plans,
                                      const std::vector<Allowance> &allowances,
                                      const std::string &allowancesFile)
{
    std::set<std::string> ids;
    for (const Plan &plan : plans) {
        ids.insert(plan.id);
    }
    std::vector<std::string> faults;
    for (const Allowance &allowance : allowances) {
        if (!ids.contains(allowance.plan)) {
            faults.push_back(allowancesFile + ": expected a plan '" + allowance.plan
                             + "' for its allowance, found none in the plans file");
        }
    }
    return faults;
}

std::vector<std::string> listFaults(const std::string &plansFile, const std::string &allowancesFile)
{
    std::vector<std::string> faults;
    std::optional<std::vector<Plan>> plans;
    if (!plansFile.empty()) {
        auto read = readPlans(plansFile);
        if (isOk(read)) {
            plans = takeValue(std::move(read));
        } else {
            faults = errorOf(read).faults;
        }
    }
    if (!allowancesFile.empty()) {
        const auto read = readAllowances(allowancesFile);
        const std::vector<std::string> found = !isOk(read) ? errorOf(read).faults
                : plans ? orphanFaults(*plans, valueOf(read), allowancesFile)
                        : std::vector<std::string>();
        faults.insert(faults.end(), found.begin(), found.end());
    }
    return faults;
}

std::string optionValue(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return parsed.count(name) > 0 ? parsed[name].as<std::string>() : std::string();
}

} // namespace

ExitCode runCheckCommand(const CommandInput &input)
{
    cxxopts::Options options("dandelionloom check",
                             "Checks a settings file and list files and reports all faults.");
    options.add_options()("settings", "settings file", cxxopts::value<std::string>())(
            "plans", "plans file",
            cxxopts::value<std::string>())("allowances", "allowances file",
                                           cxxopts::value<std::string>())("help", "show this help");
    options.custom_help("[OPTION...] [SETTINGS]");
    options.positional_help("").show_positional_help();
    options.parse_positional({"settings"});
    std::optional<cxxopts::ParseResult> parsed;
    if (const auto code = parseArguments(options, input,
                                         "dandelionloom check examples/chamdakam.toml --plans "
                                         "examples/chamdakam-plans.toml",
                                         parsed)) {
        return *code;
    }
    const std::string settingsFile = optionValue(*parsed, "settings");
    const std::string plansFile = optionValue(*parsed, "plans");
    const std::string allowancesFile = optionValue(*parsed, "allowances");
    if (settingsFile.empty() && plansFile.empty() && allowancesFile.empty()) {
        return writeUsageError(input,
                               "expected a settings file, --plans or --allowances, found none");
    }
    std::vector<std::string> faults;
    if (!settingsFile.empty()) {
        const auto settings = readSettings(settingsFile);
        if (!isOk(settings)) {
            faults = errorOf(settings).faults;
        }
    }
    const std::vector<std::string> found = listFaults(plansFile, allowancesFile);
    faults.insert(faults.end(), found.begin(), found.end());
    writeLines(input.err, faults);
    if (!faults.empty()) {
        return ExitCode::Usage;
    }
    input.out << "no fault found\n";
    return ExitCode::Ok;
}

int runServeCommand(const CommandInput &input)
{
    cxxopts::Options options("dandelionloom serve", "Runs one entry instance.");
    options.add_options()("settings", "settings file",
                          cxxopts::value<std::string>())("help", "show this help");
    options.custom_help("[OPTION...] SETTINGS");
    options.positional_help("").show_positional_help();
    options.parse_positional({"settings"});
    std::optional<cxxopts::ParseResult> parsed;
    if (const auto code = parseArguments(options, input,
                                         "dandelionloom serve --settings "
                                         "/etc/dandelionloom/settings.toml",
                                         parsed)) {
        return static_cast<int>(*code);
    }
    const std::string path = optionValue(*parsed, "settings");
    if (path.empty()) {
        return static_cast<int>(writeUsageError(input, "expected a settings file, found none"));
    }
    const auto settings = readSettings(path);
    if (!isOk(settings)) {
        writeLines(input.err, errorOf(settings).faults);
        return static_cast<int>(ExitCode::Usage);
    }
    return runServe(valueOf(settings));
}

} // namespace dandelionloom
