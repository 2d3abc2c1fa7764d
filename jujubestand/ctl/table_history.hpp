#ifndef JUJUBESTAND_CTL_TABLE_HISTORY_HPP
#define JUJUBESTAND_CTL_TABLE_HISTORY_HPP

#include <jujubestand/ctl/command.hpp>
#include <string>
#include <vector>

/// \brief Commands on the edits that the log still keeps.
namespace jujubestand::ctl
{

/// \brief Prints the edits, one a line.
[[nodiscard]] exit_code history(command_context const& context,
                                std::vector<std::string> const& words);

/// \brief Prints the rows of a table that differ between two versions.
template <class Table>
[[nodiscard]] exit_code diff(command_context const& context,
                             std::vector<std::string> const& words);

} // namespace jujubestand::ctl

#endif
