#ifndef JUJUBESTAND_DISPATCH_FORMER_UPSTREAMS_HPP
#define JUJUBESTAND_DISPATCH_FORMER_UPSTREAMS_HPP

#include <jujubestand/dispatch/types.hpp>
#include <string>

/// \brief Upstreams whose records are gone and may come back: their processes
/// may go on, with connections, calls in flight and limits.
namespace jujubestand::dispatch
{

/// \brief Keeps what is needed of an upstream that is about to be removed.
void record_former(state& dispatcher, upstream const& removed);

/// \brief Key for an upstream without a record so far: the one that it had, or
/// a new one.
[[nodiscard]] upstream_key key_of_new(state& dispatcher, std::string const& id);

/// \brief Restores what an upstream has not lost by its record's absence; one
/// that has started again has no limit.
void restore_former(state& dispatcher, upstream& returned,
                    traffic::upstream_record const& record);

} // namespace jujubestand::dispatch

#endif
