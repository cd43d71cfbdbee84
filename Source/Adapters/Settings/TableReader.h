#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Adapters/Settings/NumberKeys.h"
#include "Adapters/Settings/Toml.h"

namespace dandelionloom {

/// Collects the faults of one file. Line 0 leaves the line out.
class FaultList
{
public:
    explicit FaultList(std::string file);

    void add(std::uint32_t line, const std::string &message);
    bool empty() const;
    /// All faults by line, each once.
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

/// Reads the keys of one TOML table. Every key that is asked for counts as known; the last call,
/// rejectUnknownKeys(), reports the rest. Reports each fault and goes on with a default, so that
/// all faults of a file come out of one pass.
class TableReader
{
public:
    /// `name` is the table as the file writes it, "[timing]". `table` may be null for a section
    /// that is missing, whose required keys are then reported at line `fallbackLine`.
    TableReader(const toml::table *table, std::string name, std::uint32_t fallbackLine,
                FaultList &faults);

    /// A required text that is not empty.
    std::string text(const std::string &key);
    std::optional<std::string> optionalText(const std::string &key);
    /// A required name of 1 to 128 letters, digits, '-', '_' or '.'.
    std::string name(const std::string &key);
    /// A required IP number and port.
    std::string address(const std::string &key);
    /// A number in the key's range; the default if absent.
    std::int64_t number(const NumberKey &key);
    double decimal(const DecimalKey &key);
    bool flag(const std::string &key, std::optional<bool> fallback);
    /// A text out of `choices`.
    std::string choice(const std::string &key, const std::vector<std::string> &choices,
                       const std::string &fallback);

    bool has(const std::string &key) const;
    std::uint32_t line() const;
    std::uint32_t lineOf(const std::string &key) const;
    void fault(const std::string &key, const std::string &message);
    void rejectUnknownKeys();

private:
    const toml::node *node(const std::string &key);
    void missing(const std::string &key, const std::string &expected);
    std::string found(const toml::node &value) const;

    const toml::table *m_table;
    std::string m_name;
    std::uint32_t m_line;
    FaultList &m_faults;
    std::vector<std::string> m_known;
};

} // namespace dandelionloom
