#include <gtest/gtest.h>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/retries.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <jujubestand/http1/test/sockets.hpp>
#include <jujubestand/logs/log.hpp>
#include <optional>

namespace jujubestand::gateway
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

/// Retries of calls without output that `limit_retries` leaves, of three.
constexpr int usual_retries = 2;

/// Limits the gateway to three retries in total, the last of which is kept back
/// for responses that have started.
void limit_retries(gateway_state& state)
{
    state.settings.limits.retry_ratio = 0;
    state.settings.limits.retry_reserve = 4;
    state.retry_sharers.gateways = 1;
}

active_call stream_call()
{
    active_call call;
    call.route.kind = traffic::call_kind::stream;
    call.route.is_resumable = true;
    call.route.attempts_limit = 2;
    call.dispatch_call.pool = "engines";
    call.deadline = at(5'000);
    call.upstream_attempts = 1;
    return call;
}

reason_code try_acquire_retry(gateway_state& state, active_call call,
                              dispatch::send_outcome outcome)
{
    return acquire_retry(state, call, outcome, at(0));
}

void spend_budget(gateway_state& state, active_call const& call)
{
    for (int attempt = 0; attempt < usual_retries; ++attempt)
        EXPECT_EQ(
            try_acquire_retry(state, call, dispatch::send_outcome::refused),
            reason_code::none);
    EXPECT_EQ(try_acquire_retry(state, call, dispatch::send_outcome::refused),
              reason_code::retry_budget_spent);
}

/// A gateway with one suspended call; no socket is used.
class suspended_answer : public testing::Test
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
        limit_retries(this->state);
        auto call = stream_call();
        call.is_response_started = true;
        call.dispatch_call.key = key;
        call.deadline = mono_now() + std::chrono::seconds{60};
        call.dispatch_call.deadline = call.deadline;
        this->state.active_calls.emplace(key, call);
        this->state.retry_budgets["engines"].tokens = 0;
        suspend_call(this->state, key, dispatch::send_outcome::refused);
    }

    static constexpr dispatch::call_key key = 7;
    http1::loop_base base{event_base_new()};
    logs::log log{-1};
    gateway_state state;
};

} // namespace

TEST_F(suspended_answer, waits_while_the_budget_is_exhausted)
{
    review_suspended_calls(this->state);
    EXPECT_TRUE(this->state.active_calls.contains(key));
    EXPECT_TRUE(this->state.suspended_calls.contains(key));
    EXPECT_TRUE(this->state.dispatch.waiting.empty());
}

TEST_F(suspended_answer, resumes_as_soon_as_the_budget_allows)
{
    this->state.retry_budgets["engines"].tokens = 1;
    review_suspended_calls(this->state);
    EXPECT_TRUE(this->state.active_calls.contains(key));
    EXPECT_TRUE(this->state.suspended_calls.empty());
    EXPECT_TRUE(this->state.dispatch.waiting.contains(key));
}

TEST_F(suspended_answer, fails_at_its_deadline)
{
    this->state.active_calls.at(key).deadline = mono_now();
    review_suspended_calls(this->state);
    EXPECT_FALSE(this->state.active_calls.contains(key));
    EXPECT_TRUE(this->state.suspended_calls.empty());
}

TEST_F(suspended_answer, is_removed_when_its_caller_disconnects)
{
    end_call(this->state, key);
    review_suspended_calls(this->state);
    EXPECT_TRUE(this->state.suspended_calls.empty());
    EXPECT_TRUE(this->state.dispatch.waiting.empty());
}

// The server does not have the caller's connection, as after a disconnect.
TEST_F(suspended_answer, is_not_retried_after_its_caller_has_disconnected)
{
    this->state.call_by_exchange[this->state.active_calls.at(key).exchange] =
        key;
    dispatch::decision dispatch_decision;
    dispatch_decision.call = key;
    dispatch_decision.next_action = dispatch::action::send;
    apply_decision(this->state, dispatch_decision);
    EXPECT_FALSE(this->state.active_calls.contains(key));
    EXPECT_TRUE(this->state.call_by_exchange.empty());
}

// Guards against rejecting callers because failed connects used up the retry
// budget, which only limits attempts that reach an upstream.
TEST(repeats, an_attempt_that_never_connected_costs_no_budget)
{
    gateway_state state;
    limit_retries(state);
    auto call = stream_call();
    spend_budget(state, call);
    EXPECT_EQ(
        try_acquire_retry(state, call, dispatch::send_outcome::unreachable),
        reason_code::none);
    constexpr std::uint32_t many = 6;
    call.upstream_attempts = many;
    EXPECT_EQ(
        try_acquire_retry(state, call, dispatch::send_outcome::unreachable),
        reason_code::attempts_spent);
}

