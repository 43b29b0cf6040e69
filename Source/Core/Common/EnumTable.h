#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Pollenwind {

/// One row of an enum's table of names.
template <typename E> struct EnumName {
    E value;
    std::string_view name;
};

/// Table of names of an enum. Each enum specialises this with `static constexpr std::array` rows, so that logs,
/// metrics, JSON and parsers use the same names.
template <typename E> struct EnumTable;

/// Looks up the name of an enum value.
/// @param value The value.
/// @return Its name in the enum's table, or "unknown" for a value outside the table.
template <typename E> constexpr std::string_view nameOf(E value)
{
    for (const auto& row : EnumTable<E>::rows) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unknown";
}

/// Looks up an enum value by name.
/// @param name The name, as in the enum's table.
/// @return The value, or nothing when the table has no such name.
template <typename E> constexpr std::optional<E> fromName(std::string_view name)
{
    for (const auto& row : EnumTable<E>::rows) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace Pollenwind
