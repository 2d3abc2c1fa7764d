#ifndef JUJUBESTAND_PREFIX_CHAIN_HPP
#define JUJUBESTAND_PREFIX_CHAIN_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace jujubestand::prefix
{

/// \brief One message of a chat completion, or the prompt of a plain one.
///
/// `text` is the unescaped content, as simdjson's `get_string` yields it; a
/// message whose content is a list of parts gives one segment per text part.
/// The views need to live only as long as the call of `make_chain`.
struct segment
{
    std::string_view role;
    std::string_view text;
};

/// \brief What two prompts must share before any cache entry may be shared.
struct chain_seed
{
    std::string_view team;
    std::string_view model;
    std::string_view adapter;
    std::string_view weights_version;
};

/// \brief Hash of everything up to the end of one level.
struct level_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(level_key const&) const = default;
};

/// \brief One level: its key and the estimated tokens up to its end.
struct level
{
    level_key key;
    std::uint32_t tokens = 0;

    bool operator==(level const&) const = default;
};

/// \brief Nested levels of a prompt, outermost first.
struct chain
{
    std::vector<level> levels;
    /// Estimated tokens of the whole prompt.
    std::uint32_t prompt_tokens = 0;
};

/// \brief Where levels end, and how many are kept.
struct chain_options
{
    /// Most levels of a chain; the size of a probe grows with it.
    std::size_t levels_limit = 10;
    /// Of these, how many are taken from the outermost ones.
    std::size_t outer_levels = 5;
    /// Bytes of one segment up to its first cut; later cuts follow at 1.5,
    /// 2, 3, 4, 6, 8... times as many.
    std::size_t first_cut_bytes = 4096;
    /// A level shorter than this is merged into the next one.
    std::size_t level_bytes_min = 256;
    /// Bytes that make a token, on average.
    std::size_t bytes_per_token = 4;
};

/// \brief Hashes a prompt into its chain, in one pass over its bytes.
///
/// Prompts that agree up to the end of a level have the same key for it, as
/// long as both chains keep that level.
///
/// \throws std::bad_alloc if there is no memory for the state
///
/// \code
/// std::array const segments{segment{"system", preamble},
///                           segment{"user", question}};
/// chain const levels = make_chain({"depots", "m1", "", "7"}, segments, {});
/// \endcode
[[nodiscard]] chain make_chain(chain_seed const& seed,
                               std::span<segment const> segments,
                               chain_options const& options);

} // namespace jujubestand::prefix

template <>
struct std::hash<jujubestand::prefix::level_key>
{
    std::size_t
    operator()(jujubestand::prefix::level_key const& key) const noexcept
    {
        return static_cast<std::size_t>(key.low);
    }
};

#endif
