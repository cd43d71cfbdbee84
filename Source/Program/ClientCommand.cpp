#include "Program/ClientCommand.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include "Adapters/Settings/TextChecks.h"

namespace dandelionloom {

namespace {

constexpr int statusOk = 200;

/// 128 random bits as hexadecimal digits.
std::string randomChangeId()
{
    std::random_device random;
    std::string id;
    for (int word = 0; word < 4; ++word) {
        std::array<char, 9> digits = {};
        std::snprintf(digits.data(), digits.size(), "%08x", static_cast<unsigned>(random()));
        id += digits.data();
    }
    return id;
}

/// The last word of the first line that is neither blank nor a comment. The line holds either the
/// credential alone or "name credential", as in the server's file.
std::string credentialIn(std::istream &file)
{
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string credential;
        for (std::string word; words >> word;) {
            credential = word;
        }
        if (!credential.empty() && line.front() != '#') {
            return credential;
        }
    }
    return {};
}

} // namespace

ExitCode writeUsageError(const CommandInput &input, const std::string &message)
{
    input.err << "dandelionloom " << input.name << ": " << message << "\n"
              << "See dandelionloom " << input.name << " --help.\n";
    return ExitCode::Usage;
}

std::optional<ExitCode> parseArguments(cxxopts::Options &options, const CommandInput &input,
                                       const std::string &example,
                                       std::optional<cxxopts::ParseResult> &parsed)
{
    std::vector<const char *> arguments = {"dandelionloom"};
    for (const std::string &argument : input.arguments) {
        arguments.push_back(argument.c_str());
    }
    try {
        parsed = options.parse(static_cast<int>(arguments.size()), arguments.data());
    } catch (const cxxopts::exceptions::exception &exception) {
        return writeUsageError(input,
                               std::string("expected valid options, found: ") + exception.what());
    }
    if (parsed->count("help") > 0) {
        input.out << options.help({""}) << "\nExample:\n  " << example << "\n";
        return ExitCode::Ok;
    }
    if (!parsed->unmatched().empty()) {
        return writeUsageError(
                input, "expected no further argument, found '" + parsed->unmatched().front() + "'");
    }
    return std::nullopt;
}

std::string memberText(const Poco::JSON::Object &object, const std::string &key)
{
    return object.has(key) ? object.get(key).toString() : std::string();
}

ClientCommand::ClientCommand(CommandInput input, const std::string &description,
                             const std::string &example, std::vector<std::string> positional)
    : m_input(std::move(input)), m_options("dandelionloom " + m_input.name, description),
      m_example(example), m_positional(std::move(positional)), m_outputs({"table", "json"})
{
    m_options.add_options()("server", "IP:port of an operator listener; repeat it for more servers",
                            cxxopts::value<std::vector<std::string>>())(
            "credential-file", "file with the operator's credential",
            cxxopts::value<std::string>())("output", "format of the result",
                                           cxxopts::value<std::string>()->default_value("table"))(
            "consistent", "confirm a read with a quorum first")("help", "show this help");
    std::string usageText = "[OPTION...]";
    for (const std::string &name : m_positional) {
        m_options.add_options("arguments")(name, "", cxxopts::value<std::string>());
        std::string placeholder = name;
        std::transform(placeholder.begin(), placeholder.end(), placeholder.begin(), ::toupper);
        usageText += " [" + placeholder + "]";
    }
    m_options.custom_help(usageText);
    m_options.positional_help("");
    m_options.parse_positional(m_positional.begin(), m_positional.end());
}

void ClientCommand::addOption(const std::string &name, const std::string &help)
{
    m_options.add_options()(name, help, cxxopts::value<std::string>());
}

void ClientCommand::addChangeOptions(bool withRevision)
{
    addOption("change-id", "id of the change, to resend an earlier one (default: random)");
    if (withRevision) {
        addOption("if-match", "revision that the change starts from (default: the current one)");
    }
}

void ClientCommand::allowOutput(const std::string &format)
{
    m_outputs.push_back(format);
}