TEST(repeats, a_started_response_has_the_budget_that_is_kept_back)
{
    gateway_state state;
    limit_retries(state);
    auto call = stream_call();
    spend_budget(state, call);
    call.is_response_started = true;
    EXPECT_EQ(try_acquire_retry(state, call, dispatch::send_outcome::cut),
              reason_code::none);
    EXPECT_EQ(try_acquire_retry(state, call, dispatch::send_outcome::cut),
              reason_code::retry_budget_spent);
}

TEST(repeats, a_call_that_may_have_run_is_not_retried)
{
    gateway_state state;
    state.retry_sharers.gateways = 1;
    auto call = stream_call();
    call.route.kind = traffic::call_kind::non_idempotent;
    EXPECT_EQ(try_acquire_retry(state, call, dispatch::send_outcome::cut),
              reason_code::upstream_read_cut);
    EXPECT_EQ(try_acquire_retry(state, call, dispatch::send_outcome::refused),
              reason_code::none);
}

TEST(repeats, the_attempt_limit_counts_upstreams_that_may_have_run)
{
    gateway_state state;
    state.retry_sharers.gateways = 1;
    auto call = stream_call();
    count_possible_run(call, dispatch::send_outcome::cut);
    EXPECT_EQ(try_acquire_retry(state, call, dispatch::send_outcome::cut),
              reason_code::none);
    count_possible_run(call, dispatch::send_outcome::cut);
    EXPECT_EQ(try_acquire_retry(state, call, dispatch::send_outcome::cut),
              reason_code::attempts_spent);
}

