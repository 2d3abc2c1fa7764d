#ifndef JUJUBESTAND_NODE_CLIENT_LIMITS_HPP
#define JUJUBESTAND_NODE_CLIENT_LIMITS_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <jujubestand/core/descriptors.hpp>
#include <jujubestand/http1/server.hpp>
#include <jujubestand/logs/log.hpp>
#include <jujubestand/node/settings.hpp>
#include <string>

namespace jujubestand::node
{

/// \brief Descriptors that a process may open, by its settings and by the
/// system.
[[nodiscard]] inline std::size_t descriptor_limit(settings const& read)
{
    std::size_t const allowed = system_descriptor_limit();
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
