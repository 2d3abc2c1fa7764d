#include <fstream>
#include <gtest/gtest.h>
#include <jujubestand/entry/metrics.hpp>
#include <set>
#include <sstream>

namespace jujubestand::entry
{

namespace
{

std::set<std::string> listed_metrics()
{
    std::ifstream page(std::string(JUJUBESTAND_SOURCE_DIR) +
                       "/docs/METRICS.md");
    std::set<std::string> names;
    bool is_entry = false;
    for (std::string line; std::getline(page, line);)
    {
        if (line.starts_with("## "))
            is_entry = line == "## Entry";
        std::string const start = "| `";
        if (is_entry && line.starts_with(start))
            names.insert(line.substr(
                start.size(), line.find('`', start.size()) - start.size()));
    }
    return names;
}

} // namespace

TEST(metrics, the_page_lists_what_is_counted_and_nothing_else)
{
    prometheus::Registry registry;
    metrics counts(registry);
    std::set<std::string> counted;
    pool_id const pool("engines");
    counts.refused(reason_code::unknown_team);
    counts.first_token(pool, microseconds(1'000));
    counts.ended(pool, verdict::ran, true, microseconds(2'000));
    counts.used(pool, link::last{});
    counts.attempt_failed(pool, reason_code::queue_full);
    counts.probe_sent(1);
    counts.probe_answered(1);
    counts.open(1);
    for (auto const& family : registry.Collect())
        counted.insert(family.name);
    EXPECT_EQ(counted, listed_metrics());
}

} // namespace jujubestand::entry
