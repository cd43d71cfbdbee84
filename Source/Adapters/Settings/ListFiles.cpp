#include "Adapters/Settings/ListFiles.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

#include "Adapters/Settings/TableReader.h"

namespace dandelionloom {

namespace {

// Same ranges as in the checks of the replicated state, so that a value out of range is reported
// before the list is sent.
constexpr NumberKey minHealthyKey{"plan", "min_healthy_instances", "instances", 1, 0, 1000000, ""};
constexpr NumberKey maxUnavailableKey{
        "plan", "max_unavailable_instances", "instances", 1, 1, 1000000, ""};
constexpr NumberKey defaultDeadlineKey{"plan", "default_deadline_ms", "ms", 5000, 1, 86400000, ""};
constexpr NumberKey maxInstancesKey{"allowance", "max_instances", "instances", 1, 1, 1000000, ""};
constexpr NumberKey slotsKey{"allowance", "slots", "slots", 8, 1, 1000000, ""};
constexpr NumberKey requestsPerSecondKey{
        "allowance", "requests_per_second", "requests/s", 100, 1, 1000000, ""};
constexpr NumberKey weightKey{"allowance", "weight", "", 1, 1, 1000000, ""};
constexpr NumberKey acceleratorsKey{"allowance", "accelerators", "accelerators", 0, 0, 1000000, ""};

std::uint32_t number(TableReader &reader, const NumberKey &key)
{
    return static_cast<std::uint32_t>(reader.number(key));
}

std::uint32_t requiredNumber(TableReader &reader, const NumberKey &key)
{
    if (!reader.has(key.key)) {
        reader.fault(key.key,
                     "expected " + std::string(key.key) + " (a whole number from "
                             + std::to_string(key.minValue) + " to " + std::to_string(key.maxValue)
                             + ") in [[" + key.section + "]], found none");
    }
    return number(reader, key);
}

Plan readEntry(TableReader &reader, const Plan *)
{
    Plan plan;
    plan.id = reader.name("id");
    plan.customer = reader.text("customer");
    plan.service = reader.name("service");
    if (plan.service == "spare") {
        reader.fault("service",
                     "expected service other than 'spare', which is the spare pool, "
                     "found 'spare'");
    }
    const std::vector<std::string> urgencies(urgencyNames.names.begin(), urgencyNames.names.end());
    plan.urgency = urgencyNames.value(reader.choice("urgency", urgencies, "normal"))
                           .value_or(Urgency::Normal);
    plan.minHealthyInstances = requiredNumber(reader, minHealthyKey);
    plan.maxUnavailableInstances = requiredNumber(reader, maxUnavailableKey);
    plan.defaultDeadlineMs = number(reader, defaultDeadlineKey);
    return plan;
}

Allowance readEntry(TableReader &reader, const Allowance *)
{
    Allowance allowance;
    allowance.plan = reader.name("plan");
    allowance.maxInstances = requiredNumber(reader, maxInstancesKey);
    allowance.slots = requiredNumber(reader, slotsKey);
    allowance.requestsPerSecond = requiredNumber(reader, requestsPerSecondKey);
    allowance.weight = number(reader, weightKey);
    allowance.accelerators = number(reader, acceleratorsKey);
    return allowance;
}

/// Parses a list of `[[list]]` tables. The key `idKey`, stored in the member `id`, identifies an
/// entry.
template <typename Entry>
Result<std::vector<Entry>, ListFileError>
parseList(const std::string &text, const std::string &file, const std::string &list,
          const char *idKey, std::string Entry::*id)
{
    const toml::parse_result parsed = toml::parse(text, file);
    FaultList faults(file);
    if (!parsed) {
        faults.add(parsed.error().source().begin.line,
                   "expected valid TOML, found: " + std::string(parsed.error().description()));
        return ListFileError{faults.lines()};
    }
    const std::string tableName = "[[" + list + "]]";
    for (const auto &[key, value] : parsed.table()) {
        if (key.str() != list) {
            faults.add(key.source().begin.line,
                       "expected only " + tableName + " tables, found '" + std::string(key.str())
                               + "'");
        }
    }
    const toml::node *node = parsed.table().get(list);
    const toml::array *array = node != nullptr ? node->as_array() : nullptr;
    if (node == nullptr) {
        faults.add(1,
                   "expected at least one " + tableName + ", or " + list
                           + " = [] for an empty list, found none");
    } else if (array == nullptr) {
        faults.add(node->source().begin.line,
                   "expected " + tableName + " with double brackets, found another value");
    }
    std::vector<Entry> entries;
    std::set<std::string> ids;
    for (std::size_t index = 0; array != nullptr && index < array->size(); ++index) {
        const toml::node &element = *array->get(index);
        if (!element.is_table()) {
            faults.add(element.source().begin.line,
                       "expected a " + tableName + " table, found another value");
            continue;
        }
        TableReader reader(element.as_table(), tableName, element.source().begin.line, faults);
        Entry entry = readEntry(reader, static_cast<const Entry *>(nullptr));
        reader.reportUnknownKeys();
        if (!(entry.*id).empty() && !ids.insert(entry.*id).second) {
            reader.fault(idKey,
                         "expected each " + std::string(idKey) + " once, found '" + entry.*id
                                 + "' again");
        }
        entries.push_back(std::move(entry));
    }
    if (!faults.empty()) {
        return ListFileError{faults.lines()};
    }
    return entries;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file) {
        return std::nullopt;
    }
    // An empty file sets the fail bit of the target stream, which is not a read error.
    text << file.rdbuf();
    return file.bad() ? std::nullopt : std::optional(text.str());
}

ListFileError unreadableFileError(const std::string &path)
{
    return {{path + ": expected a readable list file, found: " + std::strerror(errno)}};
}

std::string tomlString(const std::string &text)
{
    std::ostringstream out;
    out << toml::toml_formatter(toml::value<std::string>(text));
    return out.str();
}

} // namespace

