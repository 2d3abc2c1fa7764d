#ifndef JUJUBESTAND_PROCESS_DAEMON_HPP
#define JUJUBESTAND_PROCESS_DAEMON_HPP

#include <jujubestand/settings/settings.hpp>

namespace jujubestand::process
{

/// \brief Exit codes of the daemon.
enum class exit_code : int
{
    stopped = 0,      ///< a planned stop that cut nothing
    failed = 1,       ///< it could not start
    bad_settings = 2, ///< the settings or arguments are wrong
    drain_cut = 3,    ///< a planned stop that cut requests at its limit
};

/// \brief Runs an entry or a sidecar until it is stopped by SIGTERM or
/// SIGINT. The first signal drains; the second, or the drain's limit, cuts.
[[nodiscard]] exit_code run_daemon(settings::settings read,
                                   settings::role role);

} // namespace jujubestand::process

#endif
