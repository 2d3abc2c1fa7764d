#ifndef JUJUBESTAND_PROCESS_LISTENING_HPP
#define JUJUBESTAND_PROCESS_LISTENING_HPP

#include <jujubestand/core/address.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/http/server.hpp>
#include <jujubestand/link/node.hpp>
#include <jujubestand/settings/settings.hpp>
#include <optional>

namespace jujubestand::process
{

/// \brief Where a process listens.
struct listening
{
    address http;
    address link;
};

/// \brief Starts to listen where the settings say.
/// \returns the bound addresses; nothing, with `why` set, if one is taken
[[nodiscard]] std::optional<listening> listen(settings::settings const& read,
                                              http::server& front,
                                              link::node& links, reason& why);

} // namespace jujubestand::process

#endif
