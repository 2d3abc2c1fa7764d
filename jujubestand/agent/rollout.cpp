#include <jujubestand/agent/rollout.hpp>

#include <algorithm>
#include <utility>

namespace jujubestand::agent
{

namespace
{

/// Delay before the next order after a response that means that no load
/// started.
constexpr std::chrono::milliseconds refused_pause{250};

std::uint64_t version_of(status::engine_report const& report,
                         std::string const& model)
{
    auto const found = report.versions.find(model);
    return found == report.versions.end() ? 0 : found->second;
}

std::size_t loads_at_once(rollout const& state)
{
    return std::max(state.limits.loads_at_once_min,
                    state.engines / state.limits.engines_per_load);
}

// The engines of a pool load in groups, so that most of them serve at any
// time.
std::size_t turn_of(rollout const& state)
{
    return state.place / loads_at_once(state);
}

mono_time turn_at(rollout const& state, wanted_version const& want)
{
    return want.since.value_or(mono_time{}) + state.limits.notice +
           state.limits.turn * static_cast<std::int64_t>(turn_of(state));
}

bool has_long_run(rollout const& state, mono_time now)
{
    return std::any_of(state.runs.begin(), state.runs.end(),
                       [&](auto const& row)
                       {
                           return now - row.second > state.limits.long_run;
                       });
}

// Long calls get time to end before the engine stops accepting calls; those
// that still run then are moved to another engine where allowed.
bool is_waiting_for_long_runs(rollout const& state, wanted_version const& want,
                              mono_time now)
{
    return want.is_age_known && has_long_run(state, now) &&
           now < want.since.value_or(now) + state.limits.long_run_limit;
}

// Calls that were sent before the notice may still be queued or in prefill.
bool is_settling(rollout const& state, wanted_version const& want,
                 status::engine_report const& report, mono_time now)
{
    return report.queued + report.reading > 0 &&
           now < want.begun_at + state.limits.settle_limit;
}

} // namespace

bool on_wanted(rollout& state, std::string const& model, std::uint64_t version,
               mono_time now, bool is_age_known)
{
    auto& known = state.wanted[model];
    if (version <= known.version)
        return false;
    known.version = version;
    // A load that is already planned loads the newer version instead.
    if (!known.since)
    {
        known.since = now;
        known.is_age_known = is_age_known;
    }
    return true;
}

void on_runs(rollout& state, std::vector<std::uint64_t> const& running,
             mono_time now)
{
    std::map<std::uint64_t, mono_time> next;
    for (auto const id : running)
    {
        auto const known = state.runs.find(id);
        next[id] = known == state.runs.end() ? now : known->second;
    }
    state.runs = std::move(next);
}

std::optional<microseconds> load_due(rollout const& state,
                                     status::engine_report const& report,
                                     mono_time now)
{
    if (!state.fence)
        return std::nullopt;
    std::optional<microseconds> soonest;
    for (auto const& [model, want] : state.wanted)
    {
        auto const has = version_of(report, model);
        if (has == 0 || has >= want.version || !want.since)
            continue;
        microseconds const due =
            std::max(turn_at(state, want) - now, microseconds{0});
        soonest = soonest ? std::min(*soonest, due) : due;
    }
    return soonest;
}

bool is_preparing(rollout const& state, status::engine_report const& report,
                  mono_time now)
{
    return std::any_of(state.wanted.begin(), state.wanted.end(),
                       [&](auto const& row)
                       {
                           auto const& want = row.second;
                           auto const has = version_of(report, row.first);
                           return state.fence && has > 0 &&
                                  has < want.version && want.since &&
                                  now + state.limits.notice >=
                                      turn_at(state, want) &&
                                  (want.is_begun ||
                                   !is_waiting_for_long_runs(state, want, now));
                       });
}

std::optional<order>
next_order(rollout& state, status::engine_report const& report, mono_time now)
{
    if (!state.fence || report.is_busy)
        return std::nullopt;
    for (auto& [model, want] : state.wanted)
    {
        auto const has = version_of(report, model);
        if (has >= want.version)
        {
            want.since.reset();
            want.is_begun = false;
            if (state.ordered_version <= has)
                state.ordered_at.reset();
            continue;
        }
        if (has == 0)
            continue;
        bool const is_pending =
            state.ordered_at &&
            now - *state.ordered_at < state.limits.order_patience;
        if (!want.since || now < turn_at(state, want) || is_pending)
            continue;
        if (!want.is_begun && is_waiting_for_long_runs(state, want, now))
            continue;
        if (!std::exchange(want.is_begun, true))
            want.begun_at = now;
        if (now < want.begun_at + state.limits.notice ||
            is_settling(state, want, report, now))
            continue;
        state.ordered_at = now;
        state.ordered_version = want.version;
        return order{model, want.version, *state.fence, report.orders_accepted};
    }
    return std::nullopt;
}

void on_order_answer(rollout& state, order_answer answer, mono_time now)
{
    if (answer == order_answer::old_fence)
        state.fence.reset();
    bool const is_void = answer == order_answer::conflict ||
                         answer == order_answer::refused ||
                         answer == order_answer::old_fence;
    if (is_void)
        state.ordered_at = now - state.limits.order_patience + refused_pause;
}

} // namespace jujubestand::agent
