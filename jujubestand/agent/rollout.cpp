#include <jujubestand/agent/rollout.hpp>

#include <algorithm>
#include <utility>

namespace jujubestand::agent
{

namespace
{

/// Delay before the next order after a response that means that no load
/// started.
constexpr std::chrono::milliseconds order_retry_delay{250};

std::uint64_t version_of(status::engine_report const& report,
                         std::string const& model)
{
    auto const found = report.versions.find(model);
    return found == report.versions.end() ? 0 : found->second;
}

std::size_t concurrent_loads(rollout const& state)
{
    return std::max(state.limits.concurrent_loads_min,
                    state.pool_size / state.limits.engines_per_load);
}

// The engines of a pool load in groups, so that most of them serve at any
// time.
std::size_t group_of(rollout const& state)
{
    return state.pool_index / concurrent_loads(state);
}

mono_time load_time(rollout const& state, requested_version const& requested)
{
    return requested.requested_at.value_or(mono_time{}) +
           state.limits.notice_period +
           state.limits.group_interval *
               static_cast<std::int64_t>(group_of(state));
}

bool has_long_call(rollout const& state, mono_time now)
{
    return std::any_of(state.running_calls.begin(), state.running_calls.end(),
                       [&](auto const& row)
                       {
                           return now - row.second > state.limits.long_call_min;
                       });
}

// Most engines find a moment without long calls in the first half of the time.
// Those that are always busy stop waiting in the second half, one group after
// the other: more loads at once would take longer each.
std::chrono::milliseconds long_call_wait(rollout const& state)
{
    constexpr int late_part = 2;
    auto const last_group = (std::max<std::size_t>(state.pool_size, 1) - 1) /
                            concurrent_loads(state);
    auto const groups_after = static_cast<std::int64_t>(
        last_group - std::min(group_of(state), last_group));
    auto const limit = state.limits.long_call_wait_limit;
    auto const interval =
        std::max(state.limits.group_interval,
                 limit / late_part / static_cast<std::int64_t>(last_group + 1));
    return limit - interval * groups_after;
}

// Long calls get time to end before the engine stops accepting calls; those
// that still run then are moved to another engine where allowed.
bool is_waiting_for_long_calls(rollout const& state,
                               requested_version const& requested,
                               mono_time now)
{
    return requested.is_age_known && has_long_call(state, now) &&
           now < requested.requested_at.value_or(now) + long_call_wait(state);
}

// Calls that were sent before the notice may still be queued or in prefill.
bool is_waiting_for_queue(rollout const& state,
                          requested_version const& requested,
                          status::engine_report const& report, mono_time now)
{
    return report.queued + report.prefilling > 0 &&
           now < requested.notice_at + state.limits.queue_wait_limit;
}

} // namespace

bool record_request(rollout& state, std::string const& model,
                    std::uint64_t version, mono_time now, bool is_age_known)
{
    auto& known = state.requested_versions[model];
    if (version <= known.version)
        return false;
    known.version = version;
    // A load that is already planned loads the newer version instead.
    if (!known.requested_at)
    {
        known.requested_at = now;
        known.is_age_known = is_age_known;
    }
    return true;
}

void update_running_calls(rollout& state,
                          std::vector<std::uint64_t> const& running,
                          mono_time now)
{
    std::map<std::uint64_t, mono_time> next;
    for (auto const id : running)
    {
        auto const known = state.running_calls.find(id);
        next[id] = known == state.running_calls.end() ? now : known->second;
    }
    state.running_calls = std::move(next);
}

std::optional<microseconds> load_due(rollout const& state,
                                     status::engine_report const& report,
                                     mono_time now)
{
    if (!state.fence)
        return std::nullopt;
    std::optional<microseconds> soonest;
    for (auto const& [model, requested] : state.requested_versions)
    {
        auto const loaded_version = version_of(report, model);
        if (loaded_version == 0 || loaded_version >= requested.version ||
            !requested.requested_at)
            continue;
        microseconds const due =
            std::max(load_time(state, requested) - now, microseconds{0});
        soonest = soonest ? std::min(*soonest, due) : due;
    }
    return soonest;
}

bool is_preparing(rollout const& state, status::engine_report const& report,
                  mono_time now)
{
    return std::any_of(
        state.requested_versions.begin(), state.requested_versions.end(),
        [&](auto const& row)
        {
            auto const& requested = row.second;
            auto const loaded_version = version_of(report, row.first);
            return state.fence && loaded_version > 0 &&
                   loaded_version < requested.version &&
                   requested.requested_at &&
                   now + state.limits.notice_period >=
                       load_time(state, requested) &&
                   (requested.is_notice_given ||
                    !is_waiting_for_long_calls(state, requested, now));
        });
}

std::optional<order>
next_order(rollout& state, status::engine_report const& report, mono_time now)
{
    state.is_permit_awaited = false;
    if (!state.fence || report.is_busy || now < state.paused_until ||
        now < state.other_holder_until)
        return std::nullopt;
    for (auto& [model, requested] : state.requested_versions)
    {
        auto const loaded_version = version_of(report, model);
        if (loaded_version >= requested.version)
        {
            requested.requested_at.reset();
            requested.is_notice_given = false;
            if (state.ordered_version <= loaded_version)
                state.ordered_at.reset();
            continue;
        }
        if (loaded_version == 0)
            continue;
        bool const is_pending =
            state.ordered_at &&
            now - *state.ordered_at < state.limits.order_retry_interval;
        if (!requested.requested_at || now < load_time(state, requested) ||
            is_pending)
            continue;
        if (!requested.is_notice_given &&
            is_waiting_for_long_calls(state, requested, now))
            continue;
        if (!std::exchange(requested.is_notice_given, true))
            requested.notice_at = now;
        if (now < requested.notice_at + state.limits.notice_period ||
            is_waiting_for_queue(state, requested, report, now))
            continue;
        if (!state.is_order_permitted)
        {
            state.is_permit_awaited = true;
            return std::nullopt;
        }
        state.ordered_at = now;
        state.ordered_version = requested.version;
        return order{model, requested.version, *state.fence,
                     report.orders_accepted};
    }
    return std::nullopt;
}

order_response order_response_of(int status) noexcept
{
    constexpr int ok = 200;
    constexpr int accepted = 202;
    constexpr int conflict = 409;
    constexpr int precondition_failed = 412;
    if (status == ok || status == accepted)
        return order_response::accepted;
    if (status == conflict)
        return order_response::conflict;
    if (status == precondition_failed)
        return order_response::stale_fence;
    return status == 0 ? order_response::no_response : order_response::refused;
}

void on_order_response(rollout& state, order_response answer, mono_time now)
{
    if (answer == order_response::stale_fence)
    {
        state.fence.reset();
        state.other_holder_until = now + state.limits.other_holder_wait;
    }
    bool const is_void = answer == order_response::conflict ||
                         answer == order_response::refused ||
                         answer == order_response::stale_fence;
    if (is_void)
        state.ordered_at =
            now - state.limits.order_retry_interval + order_retry_delay;
}

} // namespace jujubestand::agent
