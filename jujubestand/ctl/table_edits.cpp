#include <jujubestand/ctl/table_edits.hpp>

#include <jujubestand/config/validation.hpp>
#include <ostream>
#include <random>

namespace jujubestand::ctl
{

request_id fresh_nonce()
{
    std::random_device random;
    auto const word = [&random]
    {
        return (std::uint64_t{random()} << 32U) | random();
    };
    return request_id{word(), word()};
}

exit_code usage(command_context const& context, std::string text)
{
    return fail(context, exit_code::usage,
                {reason_code::settings_invalid, std::move(text), {}});
}

void print(command_context const& context, json const& shown)
{
    *context.out << shown.dump(context.is_json ? -1 : 2) << '\n';
}

// Not the version in force: another edit may have followed in the same read.
std::uint64_t version_of(log_session const& session, request_id nonce)
{
    for (auto const& one : session.history())
    {
        if (one.result.nonce == nonce)
            return one.result.winner.value;
    }
    return 0;
}

exit_code publish(command_context const& context, log_session& session,
                  std::vector<config::change> changes)
{
    config::edit const made{fresh_nonce(), session.known().content.version,
                            context.author, std::move(changes)};
    reason why;
    if (!config::apply(session.known().content, made, why))
        return fail(context, exit_code::refused, why);
    auto const code = session.publish(config::pack(made), made.nonce, why);
    if (code != exit_code::done)
        return fail(context, code, why);
    auto const version = version_of(session, made.nonce);
    if (context.is_json)
        print(context, json{{"version", version}});
    else
        *context.out << "accepted as version " << version << '\n';
    return code;
}

} // namespace jujubestand::ctl
