#ifndef JUJUBESTAND_HTTP_REQUEST_HANDLE_HPP
#define JUJUBESTAND_HTTP_REQUEST_HANDLE_HPP

#include <jujubestand/http/message.hpp>
#include <vector>

struct bufferevent;
struct evhttp_request;

/// \brief What the server does with one request of evhttp.
namespace jujubestand::http
{

/// \brief Copies a request and the address of its caller.
[[nodiscard]] request read_request(evhttp_request* handle);

/// \brief The buffer of the caller's connection.
/// \returns nullptr once the connection is closed
[[nodiscard]] bufferevent* buffer_of(evhttp_request* handle);

/// \brief Reports it when the caller closes while its response is pending.
void watch_for_close(evhttp_request* handle);

/// \brief Ends the watch, before the last write.
void unwatch(evhttp_request* handle);

/// \brief Adds the headers of the response.
void set_headers(evhttp_request* handle, std::vector<field> const& headers);

} // namespace jujubestand::http

#endif
