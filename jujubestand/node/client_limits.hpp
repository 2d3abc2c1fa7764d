#ifndef JUJUBESTAND_NODE_CLIENT_LIMITS_HPP
#define JUJUBESTAND_NODE_CLIENT_LIMITS_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <jujubestand/http1/server.hpp>
#include <jujubestand/logs/log.hpp>
#include <jujubestand/node/settings.hpp>
#include <string>
#include <sys/resource.h>

namespace jujubestand::node
{

/// \brief Descriptors that a process may open, by its settings and by the
/// system.
[[nodiscard]] inline std::size_t descriptor_limit(settings const& read)
{
    // Where there is no limit, as many as a large instance has.
    constexpr std::size_t without_limit = 65'536;
    rlimit system{};
    std::size_t allowed = without_limit;
    if (::getrlimit(RLIMIT_NOFILE, &system) == 0 &&
        system.rlim_cur != RLIM_INFINITY)
        allowed = std::min(allowed, static_cast<std::size_t>(system.rlim_cur));
    return read.descriptors == 0 ? allowed
                                 : std::min(allowed, read.descriptors);
}

/// \brief Writes an event when clients of one port were limited.
[[nodiscard]] inline std::function<void(http1::limited_clients const&)>
limited_logger(logs::log& log, std::string const& port)
{
    return [&log, port](http1::limited_clients const& limited)
    {
        auto const number = [](std::uint64_t value)
        {
            return static_cast<std::int64_t>(value);
        };
        log.write(event_number::clients_limited, {},
                  {{"port", port},
                   {"closed_idle", number(limited.closed_idle)},
                   {"closed_slow", number(limited.closed_slow)},
                   {"refused", number(limited.refused)},
                   {"turned_away", number(limited.turned_away)},
                   {"cut_ahead", number(limited.cut_ahead)},
                   {"connections", number(limited.connections)},
                   {"held_bytes", number(limited.held_bytes)}});
    };
}

} // namespace jujubestand::node

#endif
