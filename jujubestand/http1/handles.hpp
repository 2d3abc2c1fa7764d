#ifndef JUJUBESTAND_HTTP1_HANDLES_HPP
#define JUJUBESTAND_HTTP1_HANDLES_HPP

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <memory>

/// \brief Owners of libevent's objects.
namespace jujubestand::http1
{

/// \brief Ends libevent's objects.
struct handle_deleter
{
    void operator()(bufferevent* owned) const noexcept
    {
        bufferevent_free(owned);
    }

    void operator()(event* owned) const noexcept
    {
        event_free(owned);
    }

    void operator()(evconnlistener* owned) const noexcept
    {
        evconnlistener_free(owned);
    }
};

using stream_ptr = std::unique_ptr<bufferevent, handle_deleter>;
using event_ptr = std::unique_ptr<event, handle_deleter>;
using listener_ptr = std::unique_ptr<evconnlistener, handle_deleter>;

} // namespace jujubestand::http1

#endif
