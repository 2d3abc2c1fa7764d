#ifndef JUJUBESTAND_BENCH_SUPPORT_ANSWER_READER_HPP
#define JUJUBESTAND_BENCH_SUPPORT_ANSWER_READER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubestand::bench
{

/// \brief What a caller makes of a completion's answer as it comes.
struct answer_reader
{
    bool is_stream = true;
    /// Text of the pieces so far.
    std::string text;
    /// Id in the pieces.
    std::string name;
    /// Pieces with another id than the first.
    std::size_t foreign_pieces = 0;
    std::size_t tokens = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    /// `[DONE]` came, or the JSON was whole.
    bool is_done = false;
    /// An error event or an unreadable event came.
    bool has_error = false;
    /// Bytes of an event or a body that is not whole yet.
    std::string pending;
};

/// \brief Takes in bytes. \returns how many more tokens they brought
std::size_t feed(answer_reader& reader, std::string_view bytes);

/// \brief The body has ended.
void end(answer_reader& reader);

} // namespace jujubestand::bench

#endif
