#ifndef JUJUBESTAND_SIDECAR_UPSTREAM_REQUEST_HPP
#define JUJUBESTAND_SIDECAR_UPSTREAM_REQUEST_HPP

#include <jujubestand/http/message.hpp>
#include <jujubestand/link/messages.hpp>
#include <string>

namespace jujubestand::sidecar
{

/// \brief The request to the upstream that a call asks for.
///
/// A completion gets the request's id, its priority, and a cache salt of its
/// own team and weights version, so that no cache entry is ever shared
/// between two teams or two versions. Its body must be a JSON object without
/// these fields, which the entry has made sure of.
[[nodiscard]] http::request upstream_request(link::call const& message,
                                             std::string const& body,
                                             std::string const& weights);

} // namespace jujubestand::sidecar

#endif
