#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Adapters/Settings/NumberKeys.h"
#include "Adapters/Settings/Toml.h"

namespace dandelionloom {

/// Collects the faults found in one file.
class FaultList
{
public:
    explicit FaultList(std::string file);

    /// Adds "file:line: message", or "file: message" if `line` is 0.
    void add(std::uint32_t line, const std::string &message);
    bool empty() const;
    /// Returns all messages in the order of their lines, without duplicates.
    std::vector<std::string> lines() const;

private:
    struct Fault
    {
        std::uint32_t line = 0;
        std::string text;
        auto operator<=>(const Fault &) const = default;
    };
    std::string m_file;
    std::vector<Fault> m_faults;
};

/// Reads the keys of one TOML table. Every key that is read counts as known; reportUnknownKeys(),
/// which must be the last call, reports the others. A fault is added to the list and the default or
/// an empty value returned, so that one pass finds all faults in a file.
class TableReader
{
public:
    /// `name` is the table as written in the file, such as "[timing]". `table` is null if the
    /// section is missing; its required keys are then reported at line `fallbackLine`.
    TableReader(const toml::table *table, std::string name, std::uint32_t fallbackLine,
                FaultList &faults);

    /// A required string that is not empty.
    std::string text(const std::string &key);
    std::optional<std::string> optionalText(const std::string &key);
    /// A required name of 1 to 128 letters, digits, '-', '_' or '.'.
    std::string name(const std::string &key);
    /// A required IP address and port.
    std::string address(const std::string &key);
    /// A number in the key's range. Returns the key's default if it is absent.
    std::int64_t number(const NumberKey &key);
    double decimal(const DecimalKey &key);
    /// A boolean. It is required if there is no default.
    bool flag(const std::string &key, std::optional<bool> defaultValue);
    /// One of the strings in `choices`.
    std::string choice(const std::string &key, const std::vector<std::string> &choices,
                       const std::string &defaultValue);

    bool has(const std::string &key) const;
    std::uint32_t line() const;
    /// Returns the line of the key, or of the table if the key is absent.
    std::uint32_t lineOf(const std::string &key) const;
    /// Adds a fault at the line of the key.
    void fault(const std::string &key, const std::string &message);
    void reportUnknownKeys();

private:
    const toml::node *node(const std::string &key);
    void reportMissing(const std::string &key, const std::string &expected);
    std::string describeValue(const toml::node &value) const;

    const toml::table *m_table;
    std::string m_name;
    std::uint32_t m_line;
    FaultList &m_faults;
    std::vector<std::string> m_knownKeys;
};

} // namespace dandelionloom
