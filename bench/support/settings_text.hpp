#ifndef JUJUBESTAND_BENCH_SUPPORT_SETTINGS_TEXT_HPP
#define JUJUBESTAND_BENCH_SUPPORT_SETTINGS_TEXT_HPP

#include <cstddef>
#include <jujubestand/core/address.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jujubestand::bench
{

/// \brief One TOML table of texts.
[[nodiscard]] std::string
settings_section(std::string const& name,
                 std::vector<std::pair<std::string, std::string>> const& texts);

/// \brief TOML tables from their names and whole texts.
[[nodiscard]] std::string
extra_sections(std::map<std::string, std::string> const& sections);

/// \brief `[[team]]` for the first `count` teams of a workload.
[[nodiscard]] std::string team_sections(std::size_t count);

/// \brief SHA-256 of a text, in hexadecimal.
[[nodiscard]] std::string sha256_hex(std::string const& text);

/// \brief The settings with other addresses in `[listen]`.
[[nodiscard]] std::string with_addresses(std::string const& text,
                                         address const& http,
                                         address const& link);

} // namespace jujubestand::bench

#endif
