#ifndef JUJUBESTAND_CTL_TABLE_FILES_HPP
#define JUJUBESTAND_CTL_TABLE_FILES_HPP

#include <jujubestand/ctl/command.hpp>
#include <string>
#include <vector>

/// \brief Commands that read tables from JSON files and print them as such.
namespace jujubestand::ctl
{

/// \brief Sets all rows of a file in one edit.
template <class Table>
[[nodiscard]] exit_code import_rows(command_context const& context,
                                    std::vector<std::string> const& words);

/// \brief Prints one table.
template <class Table>
[[nodiscard]] exit_code export_rows(command_context const& context,
                                    std::vector<std::string> const& words);

/// \brief Prints both tables in the form that `restore` reads.
[[nodiscard]] exit_code export_all(command_context const& context,
                                   std::vector<std::string> const& words);

/// \brief Replaces both tables by those of a file.
[[nodiscard]] exit_code restore(command_context const& context,
                                std::vector<std::string> const& words);

} // namespace jujubestand::ctl

#endif
