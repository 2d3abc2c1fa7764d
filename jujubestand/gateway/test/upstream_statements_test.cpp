#include <event2/event.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/state.hpp>
#include <jujubestand/gateway/upstream_responses.hpp>
#include <string>
#include <unistd.h>

// What an upstream says of itself in the heads of its answers, at one gateway
// and without a network.
namespace jujubestand::gateway
{

namespace
{

class upstream_statements : public testing::Test
{
protected:
    upstream_statements()
        : log(this->sink)
    {
        this->state.log = &this->log;
        this->state.base = this->base;
        // Keeps reviews from being scheduled on a timer.
        this->state.is_review_scheduled = true;
        this->start_engine(1);
        this->send_call();
    }

    ~upstream_statements() override
    {
        event_base_free(this->base);
        ::close(this->sink);
    }

    // A process of the engine writes its record.
    void start_engine(std::uint64_t born_ms)
    {
        traffic::upstream_record record;
        record.id = "e1";
        record.pool = "books";
        record.where = {"10.0.1.1", 80};
        record.slots = 8;
        record.born_ms = born_ms;
        dispatch::on_upstream_record(this->state.dispatch, record);
    }

    // The next process starts after all that was said until now.
    void restart_engine()
    {
        auto const now = wall_now().time_since_epoch();
        this->start_engine(static_cast<std::uint64_t>(now.count()) + 1);
    }

    void send_call()
    {
        active_call call;
        call.caller_request.request_id = "first";
        call.deadline = mono_now() + std::chrono::milliseconds{5'000};
        call.dispatch_call.key = 1;
        call.dispatch_call.pool = "books";
        call.dispatch_call.deadline = call.deadline;
        auto const sent = dispatch::submit(this->state.dispatch,
                                           call.dispatch_call, mono_now());
        call.upstream_key = sent.upstream;
        call.upstream = "e1";
        this->state.active_calls.emplace(1, std::move(call));
    }

    void answer(int status, std::vector<http::field> fields)
    {
        http1::message_head head;
        head.status = status;
        head.fields = std::move(fields);
        events_of(this->state, 1, "first").on_head(head);
    }

    [[nodiscard]] bool is_available() const
    {
        return dispatch::available_count(this->state.dispatch, "books",
                                         mono_now()) == 1;
    }

    event_base* base = event_base_new();
    int sink = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    logs::log log;
    gateway_state state;
};

} // namespace

TEST_F(upstream_statements, a_process_leaves_or_pauses_as_it_says)
{
    ASSERT_TRUE(this->is_available());
    this->answer(200, {{"X-Response-Stamp", "s"}, {"Server-Leaving", "1"}});
    EXPECT_FALSE(this->is_available());
    this->start_engine(2);
    EXPECT_TRUE(this->is_available());
}

// An engine that had just started got no call until it started again: an answer
// that the process before it had sent came after its record.
TEST_F(upstream_statements, what_the_process_before_says_is_not_of_the_next)
{
    this->start_engine(2);
    this->answer(503, {{"X-Not-Executed", "1"},
                       {"Server-Leaving", "1"},
                       {"Server-Limit", "0.5"},
                       {"Retry-After", "30"}});
    EXPECT_TRUE(this->is_available());
    EXPECT_FALSE(this->state.dispatch.upstreams.begin()->second.limit);
}

// A leaving upstream got calls again after its record had lapsed and come back
// (DRAIN).
TEST_F(upstream_statements, a_record_that_comes_back_ends_no_leaving)
{
    this->answer(200, {{"X-Response-Stamp", "s"}, {"Server-Leaving", "1"}});
    dispatch::on_upstream_removed(this->state.dispatch, "e1");
    this->start_engine(1);
    EXPECT_FALSE(this->is_available());
}

// What an upstream said while its record had lapsed was never learned (BUDGET).
TEST_F(upstream_statements, a_process_without_a_record_is_heard)
{
    dispatch::on_upstream_removed(this->state.dispatch, "e1");
    this->answer(503, {{"X-Not-Executed", "1"}, {"Retry-After", "30"}});
    this->start_engine(1);
    EXPECT_FALSE(this->is_available());
    this->restart_engine();
    EXPECT_TRUE(this->is_available());
}

TEST_F(upstream_statements, a_pause_of_no_time_is_none)
{
    this->answer(503, {{"X-Not-Executed", "1"}, {"Retry-After", "0"}});
    auto const& target = this->state.dispatch.upstreams.begin()->second;
    EXPECT_EQ(target.paused_until, mono_time{});
}

TEST_F(upstream_statements, a_shorter_pause_ends_no_longer_one)
{
    this->answer(503, {{"X-Not-Executed", "1"}, {"Retry-After", "30"}});
    auto const& target = this->state.dispatch.upstreams.begin()->second;
    auto const end = target.paused_until;
    for (char const* text : {"1.5", "0", "-1", "1e3", "", "soon"})
        this->answer(503, {{"X-Not-Executed", "1"}, {"Retry-After", text}});
    EXPECT_EQ(target.paused_until, end);
    this->answer(503, {{"Retry-After", "99999999999999999999"}});
    EXPECT_GE(target.paused_until, end + std::chrono::minutes{9});
}

} // namespace jujubestand::gateway
