#include <jujubestand/http1/test/clients_fixture.hpp>

// Limits of a server on what all its clients together hold.
namespace jujubestand::http1
{

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

} // namespace jujubestand::http1
