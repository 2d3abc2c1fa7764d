#include <jujubestand/quarantine/suspects.hpp>

#include <algorithm>
#include <cmath>
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

crash_key key_of(strike const& recorded)
{
    return {recorded.upstream, recorded.incarnation};
}

std::int64_t ms_of(wall_time time)
{
    return time.time_since_epoch().count();
}

bool is_settled(crash_analysis const& of, strike const& recorded)
{
    return is_active(of.evidence.strikes, recorded, of.now) &&
           recorded.at_ms <= ms_of(of.now - of.options.settling_time);
}

std::map<crash_key, explanation> explain(crash_analysis const& of,
                                         std::set<digest> const& known)
{
    std::map<crash_key, explanation> result;
    for (auto const& fingerprint : known)
    {
        auto const found = of.evidence.strikes.entries.find(fingerprint);
        if (found == of.evidence.strikes.entries.end())
            continue;
        for (auto const& recorded : found->second.strikes)
        {
            auto& why = result[key_of(recorded)];
            why = std::max(why, is_part(fingerprint) ? explanation::part
                                                     : explanation::request);
        }
    }
    return result;
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

// How unlikely it is that one of the requests in flight had the part, of those
// that the engine had come as far with.
double surprise_of(crash_analysis const& of, strike const& recorded)
{
    auto const found = of.evidence.crashes.find(key_of(recorded));
    if (found == of.evidence.crashes.end())
        return 0;
    auto const requests =
        std::max<std::size_t>(requests_from(found->second, recorded.stage), 1);
    double const share = share_of(of, recorded.fingerprint);
    double const chance =
        1 - std::pow(1 - share, static_cast<double>(requests));
    return -std::log(chance);
}

// Whether the engine had begun to answer it, or nothing else.
bool is_begun(crash_analysis const& of, strike const& recorded)
{
    auto const found = of.evidence.crashes.find(key_of(recorded));
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
        if (count > 0 && time_ms - last_ms < options.simultaneous_time.count())
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
            explanation_of(of, key_of(recorded)) != explanation::part)
            result.push_back(recorded);
    }
    std::sort(result.begin(), result.end(),
              [](strike const& left, strike const& right)
              {
                  return left.at_ms < right.at_ms;
              });
    return result;
}

void add_crash(crash_analysis const& of, suspect& to, strike const& recorded)
{
    bool const is_unexplained =
        explanation_of(of, key_of(recorded)) == explanation::none;
    if (is_unexplained)
        to.unexplained_keys.insert(key_of(recorded));
    to.depth = std::max(to.depth, recorded.depth);
    bool const is_with_last =
        to.crashes > 0 && recorded.at_ms - to.last_crash_ms <
                              of.options.simultaneous_time.count();
    if (is_with_last)
        return;
    if (to.crashes == 0)
        to.first_crash_ms = recorded.at_ms;
    to.last_crash_ms = recorded.at_ms;
    ++to.crashes;
    to.unexplained += is_unexplained ? 1 : 0;
    to.begun += is_begun(of, recorded) ? 1 : 0;
    to.surprise += surprise_of(of, recorded);
}

} // namespace

void count_answer(answer_count& count, wall_time now)
{
    count.value = faded(count, now) + 1;
    count.last_at = now;
}

void add_crashes(crash_map& crashes, std::vector<strike> const& strikes)
{
    for (auto const& recorded : strikes)
    {
        auto& crash = crashes[key_of(recorded)];
        if (crash.at_ms == 0 || recorded.at_ms < crash.at_ms)
            crash.at_ms = recorded.at_ms;
        if (is_part(recorded.fingerprint))
            continue;
        auto& stage = crash.requests[recorded.fingerprint];
        stage = std::max(stage, recorded.stage);
    }
    while (crashes.size() > crashes_limit)
        crashes.erase(std::min_element(crashes.begin(), crashes.end(),
                                       [](auto const& left, auto const& right)
                                       {
                                           return left.second.at_ms <
                                                  right.second.at_ms;
                                       }));
}

crash_analysis make_analysis(evidence_view const& evidence,
                             std::set<digest> const& known,
                             culprit_options const& options, wall_time now)
{
    crash_analysis result{
        evidence, options, now, parts_in_use(evidence, options), {}};
    result.explained = explain(result, known);
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
    for (auto const& recorded : settled_strikes(of, entry))
        add_crash(of, result, recorded);
    result.surprise += static_cast<double>(missed_crashes(of, result)) *
                       std::log(of.options.caused_share);
    return result;
}

} // namespace jujubestand::quarantine
