#ifndef JUJUBESTAND_STANDINS_SUPPORT_STRAY_ANSWERS_HPP
#define JUJUBESTAND_STANDINS_SUPPORT_STRAY_ANSWERS_HPP

#include <event2/http.h>
#include <string>
#include <string_view>

namespace jujubestand::standins
{

/// \brief Writes bytes before the answer to a request, on its connection.
void write_raw(evhttp_request* request, std::string_view bytes);

/// \brief The refusal of a call, as bytes.
[[nodiscard]] std::string refusal_of(std::string const& id);

} // namespace jujubestand::standins

#endif
