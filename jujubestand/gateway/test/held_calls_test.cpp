#include <array>
#include <gtest/gtest.h>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/retries.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <jujubestand/http1/test/sockets.hpp>
#include <jujubestand/logs/log.hpp>
#include <tuple>

// Calls that wait at a gateway at which nothing else happens: no other call, no
// datagram, no record. Each must end while its caller still waits.
namespace jujubestand::gateway
{

namespace
{

enum class hold_cause : std::uint8_t
{
    first_attempt,
    /// An upstream has refused the call.
    retry,
    /// A retry for which there was no budget at first.
    late_retry,
};

constexpr std::array<enum_name<hold_cause>, 3> hold_cause_names{{
    {hold_cause::first_attempt, "first_attempt"},
    {hold_cause::retry, "retry"},
    {hold_cause::late_retry, "late_retry"},
}};

std::string name_of(hold_cause cause, dispatch::queue_discipline discipline)
{
    std::string result(to_name(hold_cause_names, cause));
    if (discipline == dispatch::queue_discipline::useful_first)
        result += "_useful_first";
    return result;
}

/// A gateway without upstreams and with one call.
class held_calls : public testing::TestWithParam<
                       std::tuple<hold_cause, dispatch::queue_discipline>>
{
protected:
    void SetUp() override
    {
        this->state.base = this->base.get();
        this->state.log = &this->log;
        this->state.upstream_client =
            std::make_unique<http1::client>(this->base.get());
        this->state.caller_server = std::make_unique<http1::server>(
            this->base.get(), http1::server_events{});
        make_review_timer(this->state);
        dispatch::set_queue_discipline(this->state.dispatch,
                                       std::get<1>(this->GetParam()));
        this->state.retry_sharers.gateways = 1;
        active_call call;
        call.route.kind = traffic::call_kind::idempotent;
        call.route.attempts_limit = 2;
        call.arrived_at = mono_now();
        call.deadline = call.arrived_at + time_budget;
        call.upstream_attempts = 1;
        call.dispatch_call.key = key;
        call.dispatch_call.pool = "books";
        call.dispatch_call.arrived_at = call.arrived_at;
        call.dispatch_call.deadline = call.deadline;
        this->state.active_calls.emplace(key, call);
    }

    void hold()
    {
        switch (std::get<0>(this->GetParam()))
        {
        case hold_cause::first_attempt:
            submit_call(this->state, key);
            break;
        case hold_cause::retry:
            retry_call(this->state, key);
            break;
        case hold_cause::late_retry:
            suspend_call(this->state, key, dispatch::send_outcome::refused);
            this->state.active_calls.at(key).is_response_started = true;
            this->state.retry_budgets["books"].tokens = 1;
            review_suspended_calls(this->state);
            break;
        }
    }

    void run_until(mono_time end)
    {
        loop::timer wake(this->base.get(), [] {});
        wake.start_every(std::chrono::milliseconds{5});
        while (!this->state.active_calls.empty() && mono_now() < end)
            event_base_loop(this->base.get(), EVLOOP_ONCE);
    }

    static constexpr dispatch::call_key key = 7;
    static constexpr std::chrono::milliseconds time_budget{800};
    http1::loop_base base{event_base_new()};
    logs::log log{-1};
    gateway_state state;
};

} // namespace

// Only the first attempt had the waiting calls reviewed: a call that was held
// after a refusal got no answer where no agent was left (CONFIG, review/9).
TEST_P(held_calls, end_before_their_deadline_though_nothing_else_happens)
{
    auto const deadline = this->state.active_calls.at(key).deadline;
    this->hold();
    ASSERT_TRUE(this->state.dispatch.waiting.contains(key));
    EXPECT_TRUE(this->state.is_review_scheduled);
    this->run_until(deadline);
    EXPECT_TRUE(this->state.active_calls.empty());
    EXPECT_TRUE(this->state.dispatch.waiting.empty());
}

INSTANTIATE_TEST_SUITE_P(
    causes, held_calls,
    testing::Combine(testing::Values(hold_cause::first_attempt,
                                     hold_cause::retry, hold_cause::late_retry),
                     testing::Values(dispatch::queue_discipline::by_target,
                                     dispatch::queue_discipline::useful_first)),
    [](auto const& of)
    {
        return name_of(std::get<0>(of.param), std::get<1>(of.param));
    });

} // namespace jujubestand::gateway
