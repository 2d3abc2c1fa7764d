#ifndef JUJUBESTAND_SETTINGS_FOREIGN_LETTER_HPP
#define JUJUBESTAND_SETTINGS_FOREIGN_LETTER_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace jujubestand::settings
{

/// \brief A place in a file, counted from 1.
struct text_place
{
    std::uint32_t line = 1;
    std::uint32_t column = 1;
};

/// \brief The first byte beyond ASCII that stands outside of quotes and
/// comments, where TOML allows none; a line's end ends both here.
[[nodiscard]] std::optional<text_place> foreign_letter(std::string_view text);

} // namespace jujubestand::settings

#endif
