#include <jujubestand/ctl/table_files.hpp>

#include <fstream>
#include <jujubestand/config/validation.hpp>
#include <jujubestand/ctl/log_session.hpp>
#include <jujubestand/ctl/table_edits.hpp>
#include <jujubestand/ctl/table_kinds.hpp>
#include <ostream>

namespace jujubestand::ctl
{

namespace
{

using arguments = std::vector<std::string>;

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

} // namespace

template <class Table>
exit_code import_rows(command_context const& context, arguments const& words)
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

template exit_code import_rows<route_table>(command_context const&,
                                            arguments const&);
template exit_code import_rows<pool_table>(command_context const&,
                                           arguments const&);

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

template exit_code export_rows<route_table>(command_context const&,
                                            arguments const&);
template exit_code export_rows<pool_table>(command_context const&,
                                           arguments const&);

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

} // namespace jujubestand::ctl
