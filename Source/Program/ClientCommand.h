#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <Poco/JSON/Object.h>
#include <cxxopts.hpp>

#include "Program/ExitCode.h"
#include "Program/OperatorClient.h"

namespace dandelionloom {

/// A usage error of a subcommand: "expected ..., found ...".
struct UsageError
{
    std::string message;
};

/// Arguments and output streams of a subcommand. Results go to `out`, everything else to `err`.
struct CommandInput
{
    std::string name;
    std::vector<std::string> arguments;
    std::ostream &out;
    std::ostream &err;
};

/// Options, HTTP client and output format of a subcommand that calls the administration API.
class ClientCommand
{
public:
    /// `description` and `example` are shown by --help. `positional` holds the names of the
    /// positional arguments, in order.
    ClientCommand(CommandInput input, const std::string &description, const std::string &example,
                  std::vector<std::string> positional);

    /// Adds an option with a value.
    void addOption(const std::string &name, const std::string &help);
    /// Adds --change-id, and --if-match if `withRevision`.
    void addChangeOptions(bool withRevision);
    /// Allows another value of --output than json and table.
    void allowOutput(const std::string &format);

    /// Parses the arguments. Returns an exit code if the subcommand must end: after --help or a
    /// usage error.
    std::optional<ExitCode> parse();

    /// Value of an option or positional argument; empty if absent.
    std::string value(const std::string &name) const;
    bool has(const std::string &name) const;
    const std::string &output() const { return m_output; }
    std::ostream &out() const { return m_input.out; }
    std::ostream &err() const { return m_input.err; }

    ExitCode reportUsageError(const std::string &message) const;

    /// Sends a GET request. Unless a server responds with 200, writes the error and returns an exit
    /// code.
    std::optional<ExitCode> read(const std::string &path, const std::string &accept,
                                 ClientResult &result) const;
    /// Sends a change with the given change id, and resends it if the response is lost. Otherwise
    /// like read().
    std::optional<ExitCode> change(ClientRequest request, const std::string &changeId,
                                   ClientResult &result) const;
    /// The value of --change-id, or a random id. It is printed before it is used, so that the
    /// operator can resend the change after an unknown outcome.
    std::string changeId(const std::string &resendOptions = "") const;
    /// "/v1/x" becomes "/v1/x?consistent=true" if --consistent is given.
    std::string readPath(const std::string &path) const;

    /// Parses the body as a JSON object. Returns an exit code if it is none.
    std::optional<ExitCode> parseBody(const ClientResult &result,
                                      Poco::JSON::Object::Ptr &object) const;

private:
    std::optional<ExitCode> readCredential();
    /// Writes why a request failed and returns the matching exit code.
    ExitCode reportFailure(const ClientResult &result) const;

    CommandInput m_input;
    cxxopts::Options m_options;
    std::string m_example;
    std::vector<std::string> m_positional;
    std::vector<std::string> m_outputs;
    std::optional<cxxopts::ParseResult> m_parsed;
    std::string m_output;
    OperatorClientOptions m_clientOptions;
};

/// Parses arguments with cxxopts. Returns an exit code if the subcommand must end: after --help or
/// a usage error.
std::optional<ExitCode> parseArguments(cxxopts::Options &options, const CommandInput &input,
                                       const std::string &example,
                                       std::optional<cxxopts::ParseResult> &parsed);

ExitCode writeUsageError(const CommandInput &input, const std::string &message);

/// A JSON member as text for a table cell; empty if absent.
std::string memberText(const Poco::JSON::Object &object, const std::string &key);

} // namespace dandelionloom
