#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace dandelionloom {

/// Names of an `enum class` whose enumerators are numbered consecutively from zero.
template <typename Enum, std::size_t Size>
struct EnumNames
{
    std::array<std::string_view, Size> names;

    constexpr std::string_view name(Enum value) const
    {
        const auto index = static_cast<std::size_t>(value);
        return index < Size ? names[index] : std::string_view("invalid");
    }

    constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (std::size_t index = 0; index < Size; ++index) {
            if (names[index] == name) {
                return static_cast<Enum>(index);
            }
        }
        return std::nullopt;
    }
};

} // namespace dandelionloom
