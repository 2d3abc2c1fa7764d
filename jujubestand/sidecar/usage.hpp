#ifndef JUJUBESTAND_SIDECAR_USAGE_HPP
#define JUJUBESTAND_SIDECAR_USAGE_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace jujubestand::sidecar
{

/// \brief Tokens of an answer, as its engine counted them.
struct usage
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// \brief Bytes from the end of an answer that surely hold its usage.
inline constexpr std::size_t usage_tail_bytes = 4096;

/// \brief Reads the usage that stands last in an answer's tail.
/// \returns nothing if there is none
[[nodiscard]] std::optional<usage> read_usage(std::string_view tail);

} // namespace jujubestand::sidecar

#endif
