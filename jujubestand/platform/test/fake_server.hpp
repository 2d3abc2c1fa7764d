#ifndef JUJUBESTAND_PLATFORM_TEST_FAKE_SERVER_HPP
#define JUJUBESTAND_PLATFORM_TEST_FAKE_SERVER_HPP

#include <chrono>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <functional>
#include <jujubestand/core/address.hpp>
#include <memory>
#include <string>

namespace jujubestand::platform::test
{

/// \brief A loop and an HTTP server on an ephemeral port of loopback.
class fake_server
{
public:
    using handler = std::function<void(evhttp_request*)>;

    fake_server()
        : loop(event_base_new(), event_base_free)
        , http(evhttp_new(this->loop.get()), evhttp_free)
    {
        auto* bound =
            evhttp_bind_socket_with_handle(this->http.get(), "127.0.0.1", 0);
        sockaddr_in name{};
        socklen_t size = sizeof(name);
        getsockname(evhttp_bound_socket_get_fd(bound),
                    reinterpret_cast<sockaddr*>(&name), &size);
        this->where = address{"127.0.0.1", ntohs(name.sin_port)};
        evhttp_set_gencb(this->http.get(), on_request, this);
    }

    event_base* base() const
    {
        return this->loop.get();
    }

    /// \brief Runs the loop until `done` says so; false after 10 s.
    bool run_until(std::function<bool()> const& done) const
    {
        auto const limit =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done())
        {
            if (std::chrono::steady_clock::now() > limit)
                return false;
            timeval const tick{0, 2'000};
            event_base_loopexit(this->loop.get(), &tick);
            event_base_loop(this->loop.get(), EVLOOP_ONCE);
        }
        return true;
    }

    static void reply(evhttp_request* request, int status,
                      std::string const& body)
    {
        auto* buffer = evbuffer_new();
        evbuffer_add(buffer, body.data(), body.size());
        evhttp_send_reply(request, status, "", buffer);
        evbuffer_free(buffer);
    }

    static std::string body_of(evhttp_request* request)
    {
        auto* buffer = evhttp_request_get_input_buffer(request);
        std::string text(evbuffer_get_length(buffer), '\0');
        evbuffer_copyout(buffer, text.data(), text.size());
        return text;
    }

    address where;
    handler handle;

private:
    static void on_request(evhttp_request* request, void* argument)
    {
        static_cast<fake_server*>(argument)->handle(request);
    }

    std::unique_ptr<event_base, void (*)(event_base*)> loop;
    std::unique_ptr<evhttp, void (*)(evhttp*)> http;
};

} // namespace jujubestand::platform::test

#endif
