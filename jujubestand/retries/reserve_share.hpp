#ifndef JUJUBESTAND_RETRIES_RESERVE_SHARE_HPP
#define JUJUBESTAND_RETRIES_RESERVE_SHARE_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/time.hpp>

namespace jujubestand::retries
{

/// \brief Retries that several processes may make together in any one window,
/// however little traffic there is.
struct shared_reserve
{
    double retries = 0;
    std::chrono::milliseconds window{10'000};
    /// 0: not known yet.
    std::uint32_t processes = 0;
    /// Of this process in an order that all of them share, from 0.
    std::uint32_t position = 0;
    /// Most by which the wall clocks of two processes differ.
    std::chrono::milliseconds clock_tolerance{0};
};

/// \brief What one process may use of a shared reserve now.
struct reserve_share
{
    double retries = 0;
    /// The turn in which the process has a whole retry; 0 if its share does not
    /// come in turns.
    std::uint64_t turn = 0;
};

/// \brief The share of a process. Where there are more processes than retries,
/// some have a whole retry for a turn each, by the wall clock, and the others
/// none. A turn takes a window and the clock tolerance.
[[nodiscard]] reserve_share share_of(shared_reserve const& reserve,
                                     wall_time now);

} // namespace jujubestand::retries

#endif
