#ifndef JUJUBESTAND_CTL_COMMAND_HPP
#define JUJUBESTAND_CTL_COMMAND_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/reason.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::ctl
{

/// \brief How the tool ends; `--help` lists these.
enum class exit_code : std::uint8_t
{
    done = 0,
    usage = 1,
    refused = 2,
    conflict = 3,
    unknown = 4,
    unreachable = 5,
};

/// \brief What each exit code means to a script.
inline constexpr std::array<enum_name<exit_code>, 6> exit_code_names{{
    {exit_code::done, "done"},
    {exit_code::usage, "the command line is wrong"},
    {exit_code::refused, "a rule forbids it, or there is no such row"},
    {exit_code::conflict, "somebody else's edit came first"},
    {exit_code::unknown, "it may have taken effect, or may yet"},
    {exit_code::unreachable, "no answer; nothing was changed"},
}};

/// \brief Options of every command, and where its output goes.
struct command_context
{
    std::optional<address> log;
    std::optional<address> instances;
    /// Borne to the processes' pages for operators; may be empty.
    std::string operator_key;
    std::string author;
    std::chrono::milliseconds timeout{5'000};
    bool is_json = false;
    std::ostream* out = nullptr;
    std::ostream* err = nullptr;
};

/// \brief One command: `GROUP VERB ARGUMENTS...`.
struct command
{
    std::string_view group;
    /// Empty where the group is the whole name.
    std::string_view verb;
    /// Arguments and a short description, for `--help`.
    std::string_view usage;
    exit_code (*run)(command_context const& context,
                     std::vector<std::string> const& arguments);
};

/// \brief `KEY=VALUE`, as the arguments of commands write options.
struct assignment
{
    std::string key;
    std::string value;
};

/// \brief Splits at the first `=`; nothing where there is none.
[[nodiscard]] std::optional<assignment>
parse_assignment(std::string const& word);

/// \brief Prints a reason, as text or JSON. \returns `code`
exit_code fail(command_context const& context, exit_code code,
               reason const& why);

/// \brief Commands on the two tables.
[[nodiscard]] std::span<command const> table_commands() noexcept;

/// \brief Commands that ask the running processes.
[[nodiscard]] std::span<command const> fleet_commands() noexcept;

/// \brief All commands, in the order of `--help`.
[[nodiscard]] std::vector<command> all_commands();

/// \brief Parses a command line and runs its command.
[[nodiscard]] exit_code run(std::vector<std::string> const& arguments,
                            std::ostream& out, std::ostream& err);

} // namespace jujubestand::ctl

#endif
