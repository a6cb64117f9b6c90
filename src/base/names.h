// Tables of enumeration names. The same table is used for logs, JSON, settings and metrics.
//
// Usage: `constexpr EnumNames<Color, 2> colorNames { { { Color::Red, "red" }, { Color::Blue, "blue" } } };`
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace lacewing::base {

template <typename Enum, std::size_t count> using EnumNames = std::array<std::pair<Enum, std::string_view>, count>;

// Name of a value; "unknown" for a value that is not in the table.
template <typename Enum, std::size_t count>
constexpr std::string_view nameOf(const EnumNames<Enum, count>& names, Enum value)
{
    for (const auto& [entry, name] : names) {
        if (entry == value)
            return name;
    }
    return "unknown";
}

template <typename Enum, std::size_t count>
constexpr std::optional<Enum> valueOf(const EnumNames<Enum, count>& names, std::string_view text)
{
    for (const auto& [entry, name] : names) {
        if (name == text)
            return entry;
    }
    return std::nullopt;
}

} // namespace lacewing::base
