#include <jujubestand/quarantine/evidence.hpp>

#include <algorithm>

namespace jujubestand::quarantine
{

namespace
{

/// Suspected crashes that stay unsettled for so long were none.
constexpr std::chrono::milliseconds settle_limit{8'000};

/// Strikes kept of one suspected crash.
constexpr std::size_t strikes_limit = 96;

/// Parts of which an answer is remembered.
constexpr std::size_t answered_limit = 8'192;

std::int64_t ms_of(wall_time time)
{
    return time.time_since_epoch().count();
}

void forget_old_answers(evidence& state, wall_time now)
{
    if (state.answered.size() < answered_limit)
        return;
    std::erase_if(state.answered,
                  [&](auto const& row)
                  {
                      return now - row.second > state.options.answer_lifetime;
                  });
    if (state.answered.size() >= answered_limit)
        state.answered.clear();
}

// A known answer speaks for a struck fingerprint, even if it came before the
// crash.
void add_known_answer(evidence const& state, digest const& fingerprint,
                      notice& update)
{
    auto const found = state.answered.find(fingerprint);
    if (found != state.answered.end())
        update.clearances.push_back({fingerprint, ms_of(found->second)});
}

} // namespace

void on_cut(evidence& state, upstream_number number, upstream_id const& id,
            incarnation_id incarnation, std::vector<suspect_key> const& keys,
            bool has_begun, wall_time now)
{
    auto& crash = state.suspected[number];
    if (crash.strikes.empty())
        crash.cut_at = now;
    for (auto const& key : keys)
    {
        if (crash.strikes.size() < strikes_limit || has_begun)
            crash.strikes.push_back({key.fingerprint, id, incarnation,
                                     ms_of(now), key.depth, has_begun});
    }
}

notice on_answered(evidence& state, std::vector<suspect_key> const& keys,
                   wall_time now)
{
    forget_old_answers(state, now);
    notice update;
    for (auto const& key : keys)
    {
        if (key.depth != whole_request_depth)
            state.answered[key.fingerprint] = now;
        auto const struck = state.strikes.entries.find(key.fingerprint);
        if (struck != state.strikes.entries.end() &&
            !struck->second.strikes.empty())
            update.clearances.push_back(
                clearance_for(state.strikes, key.fingerprint, now));
    }
    return merge(state.strikes, update, now);
}

notice on_condition(evidence& state, upstream_number number,
                    upstream_condition condition, wall_time now)
{
    auto const found = state.suspected.find(number);
    if (found == state.suspected.end())
        return {};
    bool const is_overdue = now - found->second.cut_at > settle_limit;
    if (condition == upstream_condition::unknown && !is_overdue)
        return {};
    notice update;
    if (condition == upstream_condition::lost)
        update.strikes = std::move(found->second.strikes);
    state.suspected.erase(found);
    for (auto const& recorded : update.strikes)
        add_known_answer(state, recorded.fingerprint, update);
    return merge(state.strikes, update, now);
}

notice_result on_notice(evidence& state, notice const& message, wall_time now)
{
    auto const added = merge(state.strikes, message, now);
    notice update;
    for (auto const& recorded : added.strikes)
        add_known_answer(state, recorded.fingerprint, update);
    return {!added.empty(), merge(state.strikes, update, now)};
}

std::vector<digest> judge(evidence& state, wall_time now)
{
    expire(state.strikes, now);
    std::erase_if(state.culprits,
                  [now](auto const& row)
                  {
                      return row.second <= now;
                  });
    std::set<digest> known;
    for (auto const& [fingerprint, until] : state.culprits)
        known.insert(fingerprint);
    auto result = find_culprits(state.strikes, known, state.options, now);
    for (auto const& fingerprint : result)
        add_culprit(state, fingerprint, now + state.strikes.options.lifetime);
    return result;
}

bool add_culprit(evidence& state, digest const& fingerprint, wall_time until)
{
    auto& known = state.culprits[fingerprint];
    bool const is_new = known == wall_time{};
    known = std::max(known, until);
    return is_new;
}

std::optional<wall_time> refused_until(evidence const& state,
                                       std::vector<suspect_key> const& keys,
                                       wall_time now)
{
    for (auto const& key : keys)
    {
        auto const found = state.culprits.find(key.fingerprint);
        if (found != state.culprits.end() && found->second > now)
            return found->second;
    }
    return std::nullopt;
}

} // namespace jujubestand::quarantine
