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

/// Wrong usage of a subcommand: "expected ..., found ...".
struct UsageError
{
    std::string message;
};

/// Arguments of one subcommand, and where it writes. Results go to `out`, all else to `err`.
struct CommandInput
{
    std::string name;
    std::vector<std::string> arguments;
    std::ostream &out;
    std::ostream &err;
};

/// A subcommand that asks the administration API: its options, its client and its output format.
class ClientCommand
{
public:
    /// `description` and `example` are shown by --help. `positional` names the arguments that are
    /// no options, in order.
    ClientCommand(CommandInput input, const std::string &description, const std::string &example,
                  std::vector<std::string> positional);

    /// Adds an option with a value.
    void addOption(const std::string &name, const std::string &help);
    /// Adds --change-id, and --if-match if `withRevision`.
    void addChangeOptions(bool withRevision);
    /// Allows another value of --output than json and table.
    void allowOutput(const std::string &format);

    /// Parses the arguments. An exit code ends the subcommand: after --help or wrong usage.
    std::optional<ExitCode> parse();

    /// Value of an option or positional argument; empty if absent.
    std::string value(const std::string &name) const;
    bool has(const std::string &name) const;
    const std::string &output() const { return m_output; }
    std::ostream &out() const { return m_input.out; }
    std::ostream &err() const { return m_input.err; }

    ExitCode usage(const std::string &message) const;

    /// Sends a read. Writes the fault and gives the exit code unless a server answered 200.
    std::optional<ExitCode> read(const std::string &path, const std::string &accept,
                                 ClientAnswer &answer) const;
    /// Sends a change with the given change id, resending it if its answer is lost.
    std::optional<ExitCode> change(ClientRequest request, const std::string &changeId,
                                   ClientAnswer &answer) const;
    /// The value of --change-id, or a random one. It is printed before it is used.
    std::string changeId(const std::string &resendOptions = "") const;
    /// "/v1/x" with ?consistent=true if the option is set.
    std::string readPath(const std::string &path) const;

    /// The body as a JSON object; an exit code if it is none.
    std::optional<ExitCode> parseBody(const ClientAnswer &answer,
                                      Poco::JSON::Object::Ptr &object) const;

private:
    std::optional<ExitCode> readCredential();
    ExitCode failure(const ClientAnswer &answer) const;

    CommandInput m_input;
    cxxopts::Options m_options;
    std::string m_example;
    std::vector<std::string> m_positional;
    std::vector<std::string> m_outputs;
    std::optional<cxxopts::ParseResult> m_parsed;
    std::string m_output;
    OperatorClientOptions m_clientOptions;
};

/// Parses arguments with cxxopts. An exit code ends the subcommand: after --help or wrong usage.
std::optional<ExitCode> parseArguments(cxxopts::Options &options, const CommandInput &input,
                                       const std::string &example,
                                       std::optional<cxxopts::ParseResult> &parsed);

ExitCode writeUsage(const CommandInput &input, const std::string &message);

/// Text of a JSON member for a table; empty if absent.
std::string cell(const Poco::JSON::Object &object, const std::string &key);

} // namespace dandelionloom
