#ifndef JUJUBESTAND_HTTP1_WRITER_HPP
#define JUJUBESTAND_HTTP1_WRITER_HPP

#include <cstddef>
#include <jujubestand/http1/head.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::http1
{

/// \brief Head of a request with its fields and a length, if it has a body.
[[nodiscard]] std::string request_head(std::string_view method,
                                       std::string_view target,
                                       std::vector<http::field> const& fields,
                                       body_framing framing,
                                       std::size_t body_bytes);

/// \brief Head of a response.
[[nodiscard]] std::string response_head(int status,
                                        std::vector<http::field> const& fields,
                                        body_framing framing,
                                        std::size_t body_bytes);

/// \brief One chunk of a chunked body; nothing for no bytes, since an empty
/// chunk ends a body.
[[nodiscard]] std::string chunk(std::string_view bytes);

/// \brief Ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace jujubestand::http1

#endif
