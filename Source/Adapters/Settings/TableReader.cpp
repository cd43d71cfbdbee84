#include "Adapters/Settings/TableReader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "Adapters/Settings/TextChecks.h"

namespace dandelionloom {

namespace {

/// Messages quote at most this many bytes of a string value.
constexpr std::size_t maxQuotedLength = 64;

std::string quotedList(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "'" : ", '") + word + "'";
    }
    return text;
}

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

} // namespace

FaultList::FaultList(std::string file) : m_file(std::move(file)) { }

void FaultList::add(std::uint32_t line, const std::string &message)
{
    const std::string location = line == 0 ? m_file : m_file + ":" + std::to_string(line);
    m_faults.push_back({line, location + ": " + message});
}

bool FaultList::empty() const
{
    return m_faults.empty();
}

std::vector<std::string> FaultList::lines() const
{
    std::vector<Fault> sorted = m_faults;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const Fault &left, const Fault &right) { return left.line < right.line; });
    std::vector<std::string> texts;
    for (Fault &fault : sorted) {
        if (std::find(texts.begin(), texts.end(), fault.text) == texts.end()) {
            texts.push_back(std::move(fault.text));
        }
    }
    return texts;
}

TableReader::TableReader(const toml::table *table, std::string name, std::uint32_t fallbackLine,
                         FaultList &faults)
    : m_table(table), m_name(std::move(name)),
      m_line(table != nullptr ? table->source().begin.line : fallbackLine), m_faults(faults)
{ }

const toml::node *TableReader::node(const std::string &key)
{
    if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) == m_knownKeys.end()) {
        m_knownKeys.push_back(key);
    }
    return m_table != nullptr ? m_table->get(key) : nullptr;
}

bool TableReader::has(const std::string &key) const
{
    return m_table != nullptr && m_table->contains(key);
}

std::uint32_t TableReader::line() const
{
    return m_line;
}

std::uint32_t TableReader::lineOf(const std::string &key) const
{
    return has(key) ? m_table->get(key)->source().begin.line : m_line;
}

void TableReader::fault(const std::string &key, const std::string &message)
{
    m_faults.add(lineOf(key), message);
}

void TableReader::reportMissing(const std::string &key, const std::string &expected)
{
    m_faults.add(m_line, "expected " + key + " (" + expected + ") in " + m_name + ", found none");
}

std::string TableReader::describeValue(const toml::node &value) const
{
    if (const auto *string = value.as_string()) {
        const std::string &text = string->get();
        return "'" + text.substr(0, maxQuotedLength)
                + (text.size() > maxQuotedLength ? "...'" : "'");
    }
    if (const auto *integer = value.as_integer()) {
        return std::to_string(integer->get());
    }
    if (const auto *real = value.as_floating_point()) {
        return formatNumber(real->get());
    }
    if (const auto *boolean = value.as_boolean()) {
        return boolean->get() ? "true" : "false";
    }
    if (value.is_table()) {
        return "a table";
    }
    return value.is_array() ? "an array" : "a date or time";
}

std::string TableReader::text(const std::string &key)
{
    const toml::node *value = node(key);
    if (value == nullptr) {
        reportMissing(key, "a non-empty string");
        return {};
    }
    return optionalText(key).value_or("");
}

std::optional<std::string> TableReader::optionalText(const std::string &key)
{
    const toml::node *value = node(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    const auto *string = value->as_string();
    if (string == nullptr || string->get().empty()) {
        fault(key, "expected " + key + " as a non-empty string, found " + describeValue(*value));
        return std::nullopt;
    }
    return string->get();
}

std::string TableReader::name(const std::string &key)
{
    const toml::node *value = node(key);
    const std::string expected = "a name of 1 to 128 letters, digits, '-', '_' or '.'";
    if (value == nullptr) {
        reportMissing(key, expected);
        return {};
    }
    const auto *string = value->as_string();
    if (string == nullptr || !isValidIdentifier(string->get())) {
        fault(key, "expected " + key + " as " + expected + ", found " + describeValue(*value));
        return {};
    }
    return string->get();
}

std::string TableReader::address(const std::string &key)
{
    const toml::node *value = node(key);
    const std::string expected = "an IP number and port like 10.0.0.1:8000";
    if (value == nullptr) {
        reportMissing(key, expected);
        return {};
    }
    const auto *string = value->as_string();
    if (string == nullptr || !isAddress(string->get())) {
        fault(key, "expected " + key + " as " + expected + ", found " + describeValue(*value));
        return {};
    }
    return string->get();
}

std::int64_t TableReader::number(const NumberKey &key)
{
    const toml::node *value = node(key.key);
    if (value == nullptr) {
        return key.defaultValue;
    }
    const auto *integer = value->as_integer();
    if (integer == nullptr || integer->get() < key.minValue || integer->get() > key.maxValue) {
        fault(key.key,
              "expected " + std::string(key.key) + " as a whole number from "
                      + std::to_string(key.minValue) + " to " + std::to_string(key.maxValue)
                      + ", found " + describeValue(*value));
        return key.defaultValue;
    }
    return integer->get();
}

double TableReader::decimal(const DecimalKey &key)
{
    const toml::node *value = node(key.key);
    if (value == nullptr) {
        return key.defaultValue;
    }
    const std::optional<double> real =
            value->is_number() ? value->value<double>() : std::optional<double>();
    if (!real || !std::isfinite(*real) || *real < key.minValue || *real > key.maxValue) {
        fault(key.key,
              "expected " + std::string(key.key) + " as a number from " + formatNumber(key.minValue)
                      + " to " + formatNumber(key.maxValue) + ", found " + describeValue(*value));
        return key.defaultValue;
    }
    return *real;
}

bool TableReader::flag(const std::string &key, std::optional<bool> defaultValue)
{
    const toml::node *value = node(key);
    if (value == nullptr) {
        if (!defaultValue) {
            reportMissing(key, "true or false");
        }
        return defaultValue.value_or(false);
    }
    const auto *boolean = value->as_boolean();
    if (boolean == nullptr) {
        fault(key, "expected " + key + " as true or false, found " + describeValue(*value));
        return defaultValue.value_or(false);
    }
    return boolean->get();
}

std::string TableReader::choice(const std::string &key, const std::vector<std::string> &choices,
                                const std::string &defaultValue)
{
    const toml::node *value = node(key);
    if (value == nullptr) {
        return defaultValue;
    }
    const auto *string = value->as_string();
    if (string == nullptr
        || std::find(choices.begin(), choices.end(), string->get()) == choices.end()) {
        fault(key,
              "expected " + key + " as one of " + quotedList(choices) + ", found "
                      + describeValue(*value));
        return defaultValue;
    }
    return string->get();
}

void TableReader::reportUnknownKeys()
{
    if (m_table == nullptr) {
        return;
    }
    for (const auto &[key, value] : *m_table) {
        const std::string unknown(key.str());
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), unknown) != m_knownKeys.end()) {
            continue;
        }
        const std::string closest = closestMatch(unknown, m_knownKeys);
        m_faults.add(key.source().begin.line,
                     "expected a key of " + m_name + ", found '" + unknown + "'"
                             + (closest.empty() ? "" : "; did you mean '" + closest + "'?"));
    }
}

} // namespace dandelionloom
