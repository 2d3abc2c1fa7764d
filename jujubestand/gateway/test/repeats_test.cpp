#include <gtest/gtest.h>
#include <jujubestand/gateway/repeats.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <jujubestand/http1/test/sockets.hpp>
#include <jujubestand/logs/log.hpp>

namespace jujubestand::gateway
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

constexpr double no_reserve = 2;

/// Limits the gateway to `no_reserve` retries in total.
void limit_repeats(gateway_state& self)
{
    self.settings.limits.retry_ratio = 0;
    self.settings.limits.retry_reserve = 0;
    self.dispatch.gateways = 1;
}

live_call stream_call()
{
    live_call call;
    call.route.kind = traffic::call_kind::stream;
    call.route.is_resumable = true;
    call.route.attempts_limit = 2;
    call.terms.pool = "engines";
    call.deadline = at(5'000);
    call.sends = 1;
    return call;
}

reason_code ask(gateway_state& self, live_call const& call,
                dispatch::send_outcome outcome)
{
    return why_not_again(self, call, outcome, at(0));
}

void spend_budget(gateway_state& self, live_call const& call)
{
    for (int sent = 0; sent < static_cast<int>(no_reserve); ++sent)
        EXPECT_EQ(ask(self, call, dispatch::send_outcome::refused),
                  reason_code::none);
    EXPECT_EQ(ask(self, call, dispatch::send_outcome::refused),
              reason_code::retry_budget_spent);
}

/// A gateway with one suspended call; no socket is used.
class suspended_answer : public testing::Test
{
protected:
    void SetUp() override
    {
        this->self.base = this->base.get();
        this->self.log = &this->log;
        this->self.upstreams =
            std::make_unique<http1::client>(this->base.get());
        this->self.callers = std::make_unique<http1::server>(
            this->base.get(), http1::server_events{});
        limit_repeats(this->self);
        auto call = stream_call();
        call.is_begun = true;
        call.terms.key = key;
        call.deadline = mono_now() + std::chrono::seconds{60};
        call.terms.deadline = call.deadline;
        this->self.live.emplace(key, call);
        this->self.budgets["engines"].saved = 0;
        this->self.rescues["engines"].saved = 0;
        suspend(this->self, key, dispatch::send_outcome::refused);
    }

    static constexpr dispatch::call_key key = 7;
    http1::loop_base base{event_base_new()};
    logs::log log{-1};
    gateway_state self;
};

} // namespace

TEST_F(suspended_answer, waits_while_the_budget_is_spent)
{
    review_suspended(this->self);
    EXPECT_TRUE(this->self.live.contains(key));
    EXPECT_TRUE(this->self.suspended.contains(key));
    EXPECT_TRUE(this->self.dispatch.waiting.empty());
}

TEST_F(suspended_answer, goes_on_as_soon_as_the_budget_allows)
{
    this->self.budgets["engines"].saved = 1;
    review_suspended(this->self);
    EXPECT_TRUE(this->self.live.contains(key));
    EXPECT_TRUE(this->self.suspended.empty());
    EXPECT_TRUE(this->self.dispatch.waiting.contains(key));
}

TEST_F(suspended_answer, ends_when_its_time_is_over)
{
    this->self.live.at(key).deadline = mono_now();
    review_suspended(this->self);
    EXPECT_FALSE(this->self.live.contains(key));
    EXPECT_TRUE(this->self.suspended.empty());
}

TEST_F(suspended_answer, is_forgotten_when_its_caller_leaves)
{
    end_call(this->self, key);
    review_suspended(this->self);
    EXPECT_TRUE(this->self.suspended.empty());
    EXPECT_TRUE(this->self.dispatch.waiting.empty());
}

// The server does not have the caller's connection, as after a disconnect.
TEST_F(suspended_answer, is_not_sent_on_once_its_caller_has_left)
{
    this->self.by_exchange[this->self.live.at(key).exchange] = key;
    dispatch::decision made;
    made.call = key;
    made.what = dispatch::action::send;
    apply(this->self, made);
    EXPECT_FALSE(this->self.live.contains(key));
    EXPECT_TRUE(this->self.by_exchange.empty());
}

// Guards against rejecting callers because failed connects used up the retry
// budget, which only limits attempts that reach an upstream.
TEST(repeats, a_send_that_never_connected_costs_no_budget)
{
    gateway_state self;
    limit_repeats(self);
    auto call = stream_call();
    spend_budget(self, call);
    EXPECT_EQ(ask(self, call, dispatch::send_outcome::unreachable),
              reason_code::none);
    constexpr std::uint32_t many = 6;
    call.sends = many;
    EXPECT_EQ(ask(self, call, dispatch::send_outcome::unreachable),
              reason_code::attempts_spent);
}

TEST(repeats, an_answer_that_has_begun_has_a_budget_of_its_own)
{
    gateway_state self;
    limit_repeats(self);
    auto call = stream_call();
    spend_budget(self, call);
    call.is_begun = true;
    EXPECT_EQ(ask(self, call, dispatch::send_outcome::cut), reason_code::none);
    EXPECT_EQ(ask(self, call, dispatch::send_outcome::cut),
              reason_code::retry_budget_spent);
}

TEST(repeats, a_call_that_may_have_run_is_not_repeated)
{
    gateway_state self;
    auto call = stream_call();
    call.route.kind = traffic::call_kind::non_idempotent;
    EXPECT_EQ(ask(self, call, dispatch::send_outcome::cut),
              reason_code::upstream_read_cut);
    EXPECT_EQ(ask(self, call, dispatch::send_outcome::refused),
              reason_code::none);
}

TEST(repeats, the_limit_of_the_route_counts_upstreams_that_may_have_run)
{
    gateway_state self;
    auto call = stream_call();
    count_run(call);
    EXPECT_EQ(ask(self, call, dispatch::send_outcome::cut), reason_code::none);
    count_run(call);
    EXPECT_EQ(ask(self, call, dispatch::send_outcome::cut),
              reason_code::attempts_spent);
}

} // namespace jujubestand::gateway
