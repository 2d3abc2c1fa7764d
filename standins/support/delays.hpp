#ifndef JUJUBESTAND_STANDINS_SUPPORT_DELAYS_HPP
#define JUJUBESTAND_STANDINS_SUPPORT_DELAYS_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <standins/support/http_server.hpp>
#include <string>

namespace jujubestand::standins
{

/// \brief Runs actions later; those still waiting are dropped with it.
class delays
{
public:
    explicit delays(event_base* loop);
    delays(delays const&) = delete;
    delays& operator=(delays const&) = delete;

    /// \brief Runs `action` after `delay`. \returns its id
    std::uint64_t run(std::chrono::microseconds delay,
                      std::function<void()> action);

    /// \brief Drops an action that has not run.
    void drop(std::uint64_t id);

private:
    struct entry
    {
        delays* owner = nullptr;
        std::uint64_t id = 0;
        std::function<void()> action;
        event_ptr timer;
    };

    static void fire(evutil_socket_t, short, void* context);

    event_base* base;
    std::uint64_t next_id = 1;
    std::map<std::uint64_t, entry> entries;
};

/// \brief Stands for never, within a test's or a bench's life.
inline constexpr std::chrono::hours longest_hold{1};

/// \brief Holds requests whose answer comes later, and lets go of those
/// whose caller leaves first.
class held_requests
{
public:
    explicit held_requests(event_base* loop);
    ~held_requests();
    held_requests(held_requests const&) = delete;
    held_requests& operator=(held_requests const&) = delete;

    /// \brief Calls `due` with the request after `delay`, unless its caller
    /// leaves or `take` comes first. \returns an id for `take`
    std::uint64_t hold(evhttp_request* request, std::chrono::microseconds delay,
                       std::function<void(evhttp_request*)> due);

    /// \brief Ends the holding. \returns the request, or null if it has gone
    evhttp_request* take(std::uint64_t id);

    /// \brief Cuts the caller off without an answer.
    void cut_off(evhttp_request* request);

    /// \brief Answers after `delay`; at once if it is zero.
    void reply_after(evhttp_request* request, std::chrono::microseconds delay,
                     int status, std::string body, char const* content_type);

private:
    struct entry
    {
        evhttp_request* request = nullptr;
        std::uint64_t delay = 0;
        std::function<void()> gone;
    };

    delays timers;
    std::uint64_t next_id = 1;
    std::map<std::uint64_t, entry> entries;
};

} // namespace jujubestand::standins

#endif
