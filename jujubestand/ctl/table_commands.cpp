#include <jujubestand/ctl/log_session.hpp>
#include <jujubestand/ctl/rows.hpp>
#include <jujubestand/ctl/table_edits.hpp>
#include <jujubestand/ctl/table_files.hpp>
#include <jujubestand/ctl/table_history.hpp>
#include <jujubestand/ctl/table_kinds.hpp>
#include <ostream>

namespace jujubestand::ctl
{

namespace
{

using arguments = std::vector<std::string>;

template <class Table>
exit_code list(command_context const& context, arguments const& /*words*/)
{
    return with_tables(
        context,
        [&context](log_session const& session)
        {
            auto const& content = session.known().content;
            if (context.is_json)
            {
                print(context, json{{"version", content.version.value},
                                    {Table::key, rows_json<Table>(content)}});
                return exit_code::done;
            }
            *context.out << "version " << content.version.value << '\n';
            for (auto const& [id, row] : Table::rows(content))
                *context.out << to_json(row).dump() << '\n';
            return exit_code::done;
        });
}

template <class Table>
exit_code show(command_context const& context, arguments const& words)
{
    if (words.size() != 1)
        return usage(context, "expected one name");
    return with_tables(
        context,
        [&](log_session const& session)
        {
            auto const& rows = Table::rows(session.known().content);
            auto const found = rows.find(Table::named(words[0]).id);
            if (found == rows.end())
                return fail(
                    context, exit_code::refused,
                    {reason_code::edit_invalid, "no such row", words[0]});
            print(context, to_json(found->second));
            return exit_code::done;
        });
}

template <class Table>
exit_code set(command_context const& context, arguments const& words)
{
    if (words.empty())
        return usage(context, "expected a name");
    return with_tables(
        context,
        [&](log_session& session)
        {
            auto const& rows = Table::rows(session.known().content);
            auto const found = rows.find(Table::named(words[0]).id);
            json shown = found == rows.end() ? to_json(Table::named(words[0]))
                                             : to_json(found->second);
            reason why;
            for (std::size_t at = 1; at < words.size(); ++at)
            {
                auto const given = parse_assignment(words[at]);
                if (!given)
                    return usage(context, "expected KEY=VALUE: " + words[at]);
                if (!set_field(shown, given->key, given->value, why))
                    return fail(context, exit_code::usage, why);
            }
            auto row = Table::read(shown, why);
            if (!row)
                return fail(context, exit_code::refused, why);
            return publish(context, session, {Table::set(std::move(*row))});
        });
}

template <class Table>
exit_code remove(command_context const& context, arguments const& words)
{
    if (words.empty())
        return usage(context, "expected names");
    return with_tables(context,
                       [&](log_session& session)
                       {
                           std::vector<config::change> changes;
                           for (auto const& name : words)
                               changes.push_back(Table::remove(name));
                           return publish(context, session, std::move(changes));
                       });
}

constexpr auto commands = std::to_array<command>({
    {"route", "list", "", list<route_table>},
    {"route", "show", "NAME", show<route_table>},
    {"route", "set", "NAME KEY=VALUE...  (lists by commas)", set<route_table>},
    {"route", "delete", "NAME...", remove<route_table>},
    {"route", "import", "FILE  sets all rows of a JSON file in one edit",
     import_rows<route_table>},
    {"route", "export", "", export_rows<route_table>},
    {"route", "history", "  edits that the log still keeps", history},
    {"route", "diff", "FROM TO  two versions", diff<route_table>},
    {"pool", "list", "", list<pool_table>},
    {"pool", "show", "NAME", show<pool_table>},
    {"pool", "set", "NAME KEY=VALUE...  (roles=UPSTREAM:ROLE,...)",
     set<pool_table>},
    {"pool", "delete", "NAME...", remove<pool_table>},
    {"pool", "import", "FILE", import_rows<pool_table>},
    {"pool", "export", "", export_rows<pool_table>},
    {"pool", "history", "", history},
    {"pool", "diff", "FROM TO", diff<pool_table>},
    {"tables", "export", "  both tables, for restore", export_all},
    {"tables", "restore", "FILE  replaces both, whatever is in force", restore},
});

} // namespace

std::span<command const> table_commands() noexcept
{
    return commands;
}

} // namespace jujubestand::ctl
