#ifndef JUJUBESTAND_LINK_NODE_HPP
#define JUJUBESTAND_LINK_NODE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/event.hpp>
#include <jujubestand/core/hybrid_time.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/slot_map.hpp>
#include <jujubestand/link/frame.hpp>
#include <jujubestand/link/peer.hpp>
#include <memory>
#include <optional>
#include <sigc++/sigc++.h>
#include <string>

struct event_base;

namespace jujubestand::link
{

/// \brief Address of one stream of a node.
using stream_id = slot_id<struct stream_tag>;

/// \brief Identity, shared key and limits of a node.
struct node_options
{
    instance_id instance;
    incarnation_id incarnation;
    /// "entry", "sidecar" or "ctl".
    std::string role;
    /// Shared by all processes of one deployment.
    std::string key;
    std::size_t frame_limit_bytes = 1U << 20U;
    /// What a stream may have sent without the receiver's `consume`.
    std::size_t stream_window_bytes = 256U << 10U;
    std::size_t connection_window_bytes = 16U << 20U;
    std::uint32_t streams_limit = 4096;
    std::chrono::milliseconds connect_timeout{1'000};
    std::chrono::milliseconds idle_timeout{60'000};
    /// A link whose peer answers no ping within this is cut.
    std::chrono::milliseconds ping_timeout{2'000};
};

/// \brief How a stream ended.
struct stream_end
{
    /// The peer finished it after its last frame.
    bool clean = false;
    /// The peer gave up this stream alone; the link stands.
    bool is_reset = false;
    /// Some of our frames may have reached the peer's process.
    bool may_have_sent = false;
    reason why;
};

/// \brief Carries frames between our processes, over nghttp2 streams on
/// libevent's loop.
///
/// A node listens, connects, or both. Streams are opened to an address; the
/// connection behind them is shared, made on demand and proved by a hello
/// with the shared key before any other frame passes.
class node
{
public:
    /// \param base the process's loop; must outlive the node
    /// \param clock the process's hybrid clock; ticks with every frame
    node(event_base* base, node_options options, hybrid_time& clock);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;

    /// \brief Listens. \returns the bound address (port 0 resolved)
    [[nodiscard]] std::optional<address> listen(address const& where,
                                                reason& why);

    /// \brief Stops accepting new connections and new streams from peers.
    void stop_accepting();

    /// \brief Opens a stream; frames queue until the link is proved. Failure
    /// to connect is reported by `closed`, never from within this call.
    [[nodiscard]] stream_id open(address const& peer_address);

    /// \brief Queues a frame. \returns false if the stream is gone
    bool send(stream_id stream, frame message);

    /// \brief Ends our half after the queued frames.
    void finish(stream_id stream);

    /// \brief Drops the stream at once; `closed` is not emitted for it.
    void reset(stream_id stream);

    /// \brief Gives `bytes` of received payload back to the stream's window.
    void consume(stream_id stream, std::size_t bytes);

    /// \brief Payload bytes queued here that the peer has no window for yet.
    [[nodiscard]] std::size_t unsent_bytes(stream_id stream) const;

    /// \brief Who opened the stream, or whom it was opened to.
    [[nodiscard]] std::optional<peer> peer_of(stream_id stream) const;

    /// \brief Whether a proved link to the address is up.
    [[nodiscard]] bool is_connected(address const& peer_address) const;

    /// \brief Bytes written to all links since the start, and read.
    [[nodiscard]] std::uint64_t bytes_written() const noexcept;
    [[nodiscard]] std::uint64_t bytes_read() const noexcept;

    /// \brief A peer opened a stream.
    sigc::signal<void(stream_id)> opened;
    /// \brief A frame arrived; the receiver owes `consume` of its payload.
    sigc::signal<void(stream_id, frame)> received;
    /// \brief All that was queued on a stream has been written.
    sigc::signal<void(stream_id)> drained;
    /// \brief A stream ended; its id is stale from now on.
    sigc::signal<void(stream_id, stream_end)> closed;
    /// \brief Links up, down and refused.
    event_signal noted;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::link

#endif
