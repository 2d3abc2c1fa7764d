#ifndef JUJUBESTAND_FOLLOW_FOLLOWER_HPP
#define JUJUBESTAND_FOLLOW_FOLLOWER_HPP

#include <chrono>
#include <functional>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/follow/topic.hpp>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace platform
{
class store;
}

namespace jujubestand::follow
{

/// \brief How a topic is read.
struct reading
{
    std::string topic;
    /// How long the store may wait for a record; 0: it answers at once.
    std::chrono::milliseconds wait{0};
    /// Pause between two reads.
    std::chrono::milliseconds pause{0};
};

/// \brief What a follower tells its owner, from the loop.
struct follower_events
{
    std::function<void(std::vector<record> const&)> on_changes;
    std::function<void(reason const&)> on_unreachable;
    std::function<void()> on_reachable;
    /// Records were deleted unread; a list follows.
    std::function<void(reason const&)> on_expired;
};

/// \brief Keeps up with one keyed topic of the platform's store: lists it
/// once, then reads on; lists it again when records were deleted unread.
class follower
{
public:
    follower(event_base* base, platform::store& from, reading how,
             follower_events events);
    ~follower();
    follower(follower const&) = delete;
    follower& operator=(follower const&) = delete;
    follower(follower&&) = delete;
    follower& operator=(follower&&) = delete;

    /// \brief Whether it reads by itself; off at first.
    void set_active(bool is_active);

    /// \brief Reads at once, on a new connection if one is under way: it may
    /// have gone silent. Does nothing soon after the last time.
    void refresh();

    [[nodiscard]] topic const& known() const noexcept;

    /// \brief Takes in what another process knows; see `follow::on_shared`.
    void take(listing const& from, std::uint64_t since, mono_time proven_at);

    /// \brief See `follow::on_vouched`.
    void vouch(std::uint64_t end, mono_time proven_at);

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::follow

#endif
