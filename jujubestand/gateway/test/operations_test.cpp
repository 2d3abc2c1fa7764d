#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <jujubestand/core/event.hpp>
#include <regex>
#include <sstream>
#include <string>

namespace jujubestand::gateway
{

namespace
{

std::string read_file(std::filesystem::path const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string sources()
{
    std::string text;
    for (char const* folder : {"gateway", "agent"})
    {
        auto const path = std::filesystem::path(JUJUBESTAND_SOURCE_DIR) /
                          "jujubestand" / folder;
        for (auto const& file : std::filesystem::directory_iterator(path))
        {
            if (file.path().extension() == ".cpp")
                text += read_file(file.path());
        }
    }
    return text;
}

std::string book()
{
    return read_file(std::filesystem::path(JUJUBESTAND_SOURCE_DIR) /
                     "docs/OPERATIONS.md");
}

} // namespace

// The operations manual must quote only log lines whose events and fields the
// programs write.
TEST(operations, quoted_lines_have_events_and_fields_that_exist)
{
    std::string const code = sources();
    std::string const page = book();
    std::regex const line(R"(\n    E(\d+) (\w+) (.*))");
    std::regex const field(R"((\w+)=)");
    int lines = 0;
    for (std::sregex_iterator at(page.begin(), page.end(), line), end;
         at != end; ++at, ++lines)
    {
        auto const number = static_cast<event_number>(std::stoi((*at)[1]));
        EXPECT_EQ(to_name(number), (*at)[2].str());
        std::string const fields = (*at)[3];
        for (std::sregex_iterator key(fields.begin(), fields.end(), field);
             key != end; ++key)
        {
            std::string const name = (*key)[1];
            bool const is_written =
                name == "request" ||
                code.find("{\"" + name + "\",") != std::string::npos;
            EXPECT_TRUE(is_written) << name;
        }
    }
    EXPECT_GE(lines, 8);
}

TEST(operations, every_number_in_the_manual_is_an_event)
{
    std::string const page = book();
    std::regex const number(R"(E(\d{4}))");
    for (std::sregex_iterator at(page.begin(), page.end(), number), end;
         at != end; ++at)
        EXPECT_NE(to_name(static_cast<event_number>(std::stoi((*at)[1]))),
                  "unknown")
            << (*at)[0];
}

} // namespace jujubestand::gateway
