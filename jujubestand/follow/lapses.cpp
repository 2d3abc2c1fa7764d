#include <jujubestand/follow/lapses.hpp>

namespace jujubestand::follow
{

namespace
{

bool is_within_return_time(lapses const& state, mono_time now)
{
    return state.outage_seen_at &&
           now - *state.outage_seen_at < state.limits.return_time;
}

} // namespace

void on_store_answer(lapses& state, mono_time now)
{
    if (state.last_response_at &&
        now - *state.last_response_at > state.limits.outage_min)
        state.outage_seen_at = now;
    state.last_response_at = now;
}

void on_store_failure(lapses& state, mono_time now)
{
    bool const is_long =
        !state.last_response_at ||
        now - *state.last_response_at > state.limits.outage_min;
    if (is_long)
        state.outage_seen_at = now;
}

void on_store_return(lapses& state, mono_time now)
{
    state.outage_seen_at = now;
}

// The store last responded when the copy was confirmed, which may be up to
// `outage_min` before its age is looked at.
void on_copy_age(lapses& state, std::optional<mono_time> confirmed_at,
                 mono_time now)
{
    if (confirmed_at && now - *confirmed_at < state.limits.outage_min)
        on_store_answer(state, *confirmed_at);
    else
        on_store_failure(state, now);
}

bool on_removed(lapses& state, std::string const& key, mono_time now)
{
    if (!is_within_return_time(state, now))
        return true;
    state.pending_removals.insert(key);
    return false;
}

void on_present(lapses& state, std::string const& key)
{
    state.pending_removals.erase(key);
}

std::vector<std::string> take_expired(lapses& state, mono_time now)
{
    if (state.pending_removals.empty() || is_within_return_time(state, now))
        return {};
    std::vector<std::string> gone(state.pending_removals.begin(),
                                  state.pending_removals.end());
    state.pending_removals.clear();
    return gone;
}

} // namespace jujubestand::follow
