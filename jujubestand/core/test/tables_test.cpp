#include <fstream>
#include <gtest/gtest.h>
#include <jujubestand/core/event.hpp>
#include <jujubestand/core/failure_point.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/verdict.hpp>
#include <set>
#include <sstream>

namespace jujubestand
{

namespace
{

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST(tables, names_lead_both_ways)
{
    for (auto const& row : reason_names)
        EXPECT_EQ(from_name(reason_names, row.name), row.value);
    for (auto const& row : verdict_names)
        EXPECT_EQ(from_name(verdict_names, row.name), row.value);
}

TEST(tables, reason_numbers_and_names_are_unique)
{
    std::set<reason_code> numbers;
    std::set<std::string_view> names;
    for (auto const& row : reason_names)
    {
        EXPECT_TRUE(numbers.insert(row.value).second) << row.name;
        EXPECT_TRUE(names.insert(row.name).second) << row.name;
    }
}

TEST(tables, failure_rows_stand_at_their_points)
{
    for (auto const& row : failure_table)
        EXPECT_EQ(row_of(row.point).name, row.name);
}

TEST(tables, worst_verdict_is_never_undone)
{
    EXPECT_EQ(worst(verdict::may_have_run, verdict::not_run),
              verdict::may_have_run);
    EXPECT_EQ(worst(verdict::ran, verdict::not_run), verdict::ran);
}

TEST(tables, event_catalogue_and_enum_agree)
{
    std::string const page =
        read_file(std::string(JUJUBESTAND_SOURCE_DIR) + "/docs/EVENTS.md");
    std::size_t rows = 0;
    for (auto const& row : event_names())
    {
        std::string const start =
            "| " + std::to_string(static_cast<unsigned>(row.value)) + " | " +
            std::string(row.name) + " | ";
        EXPECT_NE(page.find(start), std::string::npos) << start;
        ++rows;
    }
    std::size_t listed = 0;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);)
    {
        bool const is_row = line.size() > 2 && line[2] >= '0' && line[2] <= '9';
        listed += is_row ? 1 : 0;
    }
    EXPECT_EQ(listed, rows);
}

} // namespace jujubestand
