#include <jujubestand/follow/lapses.hpp>

namespace jujubestand::follow
{

namespace
{

bool is_within_return_time(lapses const& state, mono_time now)
{
    return state.away_at && now - *state.away_at < state.limits.return_time;
}

} // namespace

void on_store_answer(lapses& state, mono_time now)
{
    if (state.answered_at && now - *state.answered_at > state.limits.outage_min)
        state.away_at = now;
    state.answered_at = now;
}

void on_store_failure(lapses& state, mono_time now)
{
    bool const is_long = !state.answered_at ||
                         now - *state.answered_at > state.limits.outage_min;
    if (is_long)
        state.away_at = now;
}

bool on_vanished(lapses& state, std::string const& key, mono_time now)
{
    if (!is_within_return_time(state, now))
        return true;
    state.vanished.insert(key);
    return false;
}

void on_present(lapses& state, std::string const& key)
{
    state.vanished.erase(key);
}

std::vector<std::string> take_gone(lapses& state, mono_time now)
{
    if (state.vanished.empty() || is_within_return_time(state, now))
        return {};
    std::vector<std::string> gone(state.vanished.begin(), state.vanished.end());
    state.vanished.clear();
    return gone;
}

} // namespace jujubestand::follow
