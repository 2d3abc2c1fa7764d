#include <jujubestand/quarantine/culprits.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace jujubestand::quarantine
{

namespace
{

/// An engine and the incarnation that crashed.
using crash_key = std::pair<upstream_id, incarnation_id>;

/// What is known of one crash.
struct crash
{
    /// A request was in flight that the engine had begun to answer.
    bool has_begun = false;
    bool is_explained = false;
};

using crash_map = std::map<crash_key, crash>;

/// A fingerprint and its crashes.
struct suspect
{
    digest fingerprint;
    std::uint8_t depth = 0;
    std::size_t crashes = 0;
    /// Crashes that no known culprit explains.
    std::set<crash_key> unexplained;
    bool was_answered = false;
};

crash_key key_of(strike const& recorded)
{
    return {recorded.upstream, recorded.incarnation};
}

std::int64_t ms_of(wall_time time)
{
    return time.time_since_epoch().count();
}

crash_map crashes_of(strike_table const& table, std::set<digest> const& known,
                     culprit_options const& options, wall_time now)
{
    crash_map result;
    auto const settled_ms = ms_of(now - options.settling_time);
    for (auto const& [fingerprint, entry] : table.entries)
    {
        for (auto const& recorded : entry.strikes)
        {
            if (!is_active(table, recorded, now) || recorded.at_ms > settled_ms)
                continue;
            auto& of = result[key_of(recorded)];
            of.has_begun = of.has_begun || recorded.has_begun;
            of.is_explained = of.is_explained || known.contains(fingerprint);
        }
    }
    return result;
}

suspect suspect_of(digest const& fingerprint, strike_entry const& entry,
                   crash_map const& crashes, culprit_options const& options,
                   wall_time now)
{
    suspect result;
    result.fingerprint = fingerprint;
    result.was_answered =
        entry.cleared_until_ms > 0 &&
        entry.cleared_until_ms > ms_of(now - options.answer_lifetime);
    for (auto const& recorded : entry.strikes)
    {
        auto const found = crashes.find(key_of(recorded));
        if (found == crashes.end() ||
            recorded.has_begun != found->second.has_begun)
            continue;
        result.depth = std::max(result.depth, recorded.depth);
        ++result.crashes;
        if (!found->second.is_explained)
            result.unexplained.insert(found->first);
    }
    return result;
}

std::size_t crashes_needed(suspect const& of, culprit_options const& options)
{
    if (of.was_answered)
        return options.answered_crashes_min;
    bool const is_partly_explained = of.crashes > of.unexplained.size();
    return is_partly_explained && of.crashes >= options.crashes_min
               ? options.further_crashes_min
               : options.crashes_min;
}

bool is_whole_request(suspect const& of)
{
    return of.depth == whole_request_depth;
}

// A deeper part is held by fewer requests. If it is the part above it that
// crashes engines, refusing the deeper one first costs a few crashes more;
// refusing the upper one wrongly would refuse many sound requests.
bool is_stronger_part(suspect const& left, suspect const& right)
{
    auto const rank = [](suspect const& of)
    {
        return std::tuple(!is_whole_request(of), !of.was_answered, of.depth,
                          of.unexplained.size());
    };
    return rank(left) > rank(right);
}

bool has_more_crashes(suspect const& left, suspect const& right)
{
    return left.unexplained.size() > right.unexplained.size();
}

// A whole request that is in as many crashes as any part explains them alone.
suspect const& best_of(std::vector<suspect> const& suspects)
{
    auto const part =
        std::min_element(suspects.begin(), suspects.end(), is_stronger_part);
    auto const most = std::min_element(
        suspects.begin(), suspects.end(),
        [](suspect const& left, suspect const& right)
        {
            return std::tuple(left.unexplained.size(), left.depth) >
                   std::tuple(right.unexplained.size(), right.depth);
        });
    return is_whole_request(*most) && !has_more_crashes(*part, *most) ? *most
                                                                      : *part;
}

// Two suspects that stood in the same crashes cannot be told apart.
bool is_ambiguous(suspect const& best, std::vector<suspect> const& all)
{
    return std::any_of(all.begin(), all.end(),
                       [&](suspect const& other)
                       {
                           return other.fingerprint != best.fingerprint &&
                                  other.depth == best.depth &&
                                  other.was_answered == best.was_answered &&
                                  other.unexplained == best.unexplained;
                       });
}

std::optional<digest> find_culprit(strike_table const& table,
                                   std::set<digest> const& known,
                                   culprit_options const& options,
                                   wall_time now)
{
    auto const crashes = crashes_of(table, known, options, now);
    std::vector<suspect> suspects;
    for (auto const& [fingerprint, entry] : table.entries)
    {
        auto of = suspect_of(fingerprint, entry, crashes, options, now);
        if (!known.contains(fingerprint) &&
            of.unexplained.size() >= crashes_needed(of, options))
            suspects.push_back(std::move(of));
    }
    if (suspects.empty())
        return std::nullopt;
    auto const& best = best_of(suspects);
    if (best.unexplained.size() < options.ambiguous_crashes_min &&
        is_ambiguous(best, suspects))
        return std::nullopt;
    return best.fingerprint;
}

} // namespace

std::vector<digest> find_culprits(strike_table const& table,
                                  std::set<digest> const& known,
                                  culprit_options const& options, wall_time now)
{
    std::vector<digest> result;
    auto all = known;
    while (auto const found = find_culprit(table, all, options, now))
    {
        result.push_back(*found);
        all.insert(*found);
    }
    return result;
}

} // namespace jujubestand::quarantine
