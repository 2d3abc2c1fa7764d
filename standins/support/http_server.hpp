#ifndef JUJUBESTAND_STANDINS_SUPPORT_HTTP_SERVER_HPP
#define JUJUBESTAND_STANDINS_SUPPORT_HTTP_SERVER_HPP

#include <cstdint>
#include <event2/event.h>
#include <event2/http.h>
#include <functional>
#include <jujubestand/core/address.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubestand::standins
{

/// \brief Frees libevent's objects.
struct event_deleter
{
    void operator()(event_base* base) const noexcept;
    void operator()(evhttp* server) const noexcept;
    void operator()(event* timer) const noexcept;
};

using base_ptr = std::unique_ptr<event_base, event_deleter>;
using http_ptr = std::unique_ptr<evhttp, event_deleter>;
using event_ptr = std::unique_ptr<event, event_deleter>;

/// \brief One request that a stand-in is asked to answer. The pointer is
/// libevent's and is valid until the answer ends or its caller goes.
struct http_call
{
    evhttp_request* request = nullptr;
    std::string path;
    std::map<std::string, std::string> query;

    /// \brief The whole body.
    [[nodiscard]] std::string body() const;
    /// \brief A header's value, or nothing.
    [[nodiscard]] std::string header(char const* name) const;
    /// \brief A query parameter, or `otherwise`.
    [[nodiscard]] std::string text(std::string const& name,
                                   std::string const& otherwise = {}) const;
    /// \brief A numeric query parameter, or `otherwise`.
    [[nodiscard]] std::uint64_t number(std::string const& name,
                                       std::uint64_t otherwise) const;
};

using http_handler = std::function<void(http_call const&)>;

/// \brief An HTTP server whose handlers are found by method and path prefix;
/// the longest prefix wins.
class http_server
{
public:
    /// \brief Binds at once. \throws std::runtime_error if it cannot
    http_server(event_base* base, address const& where);

    /// \brief Answers `method` under `prefix` by `handler`.
    void on(evhttp_cmd_type method, std::string prefix, http_handler handler);

    /// \brief Address with the port that the kernel chose.
    [[nodiscard]] address bound() const;

private:
    struct rule
    {
        evhttp_cmd_type method;
        std::string prefix;
        http_handler handler;
    };

    void dispatch(evhttp_request* request);

    http_ptr server;
    address where;
    std::vector<rule> rules;
};

/// \brief Answers with a body.
void reply(evhttp_request* request, int status, std::string_view body,
           char const* content_type = "application/json");

/// \brief What an upstream says of itself in the heads of its answers.
struct upstream_words
{
    /// Its limit of calls a second, as it is; empty: none.
    std::string limit;
    bool is_leaving = false;
    /// Calls are refused as not run, with this Retry-After; empty: they run.
    std::string pause;
};

/// \brief Adds these words to the head of an answer.
void add_words(evhttp_request* request, upstream_words const& words);

/// \brief Refuses a call as not run, with this Retry-After.
void refuse_for_pause(evhttp_request* request, std::string const& retry_after);

/// \brief Cuts the caller's connection without an answer.
void cut(evhttp_request* request);

/// \brief Calls `gone` once if the caller leaves before the answer ends. The
/// request must then still be ended with `evhttp_send_reply_end`.
void watch_close(evhttp_request* request, std::function<void()>* gone);

/// \brief Stops watching; for the end of an answer.
void unwatch_close(evhttp_request* request);

} // namespace jujubestand::standins

#endif
