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

// Limits of a server on what all its clients together hold.
namespace jujubestand::http1
{

namespace
{

using std::chrono::milliseconds;

constexpr char const* whole = "GET /whole HTTP/1.1\r\nHost: a\r\n\r\n";

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

} // namespace

// A client that sent a byte now and then held its connection for ever.
TEST_F(clients, the_time_of_a_head_does_not_start_again_with_each_byte)
{
    server_limits limits;
    limits.head_timeout = milliseconds{200};
    this->under_test.set_limits(limits);
    auto const slow = this->connect("G");
    bool const is_ended = this->run_until(
        [&]
        {
            slow->send("E");
            slow->read();
            return slow->is_closed;
        },
        milliseconds{5'000});
    EXPECT_TRUE(is_ended);
    EXPECT_TRUE(this->asked.empty());
}

TEST_F(clients, a_body_has_a_time_as_a_whole)
{
    server_limits limits;
    limits.head_timeout = milliseconds{60'000};
    limits.body_timeout = milliseconds{300};
    limits.message.body_bytes = 9'000'000;
    this->under_test.set_limits(limits);
    auto const slow =
        this->connect("POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n");
    bool const is_ended = this->run_until(
        [&]
        {
            slow->send("x");
            slow->read();
            return slow->is_closed;
        },
        milliseconds{5'000});
    EXPECT_TRUE(is_ended);
}

// A body over the limit was read up to the limit before it was refused.
TEST_F(clients, a_request_that_is_too_long_is_refused_by_its_length)
{
    auto const large =
        this->connect("POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
                      "Content-Length: 900000000\r\n\r\n");
    EXPECT_TRUE(this->is_told(large, "HTTP/1.1 413"));
    EXPECT_FALSE(large->received.starts_with("HTTP/1.1 100"));
    EXPECT_TRUE(this->asked.empty());
}

// Clients that send requests ahead are neither idle nor slow, and held all
// connections: every other caller was refused.
TEST_F(clients, one_that_sends_requests_ahead_makes_room_after_its_answer)
{
    constexpr char const* kept = "GET /kept HTTP/1.1\r\nHost: a\r\n\r\n";
    this->under_test.set_connection_limit(2);
    auto const first = this->connect(std::string(kept) + kept);
    auto const second = this->connect(std::string(kept) + kept);
    EXPECT_TRUE(this->is_told(this->connect(whole), "HTTP/1.1 503"));
    ASSERT_EQ(this->open.size(), 2U);
    for (auto const id : std::exchange(this->open, {}))
        this->under_test.respond(id, 200, {}, "");
    EXPECT_TRUE(this->run_until(
        [&]
        {
            first->read();
            second->read();
            return first->is_closed || second->is_closed;
        },
        milliseconds{5'000}));
    EXPECT_FALSE(first->is_closed && second->is_closed);
    EXPECT_TRUE(this->is_told(this->connect(whole), "HTTP/1.1 200"));
}

// A body whose head came in one piece had only the time of a head.
TEST_F(clients, a_body_may_take_longer_than_a_head)
{
    constexpr int body_bytes = 9;
    server_limits limits;
    limits.head_timeout = milliseconds{200};
    limits.body_timeout = milliseconds{60'000};
    this->under_test.set_limits(limits);
    auto const steady =
        this->connect("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n");
    for (int sent = 0; sent < body_bytes; ++sent)
    {
        this->run(milliseconds{50});
        steady->send("x");
    }
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return !this->asked.empty();
        },
        milliseconds{5'000}));
}

// Connections were accepted without a limit, until no descriptor was left.
TEST_F(clients, an_idle_connection_makes_room_for_a_new_one)
{
    this->under_test.set_connection_limit(3);
    auto const kept = this->connect("GET /kept HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return !this->open.empty();
        },
        milliseconds{5'000}));
    auto const first = this->connect(whole);
    ASSERT_TRUE(this->is_told(first, "ok"));
    auto const second = this->connect(whole);
    ASSERT_TRUE(this->is_told(second, "ok"));
    // While there is room, all stay.
    this->run(milliseconds{50});
    EXPECT_EQ(this->under_test.connections(), 3U);
    EXPECT_TRUE(this->limited.empty());
    auto const third = this->connect(whole);
    EXPECT_TRUE(this->is_told(third, "ok"));
    EXPECT_TRUE(this->is_closed(first)) << "idle for longest";
    second->read();
    EXPECT_FALSE(second->is_closed);
    EXPECT_EQ(this->under_test.connections(), 3U);
    this->under_test.respond(this->open[0], 200, {}, "late");
    EXPECT_TRUE(this->is_told(kept, "late"));
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return !this->limited.empty();
        },
        milliseconds{5'000}));
    EXPECT_EQ(this->limited[0].closed_idle, 1U);
}

// Calls that wait for silent upstreams took all connections.
TEST_F(clients, calls_that_wait_leave_connections_for_refusals)
{
    constexpr std::size_t limit = 8;
    this->under_test.set_connection_limit(limit);
    std::vector<client_ptr> callers;
    for (std::size_t number = 0; number < limit; ++number)
        callers.push_back(
            this->connect("GET /kept HTTP/1.1\r\nHost: a\r\n\r\n"));
    EXPECT_TRUE(this->is_told(callers.back(), "503"));
    EXPECT_EQ(this->open.size(), limit - 1);
    this->under_test.respond(this->open[0], 200, {}, "late");
    EXPECT_TRUE(this->is_told(callers[0], "late"));
    callers.push_back(this->connect("GET /kept HTTP/1.1\r\nHost: a\r\n\r\n"));
    EXPECT_TRUE(this->run_until(
        [&]
        {
            return this->open.size() == limit;
        },
        milliseconds{5'000}))
        << "room is free again";
}

// A connection that found no room was closed without a word, so that its caller
// did not know whether its call had run.
TEST_F(clients, a_connection_without_room_is_refused_with_a_reason)
{
    this->under_test.set_connection_limit(2);
    // Whoever sends a request is not closed.
    std::string const begun = "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n";
    auto const first = this->connect(begun);
    auto const second = this->connect(begun);
    this->run(milliseconds{20});
    auto const third = this->connect(whole);
    EXPECT_TRUE(this->is_told(third, "503"));
    EXPECT_NE(third->received.find("Retry-After"), std::string::npos);
    EXPECT_TRUE(this->asked.empty());
    first->send("123456789");
    EXPECT_TRUE(this->is_told(first, "200"));
}

// A field of four bytes takes 64 bytes and more, which nobody counted.
TEST_F(clients, heads_of_short_fields_are_counted)
{
    constexpr std::size_t fields = 3'000;
    constexpr std::size_t room = 900'000;
    this->under_test.set_request_limit(room);
    std::string head = "POST /kept HTTP/1.1\r\n";
    for (std::size_t number = 0; number < fields; ++number)
        head += "a:\r\n";
    std::vector<client_ptr> callers;
    callers.reserve(4);
    for (int number = 0; number < 4; ++number)
        callers.push_back(this->connect(head + "Content-Length: 0\r\n\r\n"));
    EXPECT_TRUE(this->is_told(callers.back(), "503"));
    EXPECT_LT(this->open.size(), callers.size());
    EXPECT_FALSE(this->open.empty());
}

// 64 KB of later requests waited on each connection and were not counted.
TEST_F(clients, requests_read_ahead_are_dropped_where_there_is_no_room)
{
    constexpr std::size_t room = 30'000;
    constexpr std::size_t ahead_bytes = 12'000;
    this->under_test.set_request_limit(room);
    std::vector<client_ptr> callers;
    for (int number = 0; number < 4; ++number)
    {
        std::string ahead = "GET /kept HTTP/1.1\r\nHost: a\r\n\r\n";
        while (ahead.size() < ahead_bytes)
            ahead += whole;
        callers.push_back(this->connect(ahead));
    }
    this->run(milliseconds{100});
    ASSERT_FALSE(this->limited.empty());
    EXPECT_GT(this->limited[0].cut_ahead, 0U);
    EXPECT_LE(this->limited[0].held_bytes, room);
    EXPECT_EQ(this->open.size(), callers.size());
    for (auto const id : this->open)
        this->under_test.respond(id, 200, {}, "answer");
    for (auto const& caller : callers)
        EXPECT_TRUE(this->is_told(caller, "answer"));
}

// Requests that came together are all answered, also where the client reads
// the first answers late.
TEST_F(clients, pipelined_requests_wait_for_a_client_that_reads_late)
{
    constexpr std::size_t requests = 40;
    constexpr std::size_t answer_bytes = 1'000'000;
    this->answer = std::string(answer_bytes, 'x') + "end";
    std::string bytes;
    for (std::size_t number = 0; number < requests; ++number)
        bytes += whole;
    auto const late = this->connect(bytes);
    this->run(milliseconds{100});
    EXPECT_LT(this->asked.size(), requests);
    std::size_t const expected = requests * answer_bytes;
    EXPECT_TRUE(this->run_until(
        [&]
        {
            late->read();
            return late->received.size() > expected;
        },
        milliseconds{20'000}));
    EXPECT_EQ(this->asked.size(), requests);
    EXPECT_FALSE(late->is_closed);
}

} // namespace jujubestand::http1
