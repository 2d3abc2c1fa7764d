#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>
#include <vector>

namespace jujubestand
{

namespace
{

std::string const root = JUJUBESTAND_SOURCE_DIR;

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    EXPECT_TRUE(file) << path;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string trimmed(std::string const& text)
{
    auto const begin = text.find_first_not_of(" `");
    auto const end = text.find_last_not_of(" `");
    return begin == std::string::npos ? std::string()
                                      : text.substr(begin, end - begin + 1);
}

struct step
{
    std::string file;
    std::string function;
};

std::vector<step> listed_steps()
{
    std::vector<step> steps;
    std::istringstream lines(read_file(root + "/docs/ARCHITECTURE.md"));
    for (std::string line; std::getline(lines, line);)
    {
        std::vector<std::string> cells;
        std::istringstream row(line);
        for (std::string cell; std::getline(row, cell, '|');)
            cells.push_back(trimmed(cell));
        if (cells.size() > 3 && cells[2].ends_with(".cpp"))
            steps.push_back(step{cells[2], cells[3]});
    }
    return steps;
}

} // namespace

TEST(architecture, each_step_names_a_function_that_is_there)
{
    auto const steps = listed_steps();
    EXPECT_GT(steps.size(), 10U);
    for (auto const& listed : steps)
    {
        std::string const source = read_file(root + '/' + listed.file);
        EXPECT_NE(source.find(listed.function + '('), std::string::npos)
            << listed.file << ' ' << listed.function;
    }
}

} // namespace jujubestand
