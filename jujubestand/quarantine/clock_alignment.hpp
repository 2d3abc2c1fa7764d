#ifndef JUJUBESTAND_QUARANTINE_CLOCK_ALIGNMENT_HPP
#define JUJUBESTAND_QUARANTINE_CLOCK_ALIGNMENT_HPP

#include <chrono>
#include <jujubestand/quarantine/strike.hpp>

/// \brief Times of crashes that other processes state by clocks that differ.
namespace jujubestand::quarantine
{

/// \brief A notice of another process, by the clock of this one.
/// \param known what this process knows; a time that it knows already is kept,
/// since each message would add the time that it took
/// \param difference by which this process's clock is ahead; 0: none
[[nodiscard]] notice by_own_clock(strike_table const& known, notice message,
                                  std::chrono::milliseconds difference);

/// \brief A notice from the store, whose writer's clock is not known: times
/// that are known already are kept, others count as of now at the latest.
[[nodiscard]] notice stored_by_own_clock(strike_table const& known,
                                         notice message, wall_time now);

} // namespace jujubestand::quarantine

#endif