Result<std::vector<Plan>, ListFileError> parsePlans(const std::string &text,
                                                    const std::string &file)
{
    return parseList<Plan>(text, file, "plan", "id", &Plan::id);
}

Result<std::vector<Allowance>, ListFileError> parseAllowances(const std::string &text,
                                                              const std::string &file)
{
    return parseList<Allowance>(text, file, "allowance", "plan", &Allowance::plan);
}

Result<std::vector<Plan>, ListFileError> readPlans(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return unreadableFileError(path);
    }
    return parsePlans(*text, path);
}

Result<std::vector<Allowance>, ListFileError> readAllowances(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return unreadableFileError(path);
    }
    return parseAllowances(*text, path);
}

std::string renderPlans(const std::map<std::string, Plan> &plans)
{
    if (plans.empty()) {
        return "plan = []\n";
    }
    std::ostringstream out;
    for (const auto &[id, plan] : plans) {
        out << (out.tellp() > 0 ? "\n" : "") << "[[plan]]\n"
            << "id = " << tomlString(plan.id) << "\n"
            << "customer = " << tomlString(plan.customer) << "\n"
            << "service = " << tomlString(plan.service) << "\n"
            << "urgency = " << tomlString(std::string(urgencyNames.name(plan.urgency))) << "\n"
            << "min_healthy_instances = " << plan.minHealthyInstances << "\n"
            << "max_unavailable_instances = " << plan.maxUnavailableInstances << "\n"
            << "default_deadline_ms = " << plan.defaultDeadlineMs << "\n";
    }
    return out.str();
}

std::string renderAllowances(const std::map<std::string, Allowance> &allowances)
{
    if (allowances.empty()) {
        return "allowance = []\n";
    }
    std::ostringstream out;
    for (const auto &[plan, allowance] : allowances) {
        out << (out.tellp() > 0 ? "\n" : "") << "[[allowance]]\n"
            << "plan = " << tomlString(allowance.plan) << "\n"
            << "max_instances = " << allowance.maxInstances << "\n"
            << "slots = " << allowance.slots << "\n"
            << "requests_per_second = " << allowance.requestsPerSecond << "\n"
            << "weight = " << allowance.weight << "\n"
            << "accelerators = " << allowance.accelerators << "\n";
    }
    return out.str();
}

} // namespace dandelionloom
