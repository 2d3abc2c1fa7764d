#ifndef JUJUBESTAND_GATEWAY_ORIGIN_RECORDS_HPP
#define JUJUBESTAND_GATEWAY_ORIGIN_RECORDS_HPP

#include <jujubestand/gateway/state.hpp>
#include <string>

/// \brief The store's records of the software versions that streams began at.
namespace jujubestand::gateway
{

/// \brief Whether this gateway writes streams of a version to the store.
[[nodiscard]] bool is_writing_origins(gateway_state const& state,
                                      std::string const& software_version);

/// \brief Writes the streams that have begun, if they must be stored.
void review_origin_writes(gateway_state& state);

/// \brief Called at the end of a look-up.
using look_up_end = void (*)(gateway_state& state, mono_time began_at,
                             look_up_state result);

/// \brief Reads the records that this gateway lacks, unless it is doing so or
/// began to a short time ago: the caller has to ask again then.
/// \param on_end called once all records that were written before the start of
/// the look-up are known, or some can't be read
void look_up_origins(gateway_state& state, look_up_end on_end);

} // namespace jujubestand::gateway

#endif
