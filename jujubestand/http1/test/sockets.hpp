#ifndef JUJUBESTAND_HTTP1_TEST_SOCKETS_HPP
#define JUJUBESTAND_HTTP1_TEST_SOCKETS_HPP

#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <jujubestand/http1/sockets.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <tuple>
#include <unistd.h>

/// \brief Loops and plain sockets for the tests of this folder.
namespace jujubestand::http1
{

/// \brief Ends a loop.
struct base_deleter
{
    void operator()(event_base* owned) const noexcept
    {
        event_base_free(owned);
    }
};

inline int listen_anywhere(address& where)
{
    int const made = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in local = *to_sockaddr({"127.0.0.1", 0});
    socklen_t size = sizeof local;
    EXPECT_EQ(bind(made, reinterpret_cast<sockaddr*>(&local), size), 0);
    getsockname(made, reinterpret_cast<sockaddr*>(&local), &size);
    where = {"127.0.0.1", ntohs(local.sin_port)};
    return made;
}

// A port that nobody listens on now.
inline address free_address()
{
    address where;
    close(listen_anywhere(where));
    return where;
}

using loop_base = std::unique_ptr<event_base, base_deleter>;

/// \brief A server that answers its first caller with a beginning and then with
/// one letter, up to a limit that no client may take in.
class flooding_peer
{
public:
    explicit flooding_peer(std::string beginning)
    {
        this->socket = listen_anywhere(this->where);
        listen(this->socket, 1);
        this->thread = std::thread(
            [this, beginning = std::move(beginning)]
            {
                this->flood(beginning);
            });
    }
    ~flooding_peer()
    {
        this->thread.join();
        close(this->socket);
    }
    flooding_peer(flooding_peer const&) = delete;
    flooding_peer& operator=(flooding_peer const&) = delete;

    address where;

private:
    void flood(std::string const& beginning) const
    {
        constexpr std::size_t flood_bytes = 64U << 20U;
        int const taken = accept(this->socket, nullptr, nullptr);
        char request[4096];
        std::ignore = recv(taken, request, sizeof request, 0);
        ::send(taken, beginning.data(), beginning.size(), MSG_NOSIGNAL);
        std::string const filler(64U << 10U, 'x');
        for (std::size_t sent = 0; sent < flood_bytes; sent += filler.size())
        {
            if (::send(taken, filler.data(), filler.size(), MSG_NOSIGNAL) < 0)
                break;
        }
        // Stays until the client closes, which a failing one may never do.
        timeval const limit{2, 0};
        setsockopt(taken, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        while (recv(taken, request, sizeof request, 0) > 0)
        {
        }
        close(taken);
    }

    int socket = -1;
    std::thread thread;
};

/// \brief A peer that answers the first bytes it reads with fixed ones.
class fixed_peer
{
public:
    fixed_peer(std::string answer, bool is_reset, bool stays = false)
    {
        this->socket = listen_anywhere(this->where);
        listen(this->socket, 4);
        this->thread = std::thread(
            [this, answer = std::move(answer), is_reset, stays]
            {
                int const taken = accept(this->socket, nullptr, nullptr);
                char bytes[4096];
                if (recv(taken, bytes, sizeof bytes, 0) > 0)
                    send(taken, answer.data(), answer.size(), MSG_NOSIGNAL);
                // Until the client closes or resets the connection.
                if (stays)
                    (void)recv(taken, bytes, sizeof bytes, 0);
                linger const at_once{1, 0};
                if (is_reset)
                    setsockopt(taken, SOL_SOCKET, SO_LINGER, &at_once,
                               sizeof at_once);
                close(taken);
            });
    }
    ~fixed_peer()
    {
        this->thread.join();
        close(this->socket);
    }
    fixed_peer(fixed_peer const&) = delete;
    fixed_peer& operator=(fixed_peer const&) = delete;

    address where;

private:
    int socket = -1;
    std::thread thread;
};

/// \brief A caller on a plain socket.
class raw_caller
{
public:
    explicit raw_caller(address const& where)
    {
        this->socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in const peer = *to_sockaddr(where);
        EXPECT_EQ(connect(this->socket,
                          reinterpret_cast<sockaddr const*>(&peer),
                          sizeof peer),
                  0);
    }
    ~raw_caller()
    {
        close(this->socket);
    }
    raw_caller(raw_caller const&) = delete;
    raw_caller& operator=(raw_caller const&) = delete;

    void send(std::string_view bytes) const
    {
        EXPECT_EQ(::send(this->socket, bytes.data(), bytes.size(), 0),
                  static_cast<ssize_t>(bytes.size()));
    }

    /// Runs the loop until there is something to read, or the end.
    [[nodiscard]] std::string read_with(event_base* base) const
    {
        char bytes[4096];
        ssize_t got = -1;
        while (got < 0)
        {
            event_base_loop(base, EVLOOP_NONBLOCK);
            got = recv(this->socket, bytes, sizeof bytes, MSG_DONTWAIT);
        }
        return {bytes, static_cast<std::size_t>(got)};
    }

private:
    int socket = -1;
};

} // namespace jujubestand::http1

#endif
