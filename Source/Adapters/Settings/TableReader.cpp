#include "Adapters/Settings/TableReader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "Adapters/Settings/TextChecks.h"

namespace dandelionloom {

namespace {

/// Longest part of a found value that a message repeats.
constexpr std::size_t shownValueLength = 64;

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "'" : ", '") + word + "'";
    }
    return text;
}

std::string shown(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

} // namespace

FaultList::FaultList(std::string file) : m_file(std::move(file)) { }

void FaultList::add(std::uint32_t line, const std::string &message)
{
    const std::string place = line == 0 ? m_file : m_file + ":" + std::to_string(line);
    m_faults.push_back({line, place + ": " + message});
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
    if (std::find(m_known.begin(), m_known.end(), key) == m_known.end()) {
        m_known.push_back(key);
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

void TableReader::missing(const std::string &key, const std::string &expected)
{
    m_faults.add(m_line, "expected " + key + " (" + expected + ") in " + m_name + ", found none");
}

std::string TableReader::found(const toml::node &value) const
{
    if (const auto *string = value.as_string()) {
        const std::string &text = string->get();
        return "'" + text.substr(0, shownValueLength)
                + (text.size() > shownValueLength ? "...'" : "'");
    }
    if (const auto *integer = value.as_integer()) {
        return std::to_string(integer->get());
    }
    if (const auto *real = value.as_floating_point()) {
        return shown(real->get());
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
        missing(key, "a text");
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
        fault(key, "expected " + key + " as a text that is not empty, found " + found(*value));
        return std::nullopt;
    }
    return string->get();
}

std::string TableReader::name(const std::string &key)
{
    const toml::node *value = node(key);
    const std::string expected = "a name of 1 to 128 letters, digits, '-', '_' or '.'";
    if (value == nullptr) {
        missing(key, expected);
        return {};
    }
    const auto *string = value->as_string();
    if (string == nullptr || !isEntryName(string->get())) {
        fault(key, "expected " + key + " as " + expected + ", found " + found(*value));
        return {};
    }
    return string->get();
}

std::string TableReader::address(const std::string &key)
{
    const toml::node *value = node(key);
    const std::string expected = "an IP number and port like 10.0.0.1:8000";
    if (value == nullptr) {
        missing(key, expected);
        return {};
    }
    const auto *string = value->as_string();
    if (string == nullptr || !isAddress(string->get())) {
        fault(key, "expected " + key + " as " + expected + ", found " + found(*value));
        return {};
    }
    return string->get();
}

std::int64_t TableReader::number(const NumberKey &key)
{
    const toml::node *value = node(key.key);
    if (value == nullptr) {
        return key.fallback;
    }
    const auto *integer = value->as_integer();
    if (integer == nullptr || integer->get() < key.low || integer->get() > key.high) {
        fault(key.key,
              "expected " + std::string(key.key) + " as a whole number from "
                      + std::to_string(key.low) + " to " + std::to_string(key.high) + ", found "
                      + found(*value));
        return key.fallback;
    }
    return integer->get();
}

double TableReader::decimal(const DecimalKey &key)
{
    const toml::node *value = node(key.key);
    if (value == nullptr) {
        return key.fallback;
    }
    const std::optional<double> real =
            value->is_number() ? value->value<double>() : std::optional<double>();
    if (!real || !std::isfinite(*real) || *real < key.low || *real > key.high) {
        fault(key.key,
              "expected " + std::string(key.key) + " as a number from " + shown(key.low) + " to "
                      + shown(key.high) + ", found " + found(*value));
        return key.fallback;
    }
    return *real;
}

bool TableReader::flag(const std::string &key, std::optional<bool> fallback)
{
    const toml::node *value = node(key);
    if (value == nullptr) {
        if (!fallback) {
            missing(key, "true or false");
        }
        return fallback.value_or(false);
    }
    const auto *boolean = value->as_boolean();
    if (boolean == nullptr) {
        fault(key, "expected " + key + " as true or false, found " + found(*value));
        return fallback.value_or(false);
    }
    return boolean->get();
}

std::string TableReader::choice(const std::string &key, const std::vector<std::string> &choices,
                                const std::string &fallback)
{
    const toml::node *value = node(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto *string = value->as_string();
    if (string == nullptr
        || std::find(choices.begin(), choices.end(), string->get()) == choices.end()) {
        fault(key,
              "expected " + key + " as one of " + joined(choices) + ", found " + found(*value));
        return fallback;
    }
    return string->get();
}

void TableReader::rejectUnknownKeys()
{
    if (m_table == nullptr) {
        return;
    }
    for (const auto &[key, value] : *m_table) {
        const std::string word(key.str());
        if (std::find(m_known.begin(), m_known.end(), word) != m_known.end()) {
            continue;
        }
        const std::string nearest = nearestWord(word, m_known);
        m_faults.add(key.source().begin.line,
                     "expected a key of " + m_name + ", found '" + word + "'"
                             + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    }
}

} // namespace dandelionloom
