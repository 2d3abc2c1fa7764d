#ifndef JUJUBESTAND_CORE_DIGEST_HPP
#define JUJUBESTAND_CORE_DIGEST_HPP

#include <string>
#include <string_view>

namespace jujubestand
{

/// \brief SHA-256 of `bytes`, as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

} // namespace jujubestand

#endif
