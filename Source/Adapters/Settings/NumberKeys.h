#pragma once

#include <cstdint>
#include <span>

namespace dandelionloom {

/// A whole-number setting: its default, its range, and why the range is as it is.
struct NumberKey
{
    const char *section;
    const char *key;
    const char *unit;
    std::int64_t fallback;
    std::int64_t low;
    std::int64_t high;
    const char *reason;
};

struct DecimalKey
{
    const char *section;
    const char *key;
    double fallback;
    double low;
    double high;
    const char *reason;
};

/// All whole-number keys of the settings file, in the order of docs/settings.md.
std::span<const NumberKey> numberKeys();
std::span<const DecimalKey> decimalKeys();

/// The key of a section. The names are literals of this project; an unknown one ends the process.
const NumberKey &numberKey(const char *section, const char *key);
const DecimalKey &decimalKey(const char *section, const char *key);

} // namespace dandelionloom
