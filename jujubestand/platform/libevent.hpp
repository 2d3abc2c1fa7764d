#ifndef JUJUBESTAND_PLATFORM_LIBEVENT_HPP
#define JUJUBESTAND_PLATFORM_LIBEVENT_HPP

#include <chrono>
#include <event2/event.h>
#include <memory>
#include <sys/time.h>

namespace jujubestand::platform
{

/// \brief Frees a libevent event.
struct event_deleter
{
    void operator()(event* owned) const noexcept
    {
        event_free(owned);
    }
};

/// \brief An owned libevent event.
using event_ptr = std::unique_ptr<event, event_deleter>;

/// \brief A duration as libevent takes it.
[[nodiscard]] inline timeval to_timeval(std::chrono::milliseconds span) noexcept
{
    auto const seconds = std::chrono::floor<std::chrono::seconds>(span);
    auto const rest = std::chrono::microseconds(span - seconds);
    return timeval{static_cast<time_t>(seconds.count()),
                   static_cast<suseconds_t>(rest.count())};
}

} // namespace jujubestand::platform

#endif
