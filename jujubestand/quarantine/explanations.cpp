#include <jujubestand/quarantine/explanations.hpp>

namespace jujubestand::quarantine
{

namespace
{

/// Culprits that were in flight at a crash.
struct known_culprits
{
    std::size_t requests = 0;
    std::size_t parts = 0;
};

// Of several requests that are refused, most may be sound: what they have in
// common, a part maybe, is still to be found.
explanation explanation_by(known_culprits const& known)
{
    if (known.parts > 0)
        return explanation::part;
    return known.requests == 1 ? explanation::request : explanation::none;
}

} // namespace

std::map<crash_key, explanation> explain(strike_table const& strikes,
                                         std::set<digest> const& known)
{
    std::map<crash_key, known_culprits> culprits;
    for (auto const& fingerprint : known)
    {
        auto const found = strikes.entries.find(fingerprint);
        if (found == strikes.entries.end())
            continue;
        for (auto const& recorded : found->second.strikes)
        {
            auto& at = culprits[crash_of(recorded)];
            ++(is_part(fingerprint) ? at.parts : at.requests);
        }
    }
    std::map<crash_key, explanation> result;
    for (auto const& [key, at] : culprits)
        result[key] = explanation_by(at);
    return result;
}

} // namespace jujubestand::quarantine
