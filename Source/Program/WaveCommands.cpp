#include "Program/WaveCommands.h"

#include <charconv>
#include <sstream>

#include <Poco/JSON/Array.h>

#include "Adapters/Json/JsonWriter.h"
#include "Adapters/Settings/TextChecks.h"
#include "Program/TableWriter.h"

namespace dandelionloom {

namespace {

std::size_t lengthOf(const Poco::JSON::Object &object, const std::string &key)
{
    const Poco::JSON::Array::Ptr array = object.getArray(key);
    return array.isNull() ? 0 : array->size();
}

void addWaveRows(const Poco::JSON::Object &wave, std::vector<TableRow> &waves,
                 std::vector<TableRow> &explanations)
{
    waves.push_back({memberText(wave, "id"), memberText(wave, "state"),
                     std::to_string(lengthOf(wave, "finished")),
                     std::to_string(lengthOf(wave, "targets")),
                     memberText(wave, "drain_limit_ms")});
    const Poco::JSON::Array::Ptr waveExplanations = wave.getArray("explanations");
    for (unsigned index = 0; !waveExplanations.isNull() && index < waveExplanations->size();
         ++index) {
        const Poco::JSON::Object &explanation = *waveExplanations->getObject(index);
        explanations.push_back({memberText(wave, "id"), memberText(explanation, "instance"),
                                memberText(explanation, "phase"),
                                memberText(explanation, "reason")});
    }
}

/// Writes the response to a request for one wave or all waves as tables.
ExitCode showWaves(const ClientCommand &command, const ClientResult &result)
{
    if (command.output() == "json") {
        command.out() << result.body;
        return ExitCode::Ok;
    }
    Poco::JSON::Object::Ptr object;
    if (const auto code = command.parseBody(result, object)) {
        return *code;
    }
    std::vector<TableRow> waves;
    std::vector<TableRow> explanations;
    if (object->has("id")) {
        addWaveRows(*object, waves, explanations);
    }
    const Poco::JSON::Array::Ptr all = object->getArray("waves");
    for (unsigned index = 0; !all.isNull() && index < all->size(); ++index) {
        addWaveRows(*all->getObject(index), waves, explanations);
    }
    writeTable(command.out(), {"wave", "state", "finished", "targets", "drain_limit_ms"}, waves);
    if (!explanations.empty()) {
        command.out() << "\n";
        writeTable(command.out(), {"wave", "instance", "phase", "reason"}, explanations);
    }
    return ExitCode::Ok;
}

ExitCode status(const ClientCommand &command)
{
    const std::string path =
            command.has("id") ? "/v1/waves/" + command.value("id") : std::string("/v1/waves");
    ClientResult result;
    if (const auto code = command.read(command.readPath(path), "application/json", result)) {
        return *code;
    }
    return showWaves(command, result);
}

/// Builds the request body of a new wave. Returns an exit code on a usage error.
std::optional<ExitCode> waveBody(const ClientCommand &command, std::string &body)
{
    JsonWriter json;
    json.beginObject().member("id", command.value("id"));
    if (command.has("instances")) {
        std::vector<std::string> instances;
        std::istringstream idStream(command.value("instances"));
        for (std::string instanceId; std::getline(idStream, instanceId, ',');) {
            instances.push_back(instanceId);
        }
        json.member("instances", instances);
    }
    json.memberIfNotEmpty("pool", command.value("pool"));
    json.memberIfNotEmpty("rack", command.value("rack"));
    json.memberIfNotEmpty("availability_zone", command.value("availability-zone"));
    const bool filtered =
            command.has("pool") || command.has("rack") || command.has("availability-zone");
    if (command.has("instances") == filtered) {
        return command.reportUsageError(
                "expected either --instances or a selection by --pool, --rack or "
                "--availability-zone, found "
                + std::string(filtered ? "both" : "neither"));
    }
    if (command.has("drain-limit-ms")) {
        const std::string text = command.value("drain-limit-ms");
        std::uint64_t limit = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), limit);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
            return command.reportUsageError("expected --drain-limit-ms as a whole number, found '"
                                            + text + "'");
        }
        json.member("drain_limit_ms", limit);
    }
    body = json.endObject().text();
    return std::nullopt;
}

ExitCode change(const ClientCommand &command, const std::string &action)
{
    ClientRequest request;
    request.method = "POST";
    if (action == "start") {
        request.path = "/v1/waves";
        request.headers["Content-Type"] = "application/json";
        if (const auto code = waveBody(command, request.body)) {
            return *code;
        }
    } else {
        request.path = "/v1/waves/" + command.value("id") + "/" + action;
    }
    const std::string id = command.changeId();
    ClientResult result;
    if (const auto code = command.change(std::move(request), id, result)) {
        return *code;
    }
    return showWaves(command, result);
}

} // namespace

ExitCode runWaveCommand(const CommandInput &input)
{
    ClientCommand command(
            input,
            "Starts and controls maintenance waves. Actions: start ID, pause ID, resume ID, cancel "
            "ID, status [ID].",
            "dandelionloom waves start kernel-7 --rack zone-a-rack-1 --drain-limit-ms 120000 "
            "--server 10.0.0.1:8081 --credential-file operator.credential",
            {"action", "id"});
    command.addChangeOptions(false);
    command.addOption("instances", "instances of a new wave, separated by commas");
    command.addOption("pool", "pool whose instances a new wave takes");
    command.addOption("rack", "rack whose instances a new wave takes");
    command.addOption("availability-zone", "availability zone whose instances a new wave takes");
    command.addOption("drain-limit-ms", "how long running work may take to end (default: 60000)");
    if (const auto code = command.parse()) {
        return *code;
    }
    const std::string action = command.value("action");
    if (command.has("id") && !isValidIdentifier(command.value("id"))) {
        return command.reportUsageError(
                "expected a wave id of 1 to 128 letters, digits, '-', '_' or '.', "
                "found '"
                + command.value("id") + "'");
    }
    if (action == "status") {
        return status(command);
    }
    if (action != "start" && action != "pause" && action != "resume" && action != "cancel") {
        return command.reportUsageError("expected start, pause, resume, cancel or status, found '"
                                        + action + "'");
    }
    if (!command.has("id")) {
        return command.reportUsageError("expected a wave id after " + action + ", found none");
    }
    return change(command, action);
}

} // namespace dandelionloom
