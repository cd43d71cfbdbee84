#pragma once

#include <cstdint>
#include <span>

namespace dandelionloom {

/// A whole-number setting: its default value, its range and the reason for both.
struct NumberKey
{
    const char *section;
    const char *key;
    const char *unit;
    std::int64_t defaultValue;
    std::int64_t minValue;
    std::int64_t maxValue;
    const char *reason;
};

struct DecimalKey
{
    const char *section;
    const char *key;
    double defaultValue;
    double minValue;
    double maxValue;
    const char *reason;
};

/// All whole-number settings, in the order of docs/settings.md.
std::span<const NumberKey> numberKeys();
/// All decimal settings, in the order of docs/settings.md.
std::span<const DecimalKey> decimalKeys();

/// Finds a setting by section and key. Aborts the process if there is none: callers pass literals,
/// so an unknown name is a programming error.
const NumberKey &numberKey(const char *section, const char *key);
const DecimalKey &decimalKey(const char *section, const char *key);

} // namespace dandelionloom
