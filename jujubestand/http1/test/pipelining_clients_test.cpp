#include <jujubestand/http1/test/clients_fixture.hpp>
#include <utility>

// Clients that send requests before the answers to those before.
namespace jujubestand::http1
{

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
