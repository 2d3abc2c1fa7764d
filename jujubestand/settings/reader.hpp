#ifndef JUJUBESTAND_SETTINGS_READER_HPP
#define JUJUBESTAND_SETTINGS_READER_HPP

#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/reason.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace jujubestand::settings
{

/// \brief Parses TOML. A syntax error becomes a problem with its place.
[[nodiscard]] std::optional<toml::table>
read_document(std::string_view text, std::string const& file,
              std::vector<reason>& problems);

/// \brief Reads one table and remembers which keys were asked for, so that
/// `done` can report the others as unknown.
class reader
{
public:
    /// \param table must outlive the reader, as must `problems`
    reader(toml::table const& table, std::string const& file,
           std::vector<reason>& problems, std::string path = {});

    /// \brief A sub-table that has to be there.
    [[nodiscard]] reader section(std::string_view key);
    /// \brief A sub-table that may be missing; then it reads as empty.
    [[nodiscard]] reader optional_section(std::string_view key);
    /// \brief All rows of an array of tables.
    [[nodiscard]] std::vector<reader> rows(std::string_view key);

    [[nodiscard]] std::string required_text(std::string_view key);
    /// \brief A text that may be missing; then it reads as empty.
    [[nodiscard]] std::string optional_text(std::string_view key);
    [[nodiscard]] std::vector<std::string> required_texts(std::string_view key);
    [[nodiscard]] address required_address(std::string_view key);
    [[nodiscard]] std::optional<address> optional_address(std::string_view key);
    [[nodiscard]] std::vector<address> optional_addresses(std::string_view key);

    /// \brief Reads an integer within a range; keeps `value` if missing.
    void number(std::string_view key, std::int64_t lowest, std::int64_t highest,
                std::int64_t& value);

    /// \brief Adds a problem at a key of this table.
    void fail(std::string_view key, std::string_view expected);

    /// \brief Reports all keys that nobody asked for.
    void done();

private:
    [[nodiscard]] toml::node const* find(std::string_view key);
    void fail_at(toml::source_position where, std::string_view key,
                 std::string_view expected);
    [[nodiscard]] std::optional<address> address_of(toml::node const& node,
                                                    std::string_view key);

    toml::table const* table;
    std::string file;
    std::vector<reason>* problems;
    std::string path;
    std::set<std::string, std::less<>> asked;
};

} // namespace jujubestand::settings

#endif