// Each restart of a gateway brought it a whole reserve again, so that restarts
// in series piled up repeats beyond the limit of all gateways (BUDGET).
TEST(retry_budget, restarts_in_one_window_do_not_multiply_the_reserve)
{
    constexpr std::uint32_t gateways = 4;
    constexpr double reserve = 54;
    constexpr int window_ms = 10'000;
    constexpr int step_ms = 50;
    for (int const life_ms : {500, 1'500, 4'000, 9'000})
    {
        int retried = 0;
        for (std::uint32_t gateway = 0; gateway < gateways; ++gateway)
        {
            std::optional<gateway_state> state;
            int started_ms = 0;
            // The first life began long before the window.
            for (int now_ms = 0; now_ms < window_ms; now_ms += step_ms)
            {
                if (!state || now_ms - started_ms >= life_ms)
                {
                    bool const is_first = !state;
                    state.emplace();
                    state->settings.limits.retry_ratio = 0;
                    state->settings.limits.retry_reserve = reserve;
                    state->retry_sharers.gateways = gateways;
                    state->started_at = at(is_first ? -window_ms : now_ms);
                    started_ms = now_ms;
                }
                auto call = stream_call();
                call.deadline = at(2 * window_ms);
                while (acquire_retry(*state, call, dispatch::send_outcome::cut,
                                     at(now_ms)) == reason_code::none)
                    ++retried;
            }
        }
        EXPECT_LE(retried, reserve) << life_ms;
    }
}

// Shares had a floor of two retries and one for begun answers, so that many
// gateways together could repeat beyond the limit (BUDGET).
TEST(retry_budget, the_shares_of_many_gateways_are_within_the_reserve)
{
    constexpr double reserve = 54;
    for (std::uint32_t const gateways : {1U, 4U, 6U, 18U, 40U, 103U, 390U})
    {
        gateway_state state;
        state.settings.limits.retry_reserve = reserve;
        state.retry_sharers.gateways = gateways;
        double sum = 0;
        for (std::uint32_t number = 0; number < gateways; ++number)
        {
            state.retry_sharers.position = number;
            sum += retry_options_of(state, "engines", at(0)).budget_limit;
        }
        EXPECT_LE(sum, reserve) << gateways;
        EXPECT_GT(sum, 0) << gateways;
    }
}

// A gateway with a large share made no retry: its budget began with less than
// what is kept back for begun answers.
TEST(retry_budget, begins_with_the_whole_share_however_large)
{
    gateway_state state;
    state.settings.limits.retry_ratio = 0;
    state.settings.limits.retry_reserve = 1'000;
    state.retry_sharers.gateways = 1;
    auto call = stream_call();
    int retries = 0;
    while (try_acquire_retry(state, call, dispatch::send_outcome::cut) ==
           reason_code::none)
        ++retries;
    EXPECT_GT(retries, 600);
    EXPECT_LE(retries, 850);
    call.is_response_started = true;
    EXPECT_EQ(try_acquire_retry(state, call, dispatch::send_outcome::cut),
              reason_code::none);
}

// Gateways that were restarted in series hardly retried: what was kept back for
// begun answers came out of what their own calls had earned.
TEST(retry_budget, a_young_gateway_uses_what_its_calls_earn)
{
    gateway_state state;
    state.settings.limits.retry_ratio = 0.2;
    state.retry_sharers.gateways = 3;
    state.started_at = at(0);
    constexpr int enough_for_one = 6;
    for (int number = 0; number < enough_for_one; ++number)
        record_call(state, "engines", at(100));
    auto const call = stream_call();
    EXPECT_EQ(try_acquire_retry(state, call, dispatch::send_outcome::cut),
              reason_code::none);
    EXPECT_EQ(try_acquire_retry(state, call, dispatch::send_outcome::cut),
              reason_code::retry_budget_spent);
}

// A gateway that knew no list of gateways, or the short one of an agent that
// has just started, took the whole reserve for its own (BUDGET).
TEST(retry_budget, a_list_that_lacks_gateways_makes_no_share_larger)
{
    gateway_state state;
    constexpr double reserve = 54;
    state.settings.ip = "10.0.0.1";
    state.settings.limits.retry_ratio = 0;
    state.settings.limits.retry_reserve = reserve;
    auto call = stream_call();
    call.deadline = at(60'000);
    auto const retries_until_spent = [&](int now_ms)
    {
        int retries = 0;
        while (acquire_retry(state, call, dispatch::send_outcome::cut,
                             at(now_ms)) == reason_code::none)
            ++retries;
        return retries;
    };
    EXPECT_EQ(retries_until_spent(0), 0);
    set_gateways(state, {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"},
                 at(1'000));
    set_gateways(state, {"10.0.0.1"}, at(2'000));
    EXPECT_LE(retries_until_spent(2'000), reserve / 4);
    set_gateways(state, {"10.0.0.2"}, at(3'000));
    EXPECT_EQ(state.retry_sharers.gateways, 4U);
    // The others are gone for a whole window.
    set_gateways(state, {"10.0.0.1"}, at(14'000));
    review_retry_sharers(state, at(15'000));
    EXPECT_EQ(state.retry_sharers.gateways, 1U + 1U);
    review_retry_sharers(state, at(30'000));
    EXPECT_EQ(state.retry_sharers.gateways, 1U);
}

namespace
{

/// A gateway whose pool `engines` has one plain upstream; no socket is used.
class waiting_retries : public suspended_answer
{
protected:
    void SetUp() override
    {
        suspended_answer::SetUp();
        this->state.suspended_calls.clear();
        this->state.active_calls.clear();
        this->state.is_review_scheduled = true;
        traffic::upstream_record record;
        record.id = "u1";
        record.pool = "engines";
        record.where = {"127.0.0.1", 1};
        dispatch::on_upstream_record(this->state.dispatch, record);
    }

    dispatch::upstream& only_upstream()
    {
        return this->state.dispatch.upstreams.begin()->second;
    }

    /// \brief A call whose attempt was cut, and that waits for the upstream if
    /// it is granted a retry. \returns whether it is
    bool add_cut(dispatch::call_key call_key)
    {
        auto call = stream_call();
        call.route.attempts_limit = 9;
        call.dispatch_call.key = call_key;
        call.deadline = mono_now() + std::chrono::seconds{60};
        call.dispatch_call.deadline = call.deadline;
        auto& added =
            this->state.active_calls.emplace(call_key, call).first->second;
        if (acquire_retry(this->state, added, dispatch::send_outcome::cut,
                          mono_now()) != reason_code::none)
            return false;
        retry_call(this->state, call_key);
        return true;
    }
};

} // namespace

// Retries that had been granted over several windows and waited for an upstream
// arrived within one (BUDGET).
TEST_F(waiting_retries, take_up_budget_until_they_are_sent)
{
    constexpr double earned_each_time = 2;
    this->only_upstream().avoid_until = mono_now() + std::chrono::hours{1};
    std::size_t granted = 0;
    for (dispatch::call_key number = 1; number <= 6; ++number)
    {
        // What calls have earned meanwhile.
        this->state.retry_budgets["engines"].tokens += earned_each_time;
        granted += this->add_cut(number) ? 1 : 0;
    }
    double const limit = retry_budget_limit(this->state, "engines", mono_now());
    EXPECT_GT(granted, 0U);
    EXPECT_LE(static_cast<double>(granted), limit);
    EXPECT_EQ(this->state.dispatch.waiting.size(), granted);
    this->only_upstream().avoid_until = {};
    review_waiting(this->state);
    EXPECT_EQ(this->state.dispatch.sends.size(), granted);
    this->state.retry_budgets["engines"].tokens += earned_each_time;
    EXPECT_TRUE(this->add_cut(7));
}

// Calls waited for engines until their deadline, though their callers had left
// long before for want of output (GONE).
TEST(output_deadline, a_stream_needs_output_before_its_caller_leaves)
{
    auto call = stream_call();
    call.arrived_at = at(1'000);
    EXPECT_EQ(output_deadline(call), at(5'000));
    call.route.output_patience = std::chrono::milliseconds{2'000};
    EXPECT_EQ(output_deadline(call), at(3'000));
    call.is_response_started = true;
    EXPECT_EQ(output_deadline(call), at(5'000));
}

} // namespace jujubestand::gateway
