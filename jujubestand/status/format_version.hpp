#ifndef JUJUBESTAND_STATUS_FORMAT_VERSION_HPP
#define JUJUBESTAND_STATUS_FORMAT_VERSION_HPP

#include <cstdint>

namespace jujubestand::status
{

/// \brief Version of the message format; messages of other versions are
/// ignored.
inline constexpr std::uint32_t format_version = 2;

} // namespace jujubestand::status

#endif
