#include <bench/support/node_log.hpp>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <fstream>

namespace jujubestand::bench
{

namespace
{

constexpr std::int64_t microseconds_per_second = 1'000'000;
// `I20261203 22:38:19.859678 ...`
constexpr std::size_t second_end = 18;
constexpr std::size_t stamp_end = 25;

std::int64_t parse_stamp(std::string_view line)
{
    std::string const text(line.substr(1, second_end - 1));
    std::tm parts{};
    if (::strptime(text.c_str(), "%Y%m%d %H:%M:%S", &parts) == nullptr)
        return 0;
    parts.tm_isdst = -1;
    std::int64_t micros = 0;
    std::from_chars(line.data() + second_end + 1, line.data() + stamp_end,
                    micros);
    return std::mktime(&parts) * microseconds_per_second + micros;
}

bool is_start(std::string const& line)
{
    return line.find("] E1000 ") != std::string::npos;
}

} // namespace

applied_tables parse_applied(std::string_view line)
{
    constexpr std::string_view mark = "] E1400 tables_applied version=";
    applied_tables seen;
    auto const place = line.find(mark);
    if (place == std::string_view::npos || place < stamp_end)
        return seen;
    seen.at_us = parse_stamp(line);
    auto const* digits = line.data() + place + mark.size();
    std::from_chars(digits, line.data() + line.size(), seen.version);
    return seen;
}

std::vector<applied_tables> read_applied(std::string const& file)
{
    std::vector<applied_tables> all;
    std::uint32_t starts = 0;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);)
    {
        starts += is_start(line) ? 1 : 0;
        auto seen = parse_applied(line);
        seen.life = starts;
        if (seen.version != 0)
            all.push_back(seen);
    }
    return all;
}

std::uint32_t count_reverts(std::vector<applied_tables> const& seen)
{
    std::uint32_t reverts = 0;
    for (std::size_t at = 1; at < seen.size(); ++at)
    {
        bool const is_same_life = seen[at].life == seen[at - 1].life;
        bool const is_lower = seen[at].version < seen[at - 1].version;
        reverts += is_same_life && is_lower ? 1 : 0;
    }
    return reverts;
}

std::int64_t in_force_at(std::vector<applied_tables> const& seen,
                         std::uint64_t version)
{
    auto const found = std::ranges::find_if(seen,
                                            [version](applied_tables const& one)
                                            {
                                                return one.version >= version;
                                            });
    return found == seen.end() ? 0 : found->at_us;
}

} // namespace jujubestand::bench
