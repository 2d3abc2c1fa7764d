#ifndef JUJUBESTAND_GATEWAY_RECORD_AGE_HPP
#define JUJUBESTAND_GATEWAY_RECORD_AGE_HPP

#include <jujubestand/core/time.hpp>
#include <optional>

/// \brief Age of the records that a gateway receives from the store.
namespace jujubestand::gateway
{

/// \brief Earliest time at which a record received now may have been written.
/// \param confirmed_before when the copy of the topic was last confirmed
/// current before it had the record; empty: never
/// \param age_limit records count as at most this old
[[nodiscard]] mono_time written_since(std::optional<mono_time> confirmed_before,
                                      mono_time now, microseconds age_limit);

} // namespace jujubestand::gateway

#endif
