#include <jujubestand/admission/start_limit.hpp>

namespace jujubestand::admission
{

bool has_start_token(queue_state& state, mono_time now)
{
    if (!limits::applies(state.limit, now))
        return true;
    limits::fill(state.start_tokens, limits::rate_of(*state.limit, now), now);
    return state.start_tokens.tokens >= 1;
}

void count_start(queue_state& state, mono_time now)
{
    limits::add_call(state.recent_starts, now);
    if (limits::applies(state.limit, now))
        state.start_tokens.tokens -= 1;
}

microseconds wait_for_limit(queue_state const& state, std::size_t ahead,
                            mono_time now)
{
    if (!limits::applies(state.limit, now))
        return microseconds{0};
    double const rate = limits::rate_of(*state.limit, now);
    auto bucket = state.start_tokens;
    limits::fill(bucket, rate, now);
    bucket.tokens -= static_cast<double>(ahead);
    return limits::time_to_token(bucket, rate);
}

// This process alone sends requests to its engine, so it keeps the limit alone.
limits::limit_change apply_limit(queue_state& state,
                                 limits::statement const& stated, mono_time now)
{
    bool const was_limited = limits::applies(state.limit, now);
    auto const change = limits::on_own_statement(state.limit, stated, now);
    if (was_limited || !limits::applies(state.limit, now))
        return change;
    double const debt =
        limits::debt_of(limits::value_of(state.recent_starts, now),
                        limits::rate_of(*state.limit, now));
    state.start_tokens = {-debt, now};
    return change;
}

} // namespace jujubestand::admission
