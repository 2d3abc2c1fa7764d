#ifndef JUJUBESTAND_STREAMS_PIECE_DIGEST_HPP
#define JUJUBESTAND_STREAMS_PIECE_DIGEST_HPP

#include <cstdint>
#include <string_view>

namespace jujubestand::streams
{

/// \brief Digest of what a piece says: of its choices if it is an event of
/// a completion, of its bytes otherwise.
[[nodiscard]] std::uint64_t piece_digest(std::string_view bytes);

/// \brief Whether two engines give the same answer to this request's body:
/// its sampling is greedy, or it names a seed.
[[nodiscard]] bool is_repeatable(std::string_view body);

} // namespace jujubestand::streams

#endif
