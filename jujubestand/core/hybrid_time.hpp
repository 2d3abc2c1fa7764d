#ifndef JUJUBESTAND_CORE_HYBRID_TIME_HPP
#define JUJUBESTAND_CORE_HYBRID_TIME_HPP

#include <compare>
#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <msgpack.hpp>

namespace jujubestand
{

/// \brief A stamp of a hybrid logical clock: an effect's stamp is always
/// above its cause's, whatever the wall clocks of the two processes say.
struct hybrid_time
{
    std::int64_t wall_ms = 0;
    std::uint32_t counter = 0;

    auto operator<=>(hybrid_time const&) const = default;

    MSGPACK_DEFINE_ARRAY(wall_ms, counter)
};

/// \brief Advances `clock` for a local event or a message to be sent.
/// \returns the event's stamp
hybrid_time tick(hybrid_time& clock, wall_time now) noexcept;

/// \brief Advances `clock` for a message stamped `remote`.
/// \returns the stamp of its receipt
hybrid_time merge(hybrid_time& clock, hybrid_time remote,
                  wall_time now) noexcept;

} // namespace jujubestand

#endif
