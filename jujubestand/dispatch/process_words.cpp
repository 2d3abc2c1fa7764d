#include <jujubestand/dispatch/process_words.hpp>

#include <algorithm>
#include <iterator>
#include <jujubestand/core/wall_clock.hpp>
#include <limits>
#include <optional>
#include <utility>

namespace jujubestand::dispatch
{

namespace
{

/// Far more than the upstreams that a store lists at a time.
constexpr std::size_t rows_limit = 4'096;

void remove_oldest(words_table& table)
{
    table.rows.erase(std::min_element(table.rows.begin(), table.rows.end(),
                                      [](auto const& left, auto const& right)
                                      {
                                          return left.second.number <
                                                 right.second.number;
                                      }));
}

process_words& row_of(words_table& table, process_id const& process)
{
    auto const [row, is_new] = table.rows.try_emplace(process);
    if (!is_new)
        return row->second;
    row->second.number = ++table.last_number;
    if (table.rows.size() > rows_limit)
        remove_oldest(table);
    return row->second;
}

std::optional<process_id> last_process(words_table const& table,
                                       std::string const& upstream)
{
    constexpr auto after_all = std::numeric_limits<std::uint64_t>::max();
    auto const next = table.rows.upper_bound({upstream, after_all});
    if (next == table.rows.begin() ||
        std::prev(next)->first.upstream != upstream)
        return std::nullopt;
    return std::prev(next)->first;
}

} // namespace

void check_clock(words_table& table, std::uint64_t born_ms, wall_time wall_now)
{
    /// Clocks that are kept differ by less.
    constexpr std::chrono::milliseconds difference_min{250};
    wall_time const born{std::chrono::milliseconds{born_ms}};
    if (born > wall_now + difference_min)
        table.clock_tolerance = clock_tolerance;
}

// The process before had ended when this one started. Clocks that differ may
// prolong a pause of the one before, which costs less than a pause not kept.
void record_process(words_table& table, process_id const& process)
{
    auto const last = last_process(table, process.upstream);
    auto& words = row_of(table, process);
    if (!last || *last >= process)
        return;
    auto const before = find_words(table, *last);
    wall_time const born{std::chrono::milliseconds{process.born_ms}};
    if (before.pause_stated_at + table.clock_tolerance < born)
        return;
    words.paused_until = before.paused_until;
    words.pause_stated_at = before.pause_stated_at;
}

process_id latest_process(words_table const& table, process_id const& named)
{
    return std::max(last_process(table, named.upstream).value_or(named), named);
}

process_words find_words(words_table const& table, process_id const& process)
{
    auto const found = table.rows.find(process);
    return found == table.rows.end() ? process_words{} : found->second;
}

bool record_leaving(words_table& table, process_id const& process)
{
    return !std::exchange(row_of(table, process).is_leaving, true);
}

bool record_pause(words_table& table, process_id const& process,
                  std::chrono::milliseconds pause, wall_time wall_now,
                  mono_time now)
{
    auto& words = row_of(table, process);
    words.pause_stated_at = wall_now;
    bool const is_news = words.paused_until <= now;
    words.paused_until = std::max(words.paused_until, now + pause);
    return is_news;
}

} // namespace jujubestand::dispatch
