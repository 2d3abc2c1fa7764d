#ifndef JUJUBESTAND_BENCH_SUPPORT_HTTP_CALL_HPP
#define JUJUBESTAND_BENCH_SUPPORT_HTTP_CALL_HPP

#include <jujubestand/core/address.hpp>
#include <string>

struct event_base;

namespace jujubestand::bench
{

/// \brief Answer of one call; status 0 where there was none.
struct http_answer
{
    int status = 0;
    std::string body;
};

/// \brief Makes one HTTP call and runs the loop until its end.
[[nodiscard]] http_answer call(event_base* base, address const& where,
                               std::string const& method,
                               std::string const& path,
                               std::string const& body);

} // namespace jujubestand::bench

#endif
