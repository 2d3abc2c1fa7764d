#include <fstream>
#include <gtest/gtest.h>
#include <jujubestand/settings/settings.hpp>
#include <sstream>

namespace jujubestand::settings
{

namespace
{

std::string const common = R"([process]
instance = "a1"
data_centre = "almaty-a"
link_key = "0123456789abcdef"
[listen]
http = "127.0.0.1:0"
link = "[::1]:0"
[platform]
log = "127.0.0.1:1"
instances = "127.0.0.1:2"
)";

std::string const with_team = common +
                              "[[team]]\nname = \"depot\"\nkey_sha256 = [\"" +
                              std::string(64, 'a') + "\"]\n";

std::vector<reason> problems_of(std::string const& text, role as = role::entry)
{
    std::vector<reason> problems;
    EXPECT_FALSE(parse(text, "f.toml", as, problems));
    return problems;
}

} // namespace

TEST(settings, a_whole_file_is_read)
{
    std::vector<reason> problems;
    auto const read = parse(with_team + "[limits]\ncalls_limit = 7\n", "f.toml",
                            role::entry, problems);
    ASSERT_TRUE(read) << to_text(problems.at(0));
    EXPECT_EQ(read->instance.text, "a1");
    EXPECT_EQ(read->link.host, "::1");
    EXPECT_EQ(read->calls_limit, 7);
    EXPECT_EQ(read->teams.at(0).id.text, "depot");
}

TEST(settings, an_unknown_key_is_named_with_its_place)
{
    auto const problems = problems_of(with_team + "[limits]\nbody_limit = 1\n");
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].place, "f.toml:15:1 limits.body_limit");
}

TEST(settings, a_wrong_type_says_what_was_expected)
{
    auto const problems =
        problems_of(with_team + "[limits]\ncalls_limit = \"7\"\n");
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].text, "expected an integer from 1 to 1000000");
}

TEST(settings, out_of_range_is_refused)
{
    EXPECT_EQ(problems_of(with_team + "[limits]\ncalls_limit = 0\n").size(),
              1U);
}

TEST(settings, a_missing_address_is_refused)
{
    auto const problems = problems_of(with_team, role::sidecar);
    ASSERT_FALSE(problems.empty());
    EXPECT_EQ(problems[0].place, "f.toml:1:1 upstream");
}

TEST(settings, a_name_is_no_address)
{
    std::string text = with_team;
    text.replace(text.find("127.0.0.1:1"), 11, "localhost:1");
    EXPECT_EQ(problems_of(text).size(), 1U);
}

TEST(settings, broken_toml_gives_line_and_column)
{
    auto const problems = problems_of("[process\n");
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].place.rfind("f.toml:1:", 0), 0U);
}

// Found by fuzzing: toml++ has undefined behaviour on this key.
TEST(settings, a_letter_beyond_ascii_in_a_key_is_refused)
{
    auto const problems = problems_of("a = 1\nkey\xcb\x96 = 2\n");
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].place, "f.toml:2:4");
}

TEST(settings, comments_may_have_any_letters)
{
    std::vector<reason> problems;
    EXPECT_TRUE(
        parse("# \xd0\xbe\n" + with_team, "f.toml", role::entry, problems));
}

TEST(settings, a_weak_link_key_is_refused)
{
    std::string text = with_team;
    text.replace(text.find("0123456789abcdef"), 16, "short");
    EXPECT_EQ(problems_of(text).size(), 1U);
}

TEST(settings, keys_older_than_the_log_keeps_are_refused)
{
    EXPECT_EQ(problems_of(with_team + "[claims]\nlog_retention_ms = 3600000\n")
                  .size(),
              1U);
}

TEST(settings, the_reference_page_lists_every_number)
{
    std::ifstream file(std::string(JUJUBESTAND_SOURCE_DIR) +
                       "/docs/operating/settings.md");
    std::ostringstream page;
    page << file.rdbuf();
    settings const defaults;
    for (auto const& row : number_keys())
    {
        std::string const line =
            "| `" + std::string(row.section) + '.' + std::string(row.key) +
            "` | " + std::to_string(defaults.*row.member) + " | " +
            std::to_string(row.lowest) + " to " + std::to_string(row.highest) +
            " | " + std::string(row.meaning) + " |";
        EXPECT_NE(page.str().find(line), std::string::npos) << line;
    }
}

} // namespace jujubestand::settings
