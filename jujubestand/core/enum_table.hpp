#ifndef JUJUBESTAND_CORE_ENUM_TABLE_HPP
#define JUJUBESTAND_CORE_ENUM_TABLE_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace jujubestand
{

/// \brief One row of a table of names: an enumerator and its text.
template <class Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// \brief Text of an enumerator, or `"unknown"` if the table lacks it.
template <class Enum, std::size_t Size>
[[nodiscard]] constexpr std::string_view
to_name(std::array<enum_name<Enum>, Size> const& table, Enum value) noexcept
{
    for (auto const& row : table)
    {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// \brief Enumerator of a text, or nothing if the table lacks it.
template <class Enum, std::size_t Size>
[[nodiscard]] constexpr std::optional<Enum>
from_name(std::array<enum_name<Enum>, Size> const& table,
          std::string_view name) noexcept
{
    for (auto const& row : table)
    {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

/// \copydoc from_name
template <class Enum>
[[nodiscard]] constexpr std::optional<Enum>
from_name(std::span<enum_name<Enum> const> table,
          std::string_view name) noexcept
{
    for (auto const& row : table)
    {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace jujubestand

#endif
