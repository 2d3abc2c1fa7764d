#include <jujubestand/quarantine/call_keys.hpp>

#include <algorithm>
#include <string>

namespace jujubestand::quarantine
{

namespace
{

/// Parts kept of each end of a prompt.
constexpr std::size_t end_parts = 8;

} // namespace

std::uint64_t hash_of_part(std::string_view role, std::string_view text)
{
    std::string bytes;
    append_part(bytes, role);
    append_part(bytes, text);
    return digest_of(bytes).low;
}

std::vector<std::uint64_t> limit_parts(std::vector<std::uint64_t> parts)
{
    if (parts.size() > 2 * end_parts)
        parts.erase(parts.begin() + end_parts, parts.end() - end_parts);
    return parts;
}

// A part that stands twice in a prompt is one suspect.
std::vector<suspect_key> keys_of_call(team_id const& team,
                                      route_id const& route,
                                      std::string_view body_digest,
                                      std::vector<std::uint64_t> const& parts)
{
    std::vector<suspect_key> keys;
    for (auto const part : limit_parts(parts))
    {
        auto const fingerprint = fingerprint_of_part(part);
        bool const is_known =
            std::any_of(keys.begin(), keys.end(),
                        [&](suspect_key const& key)
                        {
                            return key.fingerprint == fingerprint;
                        });
        if (!is_known)
            keys.push_back(
                {fingerprint, static_cast<std::uint8_t>(keys.size())});
    }
    keys.push_back(
        {fingerprint_of(team, route, body_digest), whole_request_depth});
    return keys;
}

} // namespace jujubestand::quarantine
