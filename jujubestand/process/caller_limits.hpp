#ifndef JUJUBESTAND_PROCESS_CALLER_LIMITS_HPP
#define JUJUBESTAND_PROCESS_CALLER_LIMITS_HPP

#include <jujubestand/http/server.hpp>
#include <jujubestand/process/context.hpp>

namespace jujubestand::process
{

/// \brief Limits of what a process's callers may hold, from its settings.
[[nodiscard]] http::server_options
server_options_of(settings::settings const& read);

/// \brief Notes that callers were limited.
void note_limited(context& shared, http1::limited_clients const& limited);

} // namespace jujubestand::process

#endif
