#include <jujubestand/quarantine/evidence.hpp>

#include <algorithm>

namespace jujubestand::quarantine
{

namespace
{

/// Suspected crashes that stay unsettled for so long were none.
constexpr std::chrono::milliseconds settle_limit{8'000};

/// Strikes kept of one suspected crash, apart from those of requests that the
/// upstream had begun to answer.
constexpr std::size_t strikes_limit = 96;

/// Answers of one upstream that wait to be confirmed.
constexpr std::size_t unconfirmed_limit = 512;

/// A report this long after an end is of an upstream that outlived it: the time
/// of a report is known less exactly.
constexpr std::chrono::milliseconds report_margin{100};

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
                      return now - row.second.last_at >
                             state.options.answer_lifetime;
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
        update.clearances.push_back(
            {fingerprint, ms_of(found->second.last_at)});
}

strike strike_of(suspect_key const& key, upstream_id const& id,
                 incarnation_id incarnation, answer_stage stage, wall_time now)
{
    return {key.fingerprint, id, incarnation, ms_of(now), key.depth, stage};
}

// Many requests of one crash share their first parts.
void add_strike(std::vector<strike>& strikes, strike const& added)
{
    auto const known =
        std::find_if(strikes.begin(), strikes.end(),
                     [&](strike const& recorded)
                     {
                         return recorded.fingerprint == added.fingerprint;
                     });
    if (known != strikes.end())
    {
        known->stage = std::max(known->stage, added.stage);
        known->depth = std::max(known->depth, added.depth);
        known->at_ms = std::max(known->at_ms, added.at_ms);
        return;
    }
    if (strikes.size() < strikes_limit || added.stage != answer_stage::none)
        strikes.push_back(added);
}

// Callers leave at any time, also just before their upstream is lost: what was
// cut later stays.
void forget_cuts(suspected_crash& crash, wall_time before)
{
    std::erase_if(crash.strikes,
                  [before_ms = ms_of(before)](strike const& recorded)
                  {
                      return recorded.at_ms < before_ms;
                  });
}

// What stays unsettled for too long was no crash, and proves nothing else.
void drop_settled(suspected_crash& crash, wall_time until)
{
    forget_cuts(crash, until + std::chrono::milliseconds{1});
    std::erase_if(crash.answers,
                  [until](unconfirmed_answer const& answer)
                  {
                      return answer.ended_at <= until;
                  });
}

notice strikes_of_crash(evidence& state, suspected_crash const& crash,
                        wall_time now)
{
    notice update;
    update.strikes = crash.strikes;
    for (auto const& answer : crash.answers)
    {
        for (auto const& recorded : answer.strikes)
            add_strike(update.strikes, recorded);
    }
    add_crashes(state.crashes, update.strikes, state.options);
    for (auto const& recorded : update.strikes)
        add_known_answer(state, recorded.fingerprint, update);
    return merge(state.strikes, update, now);
}

// The upstream lived at `until`: it outlived the answers that ended before.
notice confirm_answers(evidence& state, suspected_crash& crash, wall_time until,
                       wall_time now)
{
    notice result;
    while (!crash.answers.empty() && crash.answers.front().ended_at < until)
    {
        auto const update = on_answered(state, crash.answers.front().keys, now);
        result.clearances.insert(result.clearances.end(),
                                 update.clearances.begin(),
                                 update.clearances.end());
        crash.answers.erase(crash.answers.begin());
    }
    forget_cuts(crash, until);
    return result;
}

} // namespace

void on_cut(evidence& state, upstream_number number, upstream_id const& id,
            incarnation_id incarnation, std::vector<suspect_key> const& keys,
            answer_stage stage, wall_time now)
{
    auto& crash = state.suspected[number];
    for (auto const& key : keys)
        add_strike(crash.strikes, strike_of(key, id, incarnation, stage, now));
}

void on_unconfirmed_answer(evidence& state, upstream_number number,
                           upstream_id const& id, incarnation_id incarnation,
                           std::vector<suspect_key> const& keys, wall_time now)
{
    auto& answers = state.suspected[number].answers;
    if (answers.size() >= unconfirmed_limit)
        answers.erase(answers.begin());
    auto& added = answers.emplace_back();
    added.ended_at = now;
    added.keys = keys;
    for (auto const& key : keys)
        added.strikes.push_back(
            strike_of(key, id, incarnation, answer_stage::output, now));
}

notice on_answered(evidence& state, std::vector<suspect_key> const& keys,
                   wall_time now)
{
    // Calls without a prompt say nothing of how frequent a part is.
    bool const has_parts = std::any_of(keys.begin(), keys.end(),
                                       [](suspect_key const& key)
                                       {
                                           return is_part(key.fingerprint);
                                       });
    if (has_parts)
        count_answer(state.all_answers, now);
    forget_old_answers(state, now);
    notice update;
    for (auto const& key : keys)
    {
        if (key.depth != whole_request_depth)
            count_answer(state.answered[key.fingerprint], now);
        auto const struck = state.strikes.entries.find(key.fingerprint);
        if (struck != state.strikes.entries.end() &&
            !struck->second.strikes.empty())
            update.clearances.push_back(
                clearance_for(state.strikes, key.fingerprint, now));
    }
    return merge(state.strikes, update, now);
}

notice on_condition(evidence& state, upstream_number number,
                    upstream_sign const& sign, wall_time now)
{
    auto const found = state.suspected.find(number);
    if (found == state.suspected.end())
        return {};
    auto& crash = found->second;
    notice result;
    if (sign.condition == upstream_condition::lost)
        result = strikes_of_crash(state, crash, now);
    if (sign.condition == upstream_condition::alive)
        result = confirm_answers(state, crash, sign.reported_at - report_margin,
                                 now);
    bool const is_lost = sign.condition == upstream_condition::lost;
    drop_settled(crash, is_lost ? now : now - settle_limit);
    if (crash.strikes.empty() && crash.answers.empty())
        state.suspected.erase(found);
    return result;
}

notice_result on_notice(evidence& state, notice const& message, wall_time now)
{
    add_crashes(state.crashes, message.strikes, state.options);
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
    evidence_view const view{state.strikes, state.crashes, state.answered,
                             state.all_answers};
    auto result = find_culprits(view, known, state.options, now);
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
