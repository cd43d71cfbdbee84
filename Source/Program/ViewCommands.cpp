#include "Program/ViewCommands.h"

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>

#include "Program/TableWriter.h"

namespace dandelionloom {

namespace {

const std::string connectionExample =
        " --server 10.0.0.1:8081 --credential-file operator.credential";

/// One row for each object in the array `key`, one cell for each column.
std::vector<TableRow> rowsOf(const Poco::JSON::Object &object, const std::string &key,
                             const TableRow &columns)
{
    std::vector<TableRow> rows;
    const Poco::JSON::Array::Ptr array = object.getArray(key);
    for (unsigned index = 0; !array.isNull() && index < array->size(); ++index) {
        TableRow row;
        for (const std::string &column : columns) {
            row.push_back(memberText(*array->getObject(index), column));
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

/// Sends a GET request and writes the array `key` of the response as a table.
ExitCode showArray(const ClientCommand &command, const std::string &path, const std::string &key,
                   const TableRow &columns)
{
    ClientResult result;
    if (const auto code = command.read(command.readPath(path), "application/json", result)) {
        return *code;
    }
    if (command.output() == "json") {
        command.out() << result.body;
        return ExitCode::Ok;
    }
    Poco::JSON::Object::Ptr object;
    if (const auto code = command.parseBody(result, object)) {
        return *code;
    }
    writeTable(command.out(), columns, rowsOf(*object, key, columns));
    return ExitCode::Ok;
}

std::string instancesPath(const ClientCommand &command)
{
    std::string path = "/v1/instances";
    char separator = '?';
    for (const auto &[option, parameter] : {std::pair("pool", "pool"), std::pair("rack", "rack"),
                                            std::pair("availability-zone", "availability_zone")}) {
        if (command.has(option)) {
            std::string encoded;
            Poco::URI::encode(command.value(option), "&=+?#%/", encoded);
            path += separator;
            path.append(parameter).append("=").append(encoded);
            separator = '&';
        }
    }
    return path;
}

} // namespace

ExitCode runInstancesCommand(const CommandInput &input)
{
    ClientCommand command(input, "Shows the committed record of each instance.",
                          "dandelionloom instances --pool pricing" + connectionExample, {});
    command.addOption("pool", "only instances of this pool");
    command.addOption("rack", "only instances of this rack");
    command.addOption("availability-zone", "only instances of this availability zone");
    if (const auto code = command.parse()) {
        return *code;
    }
    return showArray(command, instancesPath(command), "instances",
                     {"id", "pool", "availability_zone", "rack", "phase", "epoch", "grant_holder",
                      "moving_to"});
}

ExitCode runEndpointsCommand(const CommandInput &input)
{
    ClientCommand command(input, "Shows the endpoints that the queried entry instance knows.",
                          "dandelionloom endpoints" + connectionExample, {});
    if (const auto code = command.parse()) {
        return *code;
    }
    return showArray(command, "/v1/endpoints", "endpoints",
                     {"instance", "address", "service", "slots", "availability_zone", "rack",
                      "state", "owner", "lease_remaining_ms"});
}

ExitCode runStatusCommand(const CommandInput &input)
{
    ClientCommand command(
            input, "Shows the queried entry instance and the progress of all entry instances.",
            "dandelionloom status" + connectionExample, {});
    if (const auto code = command.parse()) {
        return *code;
    }
    ClientResult result;
    if (const auto code =
                command.read(command.readPath("/v1/status"), "application/json", result)) {
        return *code;
    }
    if (command.output() == "json") {
        command.out() << result.body;
        return ExitCode::Ok;
    }
    Poco::JSON::Object::Ptr object;
    if (const auto code = command.parseBody(result, object)) {
        return *code;
    }
    const TableRow instanceColumns = {"instance",       "role",         "term",
                                      "leader",         "commit_index", "applied_index",
                                      "lists_revision", "ready",        "quorum_contact_age_ms"};
    TableRow values;
    for (const std::string &key : instanceColumns) {
        values.push_back(memberText(*object, key));
    }
    writeTable(command.out(), instanceColumns, {values});
    const TableRow columns = {"name",          "availability_zone", "voter",
                              "applied_index", "lists_revision",    "heard_age_ms"};
    command.out() << "\n";
    writeTable(command.out(), columns, rowsOf(*object, "replicas", columns));
    if (object->has("replicas_error")) {
        command.err() << "the leader could not be queried: "
                      << memberText(*object, "replicas_error") << "\n";
    }
    return ExitCode::Ok;
}

} // namespace dandelionloom