std::optional<ExitCode> ClientCommand::parse()
{
    if (const auto code = parseArguments(m_options, m_input, m_example, m_parsed)) {
        return code;
    }
    m_output = (*m_parsed)["output"].as<std::string>();
    if (std::find(m_outputs.begin(), m_outputs.end(), m_output) == m_outputs.end()) {
        std::string choices;
        for (const std::string &choice : m_outputs) {
            choices += (choices.empty() ? "" : ", ") + choice;
        }
        return reportUsageError("expected --output as one of " + choices + ", found '" + m_output
                                + "'");
    }
    if (!has("server")) {
        return reportUsageError("expected at least one --server IP:port, found none");
    }
    m_clientOptions.servers = (*m_parsed)["server"].as<std::vector<std::string>>();
    for (const std::string &server : m_clientOptions.servers) {
        if (!isAddress(server)) {
            return reportUsageError(
                    "expected --server as an IP number and port like 10.0.0.1:8081, found '"
                    + server + "'");
        }
    }
    const std::string id = value("change-id");
    if (has("change-id") && !isValidIdentifier(id)) {
        return reportUsageError(
                "expected --change-id as 1 to 128 letters, digits, '-', '_' or '.', found '" + id
                + "'");
    }
    return readCredential();
}

std::optional<ExitCode> ClientCommand::readCredential()
{
    if (!has("credential-file")) {
        return reportUsageError("expected --credential-file FILE, found none");
    }
    const std::string path = value("credential-file");
    std::ifstream file(path);
    if (!file) {
        return reportUsageError(
                path + ": expected a readable credential file, found: " + std::strerror(errno));
    }
    m_clientOptions.credential = credentialIn(file);
    if (m_clientOptions.credential.empty()) {
        return reportUsageError(path + ": expected a credential, found none");
    }
    return std::nullopt;
}

std::string ClientCommand::value(const std::string &name) const
{
    return has(name) ? (*m_parsed)[name].as<std::string>() : std::string();
}

bool ClientCommand::has(const std::string &name) const
{
    return m_parsed->count(name) > 0;
}

ExitCode ClientCommand::reportUsageError(const std::string &message) const
{
    return writeUsageError(m_input, message);
}

std::string ClientCommand::readPath(const std::string &path) const
{
    if (!has("consistent")) {
        return path;
    }
    return path + (path.find('?') == std::string::npos ? "?" : "&") + "consistent=true";
}

std::optional<ExitCode> ClientCommand::read(const std::string &path, const std::string &accept,
                                            ClientResult &result) const
{
    ClientRequest request;
    request.path = path;
    request.headers["Accept"] = accept;
    result = OperatorClient(m_clientOptions).send(request);
    const bool ok = result.kind == ClientResult::Kind::Answered && result.status == statusOk;
    return ok ? std::nullopt : std::optional(reportFailure(result));
}

std::optional<ExitCode> ClientCommand::change(ClientRequest request, const std::string &changeId,
                                              ClientResult &result) const
{
    request.headers["Dandelionloom-Change-Id"] = changeId;
    result = OperatorClient(m_clientOptions).send(request);
    const bool ok = result.kind == ClientResult::Kind::Answered && result.status == statusOk;
    return ok ? std::nullopt : std::optional(reportFailure(result));
}

std::string ClientCommand::changeId(const std::string &resendOptions) const
{
    const std::string id = has("change-id") ? value("change-id") : randomChangeId();
    err() << "change id " << id << "; to resend: --change-id " << id << resendOptions << std::endl;
    return id;
}

ExitCode ClientCommand::reportFailure(const ClientResult &result) const
{
    if (result.kind == ClientResult::Kind::NotRun) {
        err() << "not run: no server answered\n" << result.message;
        return ExitCode::NotRun;
    }
    if (result.kind == ClientResult::Kind::Unknown) {
        err() << "outcome unknown: the change may have been accepted; resend it with the same "
                 "change id\n"
              << result.message;
        return ExitCode::Unknown;
    }
    err() << "refused by " << result.server << " with status " << result.status << "\n";
    Poco::JSON::Object::Ptr object;
    if (parseBody(result, object)) {
        return ExitCode::Refused;
    }
    err() << memberText(*object, "error") << "\n";
    const Poco::JSON::Array::Ptr faults = object->getArray("faults");
    for (std::size_t index = 0; !faults.isNull() && index < faults->size(); ++index) {
        err() << faults->getElement<std::string>(static_cast<unsigned>(index)) << "\n";
    }
    return ExitCode::Refused;
}

std::optional<ExitCode> ClientCommand::parseBody(const ClientResult &result,
                                                 Poco::JSON::Object::Ptr &object) const
{
    try {
        Poco::JSON::Parser parser;
        object = parser.parse(result.body).extract<Poco::JSON::Object::Ptr>();
        return std::nullopt;
    } catch (const Poco::Exception &) {
        err() << "expected a JSON object from " << result.server << ", found another answer\n";
        return ExitCode::Refused;
    }
}

} // namespace dandelionloom
