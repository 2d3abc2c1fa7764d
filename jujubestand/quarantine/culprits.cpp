#include <jujubestand/quarantine/culprits.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace jujubestand::quarantine
{

namespace
{

/// Time in which an answer fades to a third.
constexpr std::chrono::duration<double> answer_fading_time{60};

/// Crashes whose requests are remembered.
constexpr std::size_t crashes_limit = 64;

/// What explains a crash.
enum class explanation : std::uint8_t
{
    none,
    request, ///< a whole request; one of its parts may be the reason
    part,
};

/// A fingerprint and its crashes.
struct suspect
{
    digest fingerprint;
    std::uint8_t depth = 0;
    bool was_answered = false;
    /// Last time that engines answered it to the end; 0: never.
    std::int64_t answered_at_ms = 0;
    std::int64_t first_crash_ms = 0;
    std::int64_t last_crash_ms = 0;
    /// Crashes that no part explains; engines that crashed together count once.
    std::size_t crashes = 0;
    /// Those of them that nothing explains.
    std::size_t unexplained = 0;
    /// Those of them at which engines had begun to answer it, or nothing else.
    std::size_t begun = 0;
    std::set<crash_key> unexplained_keys;
    /// Logarithm of how unlikely it is that a sound part was in its crashes.
    double surprise = 0;
};

/// Evidence, and what is derived from it.
struct case_file
{
    evidence_view const& evidence;
    culprit_options const& options;
    wall_time now;
    /// Parts in use.
    double parts = 0;
    std::map<crash_key, explanation> explained;
};

crash_key key_of(strike const& recorded)
{
    return {recorded.upstream, recorded.incarnation};
}

std::int64_t ms_of(wall_time time)
{
    return time.time_since_epoch().count();
}

bool is_settled(case_file const& of, strike const& recorded)
{
    return is_active(of.evidence.strikes, recorded, of.now) &&
           recorded.at_ms <= ms_of(of.now - of.options.settling_time);
}

std::map<crash_key, explanation> explain(case_file const& of,
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

explanation explanation_of(case_file const& of, crash_key const& key)
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
double share_of(case_file const& of, digest const& part)
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
double surprise_of(case_file const& of, strike const& recorded)
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
bool is_begun(case_file const& of, strike const& recorded)
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
std::size_t missed_crashes(case_file const& of, suspect const& suspected)
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

std::vector<strike> settled_strikes(case_file const& of,
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

void add_crash(case_file const& of, suspect& to, strike const& recorded)
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

suspect suspect_of(case_file const& of, digest const& fingerprint,
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

bool is_whole_request(suspect const& of)
{
    return of.depth == whole_request_depth;
}

std::size_t crashes_needed(suspect const& of, culprit_options const& options)
{
    if (of.was_answered)
        return options.answered_crashes_min;
    bool const is_partly_explained = of.crashes > of.unexplained;
    return is_partly_explained && of.crashes >= options.crashes_min
               ? options.further_crashes_min
               : options.crashes_min;
}

// A whole request that was sent again was in its crashes by no chance.
bool is_convincing(case_file const& of, suspect const& suspected)
{
    if (suspected.unexplained < crashes_needed(suspected, of.options))
        return false;
    if (is_whole_request(suspected))
        return true;
    // Crashes of many engines cut short all answers of a part for a moment.
    if (suspected.was_answered &&
        suspected.last_crash_ms - suspected.answered_at_ms <
            of.options.answered_time.count())
        return false;
    double const odds = std::log(of.options.odds_min);
    return suspected.surprise >=
           std::log(of.parts) + (suspected.was_answered ? 2 * odds : odds);
}

// Parts that engines had begun to answer come first. A deeper part is held by
// fewer requests. If it is the part above it that crashes engines, refusing the
// deeper one first costs a few crashes more; refusing the upper one wrongly
// would refuse many sound requests.
auto class_of(suspect const& of)
{
    bool const is_mostly_begun = of.begun * 2 >= of.crashes;
    return std::tuple(!is_whole_request(of), !of.was_answered, is_mostly_begun,
                      of.depth);
}

bool is_stronger_part(suspect const& left, suspect const& right)
{
    return std::tuple(class_of(left), left.surprise) >
           std::tuple(class_of(right), right.surprise);
}

std::size_t common_crashes(suspect const& left, suspect const& right)
{
    return static_cast<std::size_t>(std::count_if(
        left.unexplained_keys.begin(), left.unexplained_keys.end(),
        [&](crash_key const& key)
        {
            return right.unexplained_keys.contains(key);
        }));
}

// Two parts that stood in almost the same crashes can't be told apart.
bool is_ambiguous(suspect const& best, std::vector<suspect> const& all,
                  culprit_options const& options)
{
    if (best.unexplained >= options.ambiguous_crashes_min)
        return false;
    return std::any_of(all.begin(), all.end(),
                       [&](suspect const& other)
                       {
                           return other.fingerprint != best.fingerprint &&
                                  class_of(other) == class_of(best) &&
                                  common_crashes(best, other) + 1 >=
                                      best.unexplained_keys.size() &&
                                  other.surprise + std::log(options.odds_min) >
                                      best.surprise;
                       });
}

// A whole request that is in as many crashes as any part explains them alone.
suspect const* whole_request_of(std::vector<suspect> const& suspects,
                                suspect const& part)
{
    auto const most = std::max_element(
        suspects.begin(), suspects.end(),
        [](suspect const& left, suspect const& right)
        {
            return std::tuple(left.unexplained_keys.size(), left.depth) <
                   std::tuple(right.unexplained_keys.size(), right.depth);
        });
    bool const is_alone =
        is_whole_request(*most) &&
        most->unexplained_keys.size() >= part.unexplained_keys.size();
    return is_alone ? &*most : nullptr;
}

std::optional<digest> find_culprit(case_file const& of,
                                   std::set<digest> const& known)
{
    std::vector<suspect> suspects;
    for (auto const& [fingerprint, entry] : of.evidence.strikes.entries)
    {
        bool const has_too_few =
            entry.strikes.size() <
            std::min(of.options.crashes_min, of.options.further_crashes_min);
        if (has_too_few || known.contains(fingerprint))
            continue;
        auto suspected = suspect_of(of, fingerprint, entry);
        if (is_convincing(of, suspected))
            suspects.push_back(std::move(suspected));
    }
    if (suspects.empty())
        return std::nullopt;
    auto const& part =
        *std::min_element(suspects.begin(), suspects.end(), is_stronger_part);
    if (is_ambiguous(part, suspects, of.options))
        return std::nullopt;
    auto const* const whole = whole_request_of(suspects, part);
    return whole != nullptr ? whole->fingerprint : part.fingerprint;
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

std::vector<digest> find_culprits(evidence_view const& evidence,
                                  std::set<digest> const& known,
                                  culprit_options const& options, wall_time now)
{
    std::vector<digest> result;
    auto all = known;
    case_file file{evidence, options, now, parts_in_use(evidence, options), {}};
    file.explained = explain(file, all);
    while (auto const found = find_culprit(file, all))
    {
        result.push_back(*found);
        all.insert(*found);
        file.explained = explain(file, all);
    }
    return result;
}

} // namespace jujubestand::quarantine
