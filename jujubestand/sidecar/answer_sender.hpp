#ifndef JUJUBESTAND_SIDECAR_ANSWER_SENDER_HPP
#define JUJUBESTAND_SIDECAR_ANSWER_SENDER_HPP

#include <cstddef>
#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/link/node.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/streams/replay.hpp>
#include <optional>
#include <sigc++/sigc++.h>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace jujubestand::sidecar
{

/// \brief Brings answers to their entries, over broken links too.
class answer_sender
{
public:
    /// \param base the process's loop; must outlive the sender
    /// \param links the node that carries the answers; must outlive it too
    answer_sender(event_base* base, link::node& links,
                  streams::replay_limits const& limits);
    answer_sender(answer_sender const&) = delete;
    answer_sender& operator=(answer_sender const&) = delete;
    answer_sender(answer_sender&&) = delete;
    answer_sender& operator=(answer_sender&&) = delete;
    ~answer_sender() = default;

    /// \brief Begins the answer to a call that came on `stream`.
    void begin(request_id const& request, incarnation_id entry,
               link::stream_id stream);

    /// \brief Sets the answer's status and headers.
    void set_head(request_id const& request, link::frame head);

    /// \brief Adds the answer's next piece.
    void append(request_id const& request, std::string bytes);

    /// \brief Ends the answer with a `last` or `failure` frame.
    void conclude(request_id const& request, link::frame ending);

    /// \brief Whether the upstream is to be held back; if so, `has_room`
    /// follows.
    [[nodiscard]] bool must_hold_back(request_id const& request);

    /// \brief Whether an answer is on its way over `stream`.
    [[nodiscard]] bool carries(link::stream_id stream) const;

    /// \brief An entry came back for its answer.
    void resume(link::stream_id stream, link::resume const& wanted);

    /// \brief `stream` can take more.
    void go_on(link::stream_id stream);

    /// \brief `stream` has ended. \returns the request whose answer nobody
    /// wants any more; none while its entry may come back for it
    [[nodiscard]] std::optional<request_id>
    take_closed(link::stream_id stream, link::stream_end const& how);

    /// \brief Answers that have not reached their entries yet.
    [[nodiscard]] std::size_t open_answers() const noexcept;

    /// \brief A held back upstream may go on.
    sigc::signal<void(request_id)> has_room;
    /// \brief Nobody came back for the answer in time.
    sigc::signal<void(request_id)> abandoned;

private:
    void pump(request_id const& request);
    void make_room(request_id const& request);
    void erase(request_id const& request);
    void expire();

    link::node* links;
    streams::replay_store store;
    std::unordered_map<request_id, link::stream_id> stream_of;
    std::unordered_map<std::uint64_t, request_id> by_stream;
    /// Answers whose upstream is held back.
    std::unordered_set<request_id> held_back;
    loop::timer expiry;
};

} // namespace jujubestand::sidecar

#endif
