#ifndef JUJUBESTAND_STANDINS_ENGINE_TOKEN_TEXT_HPP
#define JUJUBESTAND_STANDINS_ENGINE_TOKEN_TEXT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::standins
{

inline constexpr std::size_t token_bytes = 4;
inline constexpr std::size_t block_tokens = 16;
inline constexpr std::size_t block_bytes = block_tokens * token_bytes;

/// \brief Text seen so far, folded block by block. What comes next depends
/// on all of it, as with a model at temperature 0.
struct text_chain
{
    std::uint64_t hash = 0;
    std::string tail;
};

/// \brief Takes more text in.
/// \returns the chain hash at the end of each block that became full
std::vector<std::uint64_t> extend(text_chain& chain, std::string_view text);

/// \brief The next token's text, `token_bytes` long, appended to the chain.
/// \param filled gets the hash of the block that it fills, if it fills one
std::string next_token(text_chain& chain, std::vector<std::uint64_t>& filled);

/// \brief The whole answer to a prompt.
[[nodiscard]] std::string answer_text(std::string_view prompt,
                                      std::size_t tokens);

/// \brief Tokens of a text.
[[nodiscard]] constexpr std::size_t count_tokens(std::size_t bytes) noexcept
{
    return (bytes + token_bytes - 1) / token_bytes;
}

} // namespace jujubestand::standins

#endif
