#include <jujubestand/quarantine/suspects.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>
#include <vector>

namespace jujubestand::quarantine
{

namespace
{

/// Time in which an answer fades to a third.
constexpr std::chrono::duration<double> answer_fading_time{60};

/// Crashes whose requests are remembered.
constexpr std::size_t crashes_limit = 64;

std::int64_t ms_of(wall_time time)
{
    return time.time_since_epoch().count();
}

bool is_settled(crash_analysis const& of, strike const& recorded)
{
    return is_active(of.evidence.strikes, recorded, of.now) &&
           recorded.at_ms <= ms_of(of.now - of.options.settling_time);
}

explanation explanation_of(crash_analysis const& of, crash_key const& key)
{
    auto const found = of.explained.find(key);
    return found == of.explained.end() ? explanation::none : found->second;
}

double parts_in_use(evidence_view const& evidence,
                    culprit_options const& options)
{
    auto count = evidence.answered.size();
    for (auto const& [fingerprint, entry] : evidence.strikes.entries)
        count +=
            is_part(fingerprint) && !evidence.answered.contains(fingerprint)
                ? 1
                : 0;
    return static_cast<double>(std::max(count, options.parts_min));
}

double faded(answer_count const& count, wall_time now)
{
    std::chrono::duration<double> const age = now - count.last_at;
    return count.value * std::exp(-age / answer_fading_time);
}

// Share of the requests that have a part, as far as engines have answered them.
double share_of(crash_analysis const& of, digest const& part)
{
    auto const found = of.evidence.answered.find(part);
    double const answers =
        found == of.evidence.answered.end() ? 0 : faded(found->second, of.now);
    // A share of few answers says little.
    constexpr double answers_min = 10;
    double const all = faded(of.evidence.all_answers, of.now) + answers_min;
    return std::max(answers / all, 1 / of.parts);
}

std::size_t requests_from(crash_record const& crash, answer_stage stage)
{
    return static_cast<std::size_t>(
        std::count_if(crash.requests.begin(), crash.requests.end(),
                      [stage](auto const& row)
                      {
                          return row.second >= stage;
                      }));
}

bool is_together(std::int64_t left_ms, std::int64_t right_ms,
                 culprit_options const& options)
{
    return std::abs(left_ms - right_ms) < options.simultaneous_time.count();
}

std::map<crash_key, crash_size> sizes_of(crash_analysis const& of)
{
    std::map<crash_key, crash_size> result;
    for (auto const& [key, crash] : of.evidence.crashes)
    {
        if (explanation_of(of, key) == explanation::part)
            continue;
        auto& size = result[key];
        size.at_ms = crash.at_ms;
        for (auto const& [stage, name] : answer_stage_names)
            size.requests[static_cast<std::size_t>(stage)] =
                requests_from(crash, stage);
    }
    return result;
}

/// Strikes of one fingerprint at engines that crashed together: one event.
using crash_event = std::vector<strike>;

bool is_of_event(crash_analysis const& of, crash_event const& event,
                 crash_key const& key, crash_size const& size)
{
    return std::any_of(event.begin(), event.end(),
                       [&](strike const& recorded)
                       {
                           if (crash_of(recorded) == key)
                               return true;
                           auto const own = of.sizes.find(crash_of(recorded));
                           return own != of.sizes.end() &&
                                  is_together(own->second.at_ms, size.at_ms,
                                              of.options);
                       });
}

bool has_strike(crash_event const& event, crash_key const& key,
                answer_stage stage)
{
    return std::any_of(event.begin(), event.end(),
                       [&](strike const& recorded)
                       {
                           return crash_of(recorded) == key &&
                                  recorded.stage >= stage;
                       });
}

answer_stage stage_of(crash_event const& event)
{
    auto result = answer_stage::none;
    for (auto const& recorded : event)
        result = std::max(result, recorded.stage);
    return result;
}

// Chance that one of the requests in flight had a part, of those that the
// engine had come as far with.
double chance_of(crash_size const& size, answer_stage stage, double share)
{
    auto const requests = std::max<std::size_t>(
        size.requests[static_cast<std::size_t>(stage)], 1);
    return 1 - std::pow(1 - share, static_cast<double>(requests));
}

// How unlikely it is that a sound part was at so many of the engines that
// crashed together: at `struck` of them with less than expected^struck /
// struck!. Whatever took them all down together counts once at most.
double surprise_of(crash_analysis const& of, crash_event const& event)
{
    auto const stage = stage_of(event);
    double const share = share_of(of, event.front().fingerprint);
    std::size_t struck = 0;
    double expected = 0;
    double of_one_crash = 0;
    for (auto const& [key, size] : of.sizes)
    {
        if (!is_of_event(of, event, key, size))
            continue;
        double const chance = chance_of(size, stage, share);
        expected += chance;
        if (!has_strike(event, key, stage))
            continue;
        ++struck;
        of_one_crash = std::max(of_one_crash, -std::log(chance));
    }
    double result = 0;
    for (std::size_t number = 1; number <= struck; ++number)
        result += std::log(static_cast<double>(number) / expected);
    return std::clamp(result, 0.0, of_one_crash);
}

// Whether the engine had begun to answer it, or nothing else.
bool is_begun(crash_analysis const& of, strike const& recorded)
{
    auto const found = of.evidence.crashes.find(crash_of(recorded));
    return recorded.stage != answer_stage::none ||
           found == of.evidence.crashes.end() ||
           requests_from(found->second, answer_stage::output) == 0;
}

// Engines that crash together count once.
std::size_t count_apart(std::vector<std::int64_t> times_ms,
                        culprit_options const& options)
{
    std::sort(times_ms.begin(), times_ms.end());
    std::size_t count = 0;
    std::int64_t last_ms = 0;
    for (auto const time_ms : times_ms)
    {
        if (count > 0 && is_together(time_ms, last_ms, options))
            continue;
        last_ms = time_ms;
        ++count;
    }
    return count;
}

// Crashes without the suspect since its first one speak against it.
std::size_t missed_crashes(crash_analysis const& of, suspect const& suspected)
{
    std::vector<std::int64_t> times_ms;
    for (auto const& [key, crash] : of.evidence.crashes)
    {
        if (crash.at_ms > suspected.first_crash_ms &&
            explanation_of(of, key) == explanation::none &&
            !suspected.unexplained_keys.contains(key))
            times_ms.push_back(crash.at_ms);
    }
    return count_apart(std::move(times_ms), of.options);
}

std::vector<strike> settled_strikes(crash_analysis const& of,
                                    strike_entry const& entry)
{
    std::vector<strike> result;
    for (auto const& recorded : entry.strikes)
    {
        if (is_settled(of, recorded) &&
            explanation_of(of, crash_of(recorded)) != explanation::part)
            result.push_back(recorded);
    }
    std::sort(result.begin(), result.end(),
              [](strike const& left, strike const& right)
              {
                  return left.at_ms < right.at_ms;
              });
    return result;
}

std::vector<crash_event> split_events(std::vector<strike> const& ordered,
                                      culprit_options const& options)
{
    std::vector<crash_event> result;
    for (auto const& recorded : ordered)
    {
        if (result.empty() ||
            !is_together(result.back().front().at_ms, recorded.at_ms, options))
            result.emplace_back();
        result.back().push_back(recorded);
    }
    return result;
}

// Whether most of the upstreams that ended together have strikes in the event.
bool covers_most(crash_analysis const& of, crash_event const& event)
{
    auto const together = static_cast<std::size_t>(
        std::count_if(of.sizes.begin(), of.sizes.end(),
                      [&](auto const& row)
                      {
                          return is_of_event(of, event, row.first, row.second);
                      }));
    return 2 * event.size() >= together;
}

// Upstreams that end together count once, since a rack may have failed. But it
// is no chance if one whole request was in flight at most of them.
bool counts_each_crash(crash_analysis const& of, crash_event const& event)
{
    return event.front().depth == whole_request_depth && covers_most(of, event);
}

void add_event(crash_analysis const& of, suspect& to, crash_event const& event)
{
    std::size_t unexplained = 0;
    bool has_begun = false;
    for (auto const& recorded : event)
    {
        if (explanation_of(of, crash_of(recorded)) == explanation::none)
        {
            ++unexplained;
            to.unexplained_keys.insert(crash_of(recorded));
        }
        has_begun = has_begun || is_begun(of, recorded);
        to.depth = std::max(to.depth, recorded.depth);
    }
    if (to.crashes == 0)
        to.first_crash_ms = event.front().at_ms;
    to.last_crash_ms = event.front().at_ms;
    bool const counts_each = counts_each_crash(of, event);
    to.crashes += counts_each ? event.size() : 1;
    to.unexplained +=
        counts_each ? unexplained : std::min<std::size_t>(unexplained, 1);
    to.begun += has_begun ? 1 : 0;
    to.surprise += surprise_of(of, event);
}

// Engines that crashed together are forgotten together: some of them alone
// would say that fewer requests were in flight.
void forget_oldest(crash_map& crashes, culprit_options const& options)
{
    auto const oldest =
        std::min_element(crashes.begin(), crashes.end(),
                         [](auto const& left, auto const& right)
                         {
                             return left.second.at_ms < right.second.at_ms;
                         });
    std::erase_if(crashes,
                  [&options, at_ms = oldest->second.at_ms](auto const& row)
                  {
                      return is_together(row.second.at_ms, at_ms, options);
                  });
}

} // namespace

void count_answer(answer_count& count, wall_time now)
{
    count.value = faded(count, now) + 1;
    count.last_at = now;
}

void add_crashes(crash_map& crashes, std::vector<strike> const& strikes,
                 culprit_options const& options)
{
    for (auto const& recorded : strikes)
    {
        auto& crash = crashes[crash_of(recorded)];
        if (crash.at_ms == 0 || recorded.at_ms < crash.at_ms)
            crash.at_ms = recorded.at_ms;
        if (is_part(recorded.fingerprint))
            continue;
        auto& stage = crash.requests[recorded.fingerprint];
        stage = std::max(stage, recorded.stage);
    }
    while (crashes.size() > crashes_limit)
        forget_oldest(crashes, options);
}

crash_analysis make_analysis(evidence_view const& evidence,
                             std::set<digest> const& known,
                             culprit_options const& options, wall_time now)
{
    crash_analysis result{
        evidence, options, now, parts_in_use(evidence, options), {}, {}};
    result.explained = explain(evidence.strikes, known);
    result.sizes = sizes_of(result);
    return result;
}

suspect suspect_of(crash_analysis const& of, digest const& fingerprint,
                   strike_entry const& entry)
{
    suspect result;
    result.fingerprint = fingerprint;
    result.answered_at_ms = entry.cleared_until_ms;
    result.was_answered =
        entry.cleared_until_ms > 0 &&
        entry.cleared_until_ms > ms_of(of.now - of.options.answer_lifetime);
    for (auto const& event :
         split_events(settled_strikes(of, entry), of.options))
        add_event(of, result, event);
    result.surprise += static_cast<double>(missed_crashes(of, result)) *
                       std::log(of.options.caused_share);
    return result;
}

} // namespace jujubestand::quarantine
