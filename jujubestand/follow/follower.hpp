#ifndef JUJUBESTAND_FOLLOW_FOLLOWER_HPP
#define JUJUBESTAND_FOLLOW_FOLLOWER_HPP

#include <chrono>
#include <functional>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/follow/topic.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct event_base;

namespace platform
{
class store;
}

namespace jujubestand::follow
{

/// \brief Topic of a follower, and timing of its reads.
struct read_options
{
    std::string topic;
    /// Long-poll time: how long the store may wait for a record before it
    /// responds; 0: it responds at once.
    std::chrono::milliseconds wait{0};
    /// Delay between two reads.
    std::chrono::milliseconds pause{0};
    /// Reads the versions of values; null if they state none.
    version_reader version_of = nullptr;
    /// Whether keys that the store has lost are kept; see `topic`.
    bool keeps_lost_keys = false;
};

/// \brief Callbacks of a follower, called from the event loop.
struct follower_events
{
    /// Called with changed records and the time at which the copy was last
    /// confirmed current without them; empty if it never was.
    std::function<void(std::vector<record> const&, std::optional<mono_time>)>
        on_changes;
    std::function<void(reason const&)> on_unreachable;
    std::function<void()> on_reachable;
    /// The store deleted records before they were read; the follower lists
    /// the topic again.
    std::function<void(reason const&)> on_expired;
    /// Called before the changes if the store has returned from an older copy,
    /// with its era before and now; may be empty.
    std::function<void(std::uint64_t, std::uint64_t)> on_returned;
};

/// \brief Maintains a copy of one keyed topic of the platform's store: lists
/// the topic once, then reads new records; lists it again if the store deleted
/// records before they were read, or returned from an older copy.
class follower
{
public:
    follower(event_base* base, platform::store& store, read_options options,
             follower_events events);
    ~follower();
    follower(follower const&) = delete;
    follower& operator=(follower const&) = delete;
    follower(follower&&) = delete;
    follower& operator=(follower&&) = delete;

    /// \brief Turns periodic reads on or off; off by default.
    void set_active(bool is_active);

    /// \brief Reads at once. A read in flight is cancelled, since its
    /// connection may be dead, and replaced by one on a new connection. Calls
    /// in quick succession have no effect.
    void refresh();

    [[nodiscard]] topic const& known() const noexcept;

    /// \brief Applies records from another process; see
    /// `follow::on_peer_records`.
    void apply(listing const& list, std::uint64_t since,
               mono_time confirmed_at);

    /// \brief Applies a confirmation from another process; see
    /// `follow::on_confirmation`.
    void confirm(std::uint64_t era, std::uint64_t end, mono_time confirmed_at);

private:
    struct state;
    std::unique_ptr<state> impl;
};

} // namespace jujubestand::follow

#endif
