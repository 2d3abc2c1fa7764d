#ifndef JUJUBESTAND_CTL_TABLE_EDITS_HPP
#define JUJUBESTAND_CTL_TABLE_EDITS_HPP

#include <jujubestand/ctl/command.hpp>
#include <jujubestand/ctl/log_session.hpp>
#include <jujubestand/ctl/rows.hpp>
#include <string>
#include <vector>

/// \brief What commands on the tables share.
namespace jujubestand::ctl
{

/// \brief A number that names one edit.
[[nodiscard]] request_id fresh_nonce();

/// \brief Ends a command that was called wrongly.
[[nodiscard]] exit_code usage(command_context const& context, std::string text);

/// \brief Opens the log and reads it whole, then hands on.
template <class Use>
[[nodiscard]] exit_code with_tables(command_context const& context, Use use)
{
    if (!context.log)
        return usage(context, "--log IP:PORT is missing");
    log_session session(*context.log, context.timeout);
    reason why;
    auto const code = session.read_to_end(why);
    if (code != exit_code::done)
        return fail(context, code, why);
    return use(session);
}

/// \brief Shows a document, on one line where other programs read it.
void print(command_context const& context, json const& shown);

/// \brief The version that an edit became; 0 if it became none.
[[nodiscard]] std::uint64_t version_of(log_session const& session,
                                       request_id nonce);

/// \brief Appends an edit and tells how it ended.
[[nodiscard]] exit_code publish(command_context const& context,
                                log_session& session,
                                std::vector<config::change> changes);

} // namespace jujubestand::ctl

#endif
