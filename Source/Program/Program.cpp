#include "Program/Program.h"

#include "Adapters/Settings/TextChecks.h"
#include "Program/CheckCommand.h"
#include "Program/ListCommands.h"
#include "Program/ViewCommands.h"
#include "Program/WaveCommands.h"

namespace dandelionloom {

namespace {

constexpr const char *overview =
        R"(Usage: dandelionloom COMMAND [OPTION...]

Commands:
  serve       run one entry instance
  check       check a settings file and list files
  plans       show, apply FILE, diff FILE, history
  allowances  show, apply FILE, diff FILE, history
  waves       start ID, pause ID, resume ID, cancel ID, status [ID]
  instances   show the committed record of each instance
  endpoints   show the endpoints
  status      show an entry instance and the progress of all
  version     show the version

Exit codes:
  0  done
  1  refused by the server, or a conflict
  2  usage error or a faulty file; nothing was sent
  3  no server ran the request; safe to send again
  4  the outcome is unknown; resend with the same change id

Example:
  dandelionloom plans --help
)";

const std::vector<std::string> commandNames = {"serve",      "check",  "plans",
                                               "allowances", "waves",  "instances",
                                               "endpoints",  "status", "version"};

int codeOf(ExitCode code)
{
    return static_cast<int>(code);
}

int runVersion(const CommandInput &input)
{
    if (!input.arguments.empty() && input.arguments.front() == "--help") {
        input.out << "Shows the version.\nUsage:\n  dandelionloom version\n\nExample:\n  "
                     "dandelionloom version\n";
        return codeOf(ExitCode::Ok);
    }
    if (!input.arguments.empty()) {
        return codeOf(writeUsageError(
                input, "expected no further argument, found '" + input.arguments.front() + "'"));
    }
    input.out << "dandelionloom " << DANDELIONLOOM_VERSION << "\n";
    return codeOf(ExitCode::Ok);
}

int runCommand(const CommandInput &input)
{
    if (input.name == "serve") {
        return runServeCommand(input);
    }
    if (input.name == "check") {
        return codeOf(runCheckCommand(input));
    }
    if (input.name == "plans") {
        return codeOf(runListCommand(input, ListKind::Plans));
    }
    if (input.name == "allowances") {
        return codeOf(runListCommand(input, ListKind::Allowances));
    }
    if (input.name == "waves") {
        return codeOf(runWaveCommand(input));
    }
    if (input.name == "instances") {
        return codeOf(runInstancesCommand(input));
    }
    if (input.name == "endpoints") {
        return codeOf(runEndpointsCommand(input));
    }
    if (input.name == "status") {
        return codeOf(runStatusCommand(input));
    }
    return runVersion(input);
}

} // namespace

int runProgram(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    if (arguments.empty()) {
        err << overview;
        return codeOf(ExitCode::Usage);
    }
    const std::string &name = arguments.front();
    if (name == "--help" || name == "help") {
        out << overview;
        return codeOf(ExitCode::Ok);
    }
    for (const std::string &known : commandNames) {
        if (known == name) {
            return runCommand({name, {arguments.begin() + 1, arguments.end()}, out, err});
        }
    }
    const std::string nearest = closestMatch(name, commandNames);
    err << "dandelionloom: expected a command, found '" << name << "'"
        << (nearest.empty() ? "" : "; did you mean '" + nearest + "'?") << "\n"
        << "See dandelionloom --help.\n";
    return codeOf(ExitCode::Usage);
}

} // namespace dandelionloom
