#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

/// Tables that map enumerators to their names in documents, messages and logs.
namespace lycheelanding::core {

template <typename Enum>
struct NameEntry
{
    Enum value;
    std::string_view name;
};

/// The name of `value`, or "unknown" if the table does not contain it.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameIn(const std::array<NameEntry<Enum>, Size> &table, Enum value)
{
    for (const auto &entry : table) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "unknown";
}

/// The enumerator named `name`, or nothing if the table does not contain it.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueIn(const std::array<NameEntry<Enum>, Size> &table, std::string_view name)
{
    for (const auto &entry : table) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    return std::nullopt;
}

} // namespace lycheelanding::core
