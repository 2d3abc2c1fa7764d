#ifndef JUJUBESTAND_STREAMS_RECEIVER_HPP
#define JUJUBESTAND_STREAMS_RECEIVER_HPP

#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/streams/answer_checker.hpp>
#include <optional>
#include <vector>

namespace jujubestand::streams
{

/// \brief Follows one answer at the entry, over all its links and attempts.
struct receiver
{
    request_id request;
    /// Sequence number of the next piece for the caller.
    std::uint64_t next = 0;
    /// Where the attempt under way stands; below `next` while a second
    /// engine repeats what the caller has.
    std::uint64_t attempt_next = 0;
    /// Digests of the pieces that the caller has, kept where the answer can
    /// be repeated.
    std::vector<std::uint64_t> digests;
    bool keeps_digests = false;
    bool is_whole = false;
};

/// \brief Judges a piece from the link.
[[nodiscard]] piece_check take(receiver& state, link::piece const& arrived);

/// \brief Judges the end: it counts only if every piece came.
[[nodiscard]] piece_check take(receiver& state, link::last const& arrived);

/// \brief What to ask the sidecar for after its link broke.
[[nodiscard]] link::resume resume_after_break(receiver const& state,
                                              incarnation_id entry);

/// \brief Whether another engine may repeat the answer from its start.
[[nodiscard]] bool can_repeat(receiver const& state) noexcept;

/// \brief A further attempt begins with piece 0.
void begin_repeat(receiver& state) noexcept;

} // namespace jujubestand::streams

#endif
