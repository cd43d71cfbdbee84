#include "Program/ListCommands.h"

#include <charconv>

#include <Poco/JSON/Array.h>

#include "Adapters/Json/JsonWriter.h"
#include "Adapters/Logging/JsonDecisionLog.h"
#include "Adapters/Settings/ListFiles.h"
#include "Program/ListDiff.h"
#include "Program/TableWriter.h"

namespace dandelionloom {

namespace {

/// A parsed list: its entries by id and its rendering as TOML, or the faults of the input.
struct ParsedList
{
    ListEntries entries;
    std::string text;
    std::vector<std::string> faults;
};

template <typename Entry>
ParsedList parsedListOf(const Result<std::vector<Entry>, ListFileError> &readResult,
                        std::string Entry::*id,
                        std::string (*render)(const std::map<std::string, Entry> &))
{
    ParsedList list;
    if (!isOk(readResult)) {
        list.faults = errorOf(readResult).faults;
        return list;
    }
    std::map<std::string, Entry> entries;
    for (const Entry &entry : valueOf(readResult)) {
        list.entries[entry.*id] = fieldsOf(entry);
        entries[entry.*id] = entry;
    }
    list.text = render(entries);
    return list;
}

ParsedList readListFile(ListKind kind, const std::string &path)
{
    return kind == ListKind::Plans
            ? parsedListOf(readPlans(path), &Plan::id, &renderPlans)
            : parsedListOf(readAllowances(path), &Allowance::plan, &renderAllowances);
}

ParsedList parseListText(ListKind kind, const std::string &text)
{
    return kind == ListKind::Plans
            ? parsedListOf(parsePlans(text, "server"), &Plan::id, &renderPlans)
            : parsedListOf(parseAllowances(text, "server"), &Allowance::plan, &renderAllowances);
}

std::string listPath(ListKind kind)
{
    return "/v1/" + std::string(listKindNames.name(kind));
}

ExitCode writeFaults(const ClientCommand &command, const std::vector<std::string> &faults)
{
    for (const std::string &fault : faults) {
        command.err() << fault << "\n";
    }
    return ExitCode::Usage;
}

ExitCode show(const ClientCommand &command, ListKind kind)
{
    ClientResult result;
    const std::string accept = command.output() == "json" ? "application/json" : "application/toml";
    if (const auto code = command.read(command.readPath(listPath(kind)), accept, result)) {
        return *code;
    }
    if (command.output() != "table") {
        command.out() << result.body;
        return ExitCode::Ok;
    }
    const ParsedList list = parseListText(kind, result.body);
    if (!list.faults.empty()) {
        command.err() << "expected a list from " << result.server << ", found another answer\n";
        return ExitCode::Refused;
    }
    TableRow headings;
    const EntryFields names = kind == ListKind::Plans ? fieldsOf(Plan()) : fieldsOf(Allowance());
    for (const auto &[name, text] : names) {
        headings.push_back(name);
    }
    std::vector<TableRow> rows;
    for (const auto &[id, fields] : list.entries) {
        TableRow row;
        for (const auto &[name, text] : fields) {
            row.push_back(text);
        }
        rows.push_back(std::move(row));
    }
    command.out() << "revision " << result.entityTag << "\n";
    writeTable(command.out(), headings, rows);
    return ExitCode::Ok;
}

ExitCode history(const ClientCommand &command)
{
    ClientResult result;
    if (const auto code =
                command.read(command.readPath("/v1/plans/history"), "application/json", result)) {
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
    std::vector<TableRow> rows;
    const Poco::JSON::Array::Ptr changes = object->getArray("changes");
    for (unsigned index = 0; !changes.isNull() && index < changes->size(); ++index) {
        const Poco::JSON::Object &change = *changes->getObject(index);
        rows.push_back({memberText(change, "revision"), memberText(change, "list"),
                        memberText(change, "entries"), memberText(change, "operator"),
                        memberText(change, "change_id"),
                        formatUtcTime(change.getValue<Poco::Int64>("accepted_at_ms"))});
    }
    writeTable(command.out(), {"revision", "list", "entries", "operator", "change_id", "accepted"},
               rows);
    return ExitCode::Ok;
}

void writeDiff(const ClientCommand &command, const ListDiff &diff)
{
    if (command.output() == "json") {
        JsonWriter json;
        json.beginObject().member("added", diff.added).member("removed", diff.removed);
        json.key("changed").beginArray();
        for (const auto &[id, changes] : diff.changed) {
            json.beginObject().member("id", id).key("fields").beginArray();
            for (const FieldChange &change : changes) {
                json.beginObject()
                        .member("name", change.field)
                        .member("from", change.from)
                        .member("to", change.to)
                        .endObject();
            }
            json.endArray().endObject();
        }
        json.endArray().endObject();
        command.out() << json.text() << "\n";
        return;
    }
    for (const std::string &id : diff.removed) {
        command.out() << "- " << id << "\n";
    }
    for (const std::string &id : diff.added) {
        command.out() << "+ " << id << "\n";
    }
    for (const auto &[id, changes] : diff.changed) {
        for (const FieldChange &change : changes) {
            command.out() << "~ " << id << ": " << change.field << " " << change.from << " -> "
                          << change.to << "\n";
        }
    }
    if (diff.empty()) {
        command.out() << "no difference\n";
    }
}

ExitCode diff(const ClientCommand &command, ListKind kind)
{
    const ParsedList desired = readListFile(kind, command.value("file"));
    if (!desired.faults.empty()) {
        return writeFaults(command, desired.faults);
    }
    ClientResult result;
    if (const auto code =
                command.read(command.readPath(listPath(kind)), "application/toml", result)) {
        return *code;
    }
    const ParsedList current = parseListText(kind, result.body);
    if (!current.faults.empty()) {
        command.err() << "expected a list from " << result.server << ", found another answer\n";
        return ExitCode::Refused;
    }
    writeDiff(command, listDiff(current.entries, desired.entries));
    return ExitCode::Ok;
}

/// The revision that a change is based on: --if-match, or the current one.
std::optional<ExitCode> baseRevision(const ClientCommand &command, ListKind kind,
                                     std::string &revision)
{
    revision = command.value("if-match");
    if (revision.empty()) {
        // A lagging follower could return a stale revision, and the change would end in a conflict.
        ClientResult result;
        if (const auto code =
                    command.read(listPath(kind) + "?consistent=true", "application/toml", result)) {
            return code;
        }
        revision = result.entityTag;
    }
    if (revision.size() > 2 && revision.front() == '"' && revision.back() == '"') {
        revision = revision.substr(1, revision.size() - 2);
    }
    std::uint64_t number = 0;
    const char *end = revision.data() + revision.size();
    const auto parsed = std::from_chars(revision.data(), end, number);
    if (revision.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return command.reportUsageError("expected --if-match as a revision like 7, found '"
                                        + revision + "'");
    }
    return std::nullopt;
}

ExitCode apply(const ClientCommand &command, ListKind kind)
{
    const ParsedList desired = readListFile(kind, command.value("file"));
    if (!desired.faults.empty()) {
        return writeFaults(command, desired.faults);
    }
    std::string revision;
    if (const auto code = baseRevision(command, kind, revision)) {
        return *code;
    }
    ClientRequest request;
    request.method = "PUT";
    request.path = listPath(kind);
    request.headers["If-Match"] = "\"" + revision + "\"";
    request.headers["Content-Type"] = "application/toml";
    request.body = desired.text;
    const std::string id = command.changeId(" --if-match " + revision);
    ClientResult result;
    if (const auto code = command.change(std::move(request), id, result)) {
        return *code;
    }
    if (command.output() == "json") {
        command.out() << result.body;
    } else {
        command.out() << "accepted as revision " << result.entityTag << " by " << result.server
                      << "\n";
    }
    return ExitCode::Ok;
}

} // namespace

ExitCode runListCommand(const CommandInput &input, ListKind kind)
{
    const std::string list(listKindNames.name(kind));
    ClientCommand command(
            input,
            "Shows and changes the " + list + ". Actions: show, apply FILE, diff FILE, history.",
            "dandelionloom " + list + " apply " + list
                    + ".toml --server 10.0.0.1:8081 --server 10.0.0.2:8081 --credential-file "
                      "operator.credential",
            {"action", "file"});
    command.addChangeOptions(true);
    command.allowOutput("toml");
    if (const auto code = command.parse()) {
        return *code;
    }
    const std::string action = command.value("action");
    const bool needsFile = action == "apply" || action == "diff";
    if (!needsFile && action != "show" && action != "history") {
        return command.reportUsageError("expected show, apply, diff or history, found '" + action
                                        + "'");
    }
    if (needsFile != command.has("file")) {
        return command.reportUsageError(needsFile
                                                ? "expected a FILE after " + action + ", found none"
                                                : "expected no FILE after " + action + ", found '"
                                                        + command.value("file") + "'");
    }
    if (action == "show") {
        return show(command, kind);
    }
    if (action == "history") {
        return history(command);
    }
    return action == "apply" ? apply(command, kind) : diff(command, kind);
}

} // namespace dandelionloom
