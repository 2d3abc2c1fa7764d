#ifndef JUJUBESTAND_STREAMS_REPLAY_HPP
#define JUJUBESTAND_STREAMS_REPLAY_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/link/frame.hpp>
#include <jujubestand/link/messages.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubestand::streams
{

/// \brief Bounds of what a sidecar keeps of its answers.
struct replay_limits
{
    /// Of one answer, after it was handed to the link. At least the entry's
    /// stream window, or what a broken link lost cannot be sent again.
    std::size_t handed_bytes = 64U << 10U;
    /// Of one answer, before that; the engine is held back beyond.
    std::size_t waiting_bytes = 64U << 10U;
    /// Of all answers; those without a link go first, oldest first.
    std::size_t total_bytes = 48U << 20U;
    /// How long an answer waits for its entry to come back.
    std::chrono::seconds kept_for{10};
};

/// \brief The last pieces of one answer.
struct replay_window
{
    /// The only process that may have this answer.
    incarnation_id entry;
    /// Goes before the pieces, again after each resume.
    std::optional<link::frame> head;
    bool is_head_handed = false;
    std::deque<std::string> pieces;
    /// Sequence number of the first piece kept.
    std::uint64_t first = 0;
    /// Sequence number of the piece to be handed to the link next.
    std::uint64_t next = 0;
    std::size_t handed_bytes = 0;
    std::size_t waiting_bytes = 0;
    /// What follows the last piece: a `last` or `failure` frame.
    std::optional<link::frame> ending;
    /// Set while no link carries the answer.
    std::optional<mono_time> expires;
};

/// \brief All answers of a sidecar that may still be asked for.
struct replay_store
{
    replay_limits limits;
    std::unordered_map<request_id, replay_window> windows;
    std::size_t total_bytes = 0;
};

/// \brief Begins an answer. \returns false if there is one already
bool begin(replay_store& store, request_id const& request,
           incarnation_id entry);

/// \brief Sets the answer's status and headers.
void set_head(replay_store& store, request_id const& request, link::frame head);

/// \brief Adds the answer's next piece; nothing for an unknown request.
void append(replay_store& store, request_id const& request, std::string bytes);

/// \brief Says what follows the answer's last piece.
void conclude(replay_store& store, request_id const& request,
              link::frame ending);

/// \brief Takes the next frame to be sent: head, pieces, ending.
[[nodiscard]] std::optional<link::frame> next_frame(replay_store& store,
                                                    request_id const& request);

/// \brief Whether all frames up to the ending were taken.
[[nodiscard]] bool is_handed_over(replay_store const& store,
                                  request_id const& request) noexcept;

/// \brief Whether the engine should be held back.
[[nodiscard]] bool is_full(replay_store const& store,
                           request_id const& request) noexcept;

/// \brief The answer's link broke; it waits for a resume.
void detach(replay_store& store, request_id const& request, mono_time now);

/// \brief Goes on from `wanted.next_sequence`.
/// \returns false, with `why` set, if that cannot be done without a gap
[[nodiscard]] bool attach(replay_store& store, link::resume const& wanted,
                          reason& why);

/// \brief Forgets an answer.
void erase(replay_store& store, request_id const& request);

/// \brief Forgets the answers that nobody came back for, and the oldest
/// waiting ones while the store is over its bound.
/// \returns their requests; those still running are to be cancelled
[[nodiscard]] std::vector<request_id> expire(replay_store& store,
                                             mono_time now);

} // namespace jujubestand::streams

#endif
