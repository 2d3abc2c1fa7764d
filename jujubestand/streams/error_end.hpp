#ifndef JUJUBESTAND_STREAMS_ERROR_END_HPP
#define JUJUBESTAND_STREAMS_ERROR_END_HPP

#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/verdict.hpp>
#include <string>

namespace jujubestand::streams
{

/// \brief The event that tells a caller that its stream ends here and is
/// not whole. No closing chunk and no `[DONE]` may follow it.
[[nodiscard]] std::string error_event(request_id const& request,
                                      verdict outcome, reason const& why);

} // namespace jujubestand::streams

#endif
