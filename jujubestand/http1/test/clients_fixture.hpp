#ifndef JUJUBESTAND_HTTP1_TEST_CLIENTS_FIXTURE_HPP
#define JUJUBESTAND_HTTP1_TEST_CLIENTS_FIXTURE_HPP

#include <array>
#include <cerrno>
#include <gtest/gtest.h>
#include <jujubestand/core/time.hpp>
#include <jujubestand/http1/server.hpp>
#include <jujubestand/http1/test/sockets.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \brief A server and clients that hold its room.
namespace jujubestand::http1
{

using std::chrono::milliseconds;

inline constexpr char const* whole = "GET /whole HTTP/1.1\r\nHost: a\r\n\r\n";

/// A client on a socket that never blocks.
class raw_client
{
public:
    explicit raw_client(address const& where)
        : socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto const peer = *to_sockaddr(where);
        EXPECT_EQ(::connect(this->socket,
                            reinterpret_cast<sockaddr const*>(&peer),
                            sizeof peer),
                  0);
    }
    ~raw_client()
    {
        ::close(this->socket);
    }
    raw_client(raw_client const&) = delete;
    raw_client& operator=(raw_client const&) = delete;

    void send(std::string_view bytes) const
    {
        ::send(this->socket, bytes.data(), bytes.size(),
               MSG_NOSIGNAL | MSG_DONTWAIT);
    }

    void read()
    {
        std::array<char, 65'536> bytes{};
        auto const got =
            ::recv(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (got > 0)
            this->received.append(bytes.data(), static_cast<std::size_t>(got));
        else if (got == 0 || errno != EAGAIN)
            this->is_closed = true;
    }

    std::string received;
    bool is_closed = false;

private:
    int socket;
};

using client_ptr = std::unique_ptr<raw_client>;

/// A server that answers requests at once, but keeps those to `/kept` open.
class clients : public testing::Test
{
protected:
    void SetUp() override
    {
        reason why;
        ASSERT_TRUE(this->under_test.listen(this->where, why)) << to_text(why);
    }

    server_events events()
    {
        server_events result;
        result.on_request =
            [this](exchange_id id, server_request const& request)
        {
            this->asked.push_back(request.head.target);
            if (request.head.target == "/kept")
                this->open.push_back(id);
            else
                this->under_test.respond(id, 200, {}, this->answer);
        };
        result.on_gone = [](exchange_id) {};
        result.on_no_room = [this](exchange_id id, message_head const&)
        {
            this->under_test.respond(id, 503, {}, "");
        };
        result.on_limited = [this](limited_clients const& seen)
        {
            this->limited.push_back(seen);
        };
        return result;
    }

    client_ptr connect(std::string_view bytes = "")
    {
        auto const before = this->under_test.connections();
        auto result = std::make_unique<raw_client>(this->where);
        result->send(bytes);
        this->run_until(
            [&]
            {
                return this->under_test.connections() != before;
            },
            milliseconds{50});
        return result;
    }

    template <class Condition>
    bool run_until(Condition is_met, milliseconds within)
    {
        auto const end = mono_now() + within;
        while (!is_met() && mono_now() < end)
            event_base_loop(this->base.get(), EVLOOP_NONBLOCK);
        return is_met();
    }

    /// \brief Runs the loop until a client has received this text.
    bool is_told(client_ptr const& client, std::string const& text)
    {
        return this->run_until(
            [&]
            {
                client->read();
                return client->received.find(text) != std::string::npos;
            },
            milliseconds{5'000});
    }

    bool is_closed(client_ptr const& client)
    {
        return this->run_until(
            [&]
            {
                client->read();
                return client->is_closed;
            },
            milliseconds{5'000});
    }

    void run(milliseconds span)
    {
        this->run_until(
            []
            {
                return false;
            },
            span);
    }

    loop_base base{event_base_new()};
    address where = free_address();
    std::string answer = "ok";
    std::vector<std::string> asked;
    std::vector<exchange_id> open;
    std::vector<limited_clients> limited;
    server under_test{base.get(), events()};
};

} // namespace jujubestand::http1

#endif
