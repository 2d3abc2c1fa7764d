#include <jujubestand/http1/server.hpp>
#include <jujubestand/http1/test/sockets.hpp>
#include <optional>

namespace jujubestand::http1
{

namespace
{

constexpr char const* request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// A server that answers each request at once, or keeps it open.
class stop : public testing::Test
{
protected:
    void SetUp() override
    {
        reason why;
        ASSERT_TRUE(this->under_test.listen(this->where, why)) << to_text(why);
    }

    server_events keeping_the_request()
    {
        server_events events;
        events.on_request = [this](exchange_id id, server_request const&)
        {
            this->asked = id;
            if (this->answers)
                this->under_test.respond(id, 200, {}, "ok");
        };
        events.on_gone = [](exchange_id) {};
        return events;
    }

    loop_base base{event_base_new()};
    address where = free_address();
    bool answers = true;
    std::optional<exchange_id> asked;
    server under_test{base.get(), keeping_the_request()};
};

bool is_last_answer(std::string const& answer)
{
    return answer.find("200 OK") != std::string::npos &&
           answer.find("Connection: close") != std::string::npos;
}

} // namespace

// A process that runs late learns of its stop before it has read what callers
// sent: the kernel already holds their requests.
TEST_F(stop, a_request_that_came_before_is_answered)
{
    raw_caller const kept(this->where);
    raw_caller const fresh(this->where);
    kept.send(request);
    auto const first = kept.read_with(this->base.get());
    ASSERT_NE(first.find("200 OK"), std::string::npos) << first;

    kept.send(request);
    fresh.send(request);
    EXPECT_EQ(this->under_test.busy(), 2U);
    this->under_test.drain();
    for (raw_caller const* caller : {&kept, &fresh})
    {
        auto const answer = caller->read_with(this->base.get());
        EXPECT_TRUE(is_last_answer(answer)) << answer;
    }
    EXPECT_EQ(this->under_test.busy(), 0U);
}

// A caller that has just connected sends its request a moment later.
TEST_F(stop, a_new_connection_may_still_send_its_request)
{
    raw_caller const caller(this->where);
    while (this->under_test.connections() == 0)
        event_base_loop(this->base.get(), EVLOOP_ONCE);
    this->under_test.drain();
    event_base_loop(this->base.get(), EVLOOP_NONBLOCK);
    caller.send(request);
    auto const answer = caller.read_with(this->base.get());
    EXPECT_TRUE(is_last_answer(answer)) << answer;
}

TEST_F(stop, a_connection_that_idles_after_an_answer_is_closed)
{
    raw_caller const caller(this->where);
    caller.send(request);
    auto const answer = caller.read_with(this->base.get());
    ASSERT_NE(answer.find("200 OK"), std::string::npos) << answer;
    this->under_test.drain();
    EXPECT_EQ(caller.read_with(this->base.get()), "");
}

// A process that runs late sent calls on whose callers had left: the kernel
// knew, the loop had not told yet.
TEST_F(stop, a_caller_that_left_is_seen_before_the_loop_tells)
{
    this->answers = false;
    auto caller = std::make_unique<raw_caller>(this->where);
    caller->send(request);
    while (!this->asked)
        event_base_loop(this->base.get(), EVLOOP_ONCE);
    EXPECT_FALSE(this->under_test.has_left(*this->asked));
    caller.reset();
    EXPECT_TRUE(this->under_test.has_left(*this->asked));
}

} // namespace jujubestand::http1
