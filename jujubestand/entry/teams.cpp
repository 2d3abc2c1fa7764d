#include <jujubestand/entry/teams.hpp>

#include <jujubestand/core/digest.hpp>

namespace jujubestand::entry
{

namespace
{

constexpr std::string_view scheme = "Bearer ";

std::optional<team_id> refuse(reason& why, std::string text)
{
    why = reason{reason_code::unknown_team, std::move(text), "Authorization"};
    return std::nullopt;
}

} // namespace

team_table make_team_table(std::vector<settings::team> const& teams)
{
    team_table table;
    for (auto const& team : teams)
    {
        for (auto const& digest : team.key_digests)
            table.by_digest.emplace(digest, team.id);
    }
    return table;
}

std::optional<team_id> authenticate(team_table const& table,
                                    std::vector<http::field> const& headers,
                                    reason& why)
{
    if (http::count_headers(headers, "Authorization") != 1)
        return refuse(why, "one Authorization field is needed");
    auto const value = *http::find_header(headers, "Authorization");
    bool const is_bearer =
        value.size() > scheme.size() &&
        http::same_name(value.substr(0, scheme.size()), scheme);
    if (!is_bearer)
        return refuse(why, "a bearer key is needed");
    // Looking a digest up leaks nothing of the key by its timing.
    auto const found =
        table.by_digest.find(sha256_hex(value.substr(scheme.size())));
    if (found == table.by_digest.end())
        return refuse(why, "the key is no team's");
    return found->second;
}

} // namespace jujubestand::entry
