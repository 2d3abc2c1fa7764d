#ifndef JUJUBESTAND_ENTRY_INTAKE_HPP
#define JUJUBESTAND_ENTRY_INTAKE_HPP

#include <jujubestand/config/store.hpp>
#include <jujubestand/config/tables.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/entry/completion.hpp>
#include <jujubestand/entry/teams.hpp>
#include <jujubestand/http/message.hpp>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/prefix/chain.hpp>
#include <optional>

namespace jujubestand::entry
{

/// \brief A caller's request that may go to an upstream.
struct accepted
{
    config::route route;
    config::pool pool;
    prefix::chain prompt;
    /// The caller names its upstream; only where the settings allow it.
    std::optional<upstream_id> pinned;
    /// Complete but for the attempt.
    link::call message;
};

/// \brief What intake decides by.
struct intake_options
{
    team_table teams;
    std::size_t body_limit_bytes = 0;
    /// Callers may name their upstream in `X-Upstream`.
    bool has_pins = false;
};

/// \brief Checks a caller's request and finds its team, route and pool.
///
/// \param reader reads completion bodies
/// \param id the request's id
/// \returns nothing, with `why` set, for a request that is refused; nothing
/// of it has gone anywhere then
[[nodiscard]] std::optional<accepted>
take_in(intake_options const& options, config::store const& tables,
        completion_reader& reader, http::request const& asked,
        request_id const& id, reason& why);

/// \brief Finds route and pool of a request again, under tables that have
/// come into force since it was taken in.
/// \returns false, with `why` set, if they refuse it
[[nodiscard]] bool reroute(config::store const& tables, accepted& request,
                           reason& why);

} // namespace jujubestand::entry

#endif
