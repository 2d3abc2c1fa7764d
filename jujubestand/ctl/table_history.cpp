#include <jujubestand/ctl/table_history.hpp>

#include <jujubestand/ctl/log_session.hpp>
#include <jujubestand/ctl/table_edits.hpp>
#include <jujubestand/ctl/table_kinds.hpp>
#include <ostream>

namespace jujubestand::ctl
{

namespace
{

using arguments = std::vector<std::string>;

json history_json(decided_edit const& one)
{
    return json{
        {"offset", one.result.offset.value},
        {"appended_ms", one.appended.time_since_epoch().count()},
        {"author", one.result.author},
        {"outcome", to_name(config::edit_outcome_names, one.result.outcome)},
        {"version", one.result.winner.value},
        {"by", one.result.winner_author},
        {"why", one.result.why.text},
    };
}

std::optional<config::tables> at_version(log_session const& session,
                                         std::string const& text)
{
    if (text == "0")
        return config::tables{};
    for (auto const& one : session.history())
    {
        auto const& version = one.after.version;
        if (std::to_string(version.value) == text)
            return one.after;
    }
    return std::nullopt;
}

template <class Table>
json difference(config::tables const& from, config::tables const& to)
{
    json lines = json::array();
    auto const& before = Table::rows(from);
    auto const& after = Table::rows(to);
    for (auto const& [id, row] : before)
    {
        if (!after.contains(id))
            lines.push_back({{"deleted", to_json(row)}});
    }
    for (auto const& [id, row] : after)
    {
        auto const found = before.find(id);
        if (found == before.end())
            lines.push_back({{"added", to_json(row)}});
        else if (!(found->second == row))
            lines.push_back(
                {{"before", to_json(found->second)}, {"after", to_json(row)}});
    }
    return lines;
}

} // namespace

exit_code history(command_context const& context, arguments const&)
{
    return with_tables(context,
                       [&context](log_session const& session)
                       {
                           for (auto const& one : session.history())
                               *context.out << history_json(one).dump() << '\n';
                           return exit_code::done;
                       });
}

template <class Table>
exit_code diff(command_context const& context, arguments const& words)
{
    if (words.size() != 2)
        return usage(context, "expected two versions");
    return with_tables(
        context,
        [&](log_session const& session)
        {
            auto const from = at_version(session, words[0]);
            auto const to = at_version(session, words[1]);
            if (!from || !to)
                return fail(context, exit_code::refused,
                            {reason_code::log_truncated,
                             "the log does not keep this version",
                             from ? words[1] : words[0]});
            for (auto const& line : difference<Table>(*from, *to))
                *context.out << line.dump() << '\n';
            return exit_code::done;
        });
}

template exit_code diff<route_table>(command_context const&, arguments const&);
template exit_code diff<pool_table>(command_context const&, arguments const&);

} // namespace jujubestand::ctl
