#include <gtest/gtest.h>
#include <jujubestand/gateway/repeats.hpp>

namespace jujubestand::gateway
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

constexpr double no_reserve = 2;

/// A gateway that may repeat `no_reserve` sends in all.
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

} // namespace

// Callers were refused for want of a budget that only sends which arrive at an
// upstream have to spare.
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
