#ifndef JUJUBESTAND_STANDINS_SUPPORT_HTTP_CLIENT_HPP
#define JUJUBESTAND_STANDINS_SUPPORT_HTTP_CLIENT_HPP

#include <chrono>
#include <event2/event.h>
#include <event2/http.h>
#include <functional>
#include <jujubestand/core/address.hpp>
#include <string>

namespace jujubestand::standins
{

/// \brief What a fetch brought; status 0 if no whole answer came.
struct fetch_result
{
    int status = 0;
    std::string body;
};

/// \brief One request on a connection of its own.
struct fetch_request
{
    address where;
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string path = "/";
    std::string body;
    std::chrono::milliseconds timeout{30'000};
};

/// \brief Sends a request; `done` is called once.
void fetch(event_base* base, fetch_request const& request,
           std::function<void(fetch_result)> done);

} // namespace jujubestand::standins

#endif
