#include <jujubestand/quarantine/culprits.hpp>

#include <algorithm>
#include <cmath>
#include <jujubestand/quarantine/suspects.hpp>
#include <optional>
#include <tuple>

namespace jujubestand::quarantine
{

namespace
{

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
bool is_convincing(crash_analysis const& of, suspect const& suspected)
{
    if (suspected.unexplained < crashes_needed(suspected, of.options))
        return false;
    if (is_whole_request(suspected))
        return true;
    // Crashes of many engines cut short all answers of a part for a moment.
    if (suspected.was_answered &&
        suspected.last_crash_ms - suspected.answered_at_ms <
            of.options.unanswered_min.count())
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

std::vector<suspect> convincing_suspects(crash_analysis const& of,
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
    return suspects;
}

std::vector<digest> whole_requests_among(std::vector<suspect> const& suspects)
{
    std::vector<digest> result;
    for (auto const& suspected : suspects)
    {
        if (is_whole_request(suspected))
            result.push_back(suspected.fingerprint);
    }
    return result;
}

// Where nothing tells suspects apart, parts wait for more crashes. Whole
// requests don't: each further send may end one upstream more, and refusing a
// sound one as well costs its caller alone.
std::vector<digest> strongest_culprits(crash_analysis const& of,
                                       std::set<digest> const& known)
{
    auto const suspects = convincing_suspects(of, known);
    if (suspects.empty())
        return {};
    auto const& part =
        *std::min_element(suspects.begin(), suspects.end(), is_stronger_part);
    if (is_ambiguous(part, suspects, of.options))
        return whole_requests_among(suspects);
    auto const* const whole = whole_request_of(suspects, part);
    return {whole != nullptr ? whole->fingerprint : part.fingerprint};
}

} // namespace

std::vector<digest> find_culprits(evidence_view const& evidence,
                                  std::set<digest> const& known,
                                  culprit_options const& options, wall_time now)
{
    std::vector<digest> result;
    auto all = known;
    for (;;)
    {
        auto const found =
            strongest_culprits(make_analysis(evidence, all, options, now), all);
        if (found.empty())
            return result;
        result.insert(result.end(), found.begin(), found.end());
        all.insert(found.begin(), found.end());
    }
}

} // namespace jujubestand::quarantine
