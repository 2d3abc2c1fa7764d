#include <fstream>
#include <jujubestand/config/validation.hpp>
#include <jujubestand/ctl/log_session.hpp>
#include <jujubestand/ctl/rows.hpp>
#include <jujubestand/ctl/table_edits.hpp>
#include <ostream>

namespace jujubestand::ctl
{

namespace
{

using arguments = std::vector<std::string>;

// What differs between the two tables.
struct route_table
{
    static constexpr char const* key = "routes";

    static auto const& rows(config::tables const& content)
    {
        return content.routes;
    }

    static auto read(json const& shown, reason& why)
    {
        return route_from_json(shown, why);
    }

    static config::change set(config::route row)
    {
        return {config::change_kind::set_route, std::move(row), {}};
    }

    static config::change remove(std::string const& name)
    {
        config::change made;
        made.kind = config::change_kind::delete_route;
        made.route_row.id = route_id(name);
        return made;
    }

    static config::route named(std::string const& name)
    {
        config::route row;
        row.id = route_id(name);
        return row;
    }
};

struct pool_table
{
    static constexpr char const* key = "pools";

    static auto const& rows(config::tables const& content)
    {
        return content.pools;
    }

    static auto read(json const& shown, reason& why)
    {
        return pool_from_json(shown, why);
    }

    static config::change set(config::pool row)
    {
        return {config::change_kind::set_pool, {}, std::move(row)};
    }

    static config::change remove(std::string const& name)
    {
        config::change made;
        made.kind = config::change_kind::delete_pool;
        made.pool_row.id = pool_id(name);
        return made;
    }

    static config::pool named(std::string const& name)
    {
        config::pool row;
        row.id = pool_id(name);
        return row;
    }
};

template <class Table>
json rows_json(config::tables const& content)
{
    json rows = json::array();
    for (auto const& [id, row] : Table::rows(content))
        rows.push_back(to_json(row));
    return rows;
}

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

std::optional<json> read_file(std::string const& path, reason& why)
{
    std::ifstream file(path);
    json shown = json::parse(file, nullptr, false);
    if (!file || shown.is_discarded() || !shown.is_object())
    {
        why = {reason_code::malformed_json, "not a JSON object", path};
        return std::nullopt;
    }
    return shown;
}

template <class Table>
bool add_rows(json const& file, std::vector<config::change>& changes,
              reason& why)
{
    for (auto const& shown : file.value(Table::key, json::array()))
    {
        auto row = Table::read(shown, why);
        if (!row)
            return false;
        changes.push_back(Table::set(std::move(*row)));
    }
    return true;
}

template <class Table>
exit_code import(command_context const& context, arguments const& words)
{
    if (words.size() != 1)
        return usage(context, "expected one file");
    reason why;
    std::vector<config::change> changes;
    auto const file = read_file(words[0], why);
    if (!file || !add_rows<Table>(*file, changes, why))
        return fail(context, exit_code::refused, why);
    return with_tables(context,
                       [&](log_session& session)
                       {
                           return publish(context, session, changes);
                       });
}

template <class Table>
exit_code export_rows(command_context const& context, arguments const&)
{
    return with_tables(context,
                       [&context](log_session const& session)
                       {
                           auto const& content = session.known().content;
                           print(context,
                                 json{{"version", content.version.value},
                                      {Table::key, rows_json<Table>(content)}});
                           return exit_code::done;
                       });
}

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

exit_code export_all(command_context const& context, arguments const&)
{
    return with_tables(
        context,
        [&context](log_session const& session)
        {
            auto const& content = session.known().content;
            print(context, json{{"version", content.version.value},
                                {"pools", rows_json<pool_table>(content)},
                                {"routes", rows_json<route_table>(content)}});
            return exit_code::done;
        });
}

// Does not ask what is in force: it is for when nobody can tell.
exit_code restore(command_context const& context, arguments const& words)
{
    if (words.size() != 1 || !context.log)
        return usage(context, "expected --log and one file");
    reason why;
    config::edit whole;
    auto const file = read_file(words[0], why);
    if (!file || !add_rows<pool_table>(*file, whole.changes, why) ||
        !add_rows<route_table>(*file, whole.changes, why))
        return fail(context, exit_code::refused, why);
    auto content = config::apply(config::tables{}, whole, why);
    if (!content)
        return fail(context, exit_code::refused, why);
    log_session session(*context.log, context.timeout);
    auto code = session.read_to_end(why);
    if (code == exit_code::unreachable)
        return fail(context, code, why);
    config::restore const made{fresh_nonce(), context.author, *content};
    code = session.publish(config::pack(made), made.nonce, why);
    if (code != exit_code::done)
        return fail(context, code, why);
    *context.out << "restored as version " << version_of(session, made.nonce)
                 << '\n';
    return code;
}

constexpr auto commands = std::to_array<command>({
    {"route", "list", "", list<route_table>},
    {"route", "show", "NAME", show<route_table>},
    {"route", "set", "NAME KEY=VALUE...  (lists by commas)", set<route_table>},
    {"route", "delete", "NAME...", remove<route_table>},
    {"route", "import", "FILE  sets all rows of a JSON file in one edit",
     import <route_table>},
    {"route", "export", "", export_rows<route_table>},
    {"route", "history", "  edits that the log still keeps", history},
    {"route", "diff", "FROM TO  two versions", diff<route_table>},
    {"pool", "list", "", list<pool_table>},
    {"pool", "show", "NAME", show<pool_table>},
    {"pool", "set", "NAME KEY=VALUE...  (roles=UPSTREAM:ROLE,...)",
     set<pool_table>},
    {"pool", "delete", "NAME...", remove<pool_table>},
    {"pool", "import", "FILE", import <pool_table>},
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
