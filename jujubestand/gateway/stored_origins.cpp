#include <jujubestand/gateway/stored_origins.hpp>

#include <algorithm>
#include <iterator>
#include <jujubestand/core/bounded_unpack.hpp>
#include <jujubestand/placement/rendezvous.hpp>
#include <utility>

namespace jujubestand::gateway
{

namespace
{

constexpr std::size_t kept_limit = 16'384;
constexpr std::size_t batch_limit = 8'192;
constexpr std::chrono::milliseconds retry_delay{500};

template <class Row>
void drop_oldest(std::deque<Row>& rows)
{
    while (rows.size() > kept_limit)
        rows.pop_front();
}

// Callers no longer hold streams that began so long ago. Later ones may stand
// before a few of these, which then go a little later.
void expire(origin_write_queue& state, mono_time now)
{
    auto const is_over = [now](begun_stream const& row)
    {
        return now - row.begun_at > software_memory;
    };
    while (!state.unstored.empty() && is_over(state.unstored.front()))
        state.unstored.pop_front();
    while (!state.stored.empty() && is_over(state.stored.front().second))
        state.stored.pop_front();
}

// Records whose retention is half over are written once more.
void renew(origin_write_queue& state, std::chrono::milliseconds retention,
           mono_time now)
{
    auto& stored = state.stored;
    while (!stored.empty() && now - stored.front().first >= retention / 2)
    {
        state.unstored.push_back(std::move(stored.front().second));
        stored.pop_front();
    }
    drop_oldest(state.unstored);
}

void take_batch(origin_write_queue& state)
{
    std::deque<begun_stream> rest;
    for (auto& row : state.unstored)
    {
        bool const is_taken = state.writing.size() < batch_limit &&
                              state.versions.contains(row.software_version);
        if (is_taken)
            state.writing.push_back(std::move(row));
        else
            rest.push_back(std::move(row));
    }
    state.unstored = std::move(rest);
}

bool needs_storing(traffic::route const& route)
{
    return route.kind == traffic::call_kind::stream && route.is_resumable;
}

} // namespace

std::set<std::string> versions_to_store(stream_origins& origins,
                                        route_pools const& former_pools,
                                        traffic::tables const& tables,
                                        dispatch::state const& dispatcher,
                                        mono_time now)
{
    std::set<std::vector<std::string>> groups;
    std::set<std::string> pools;
    for (auto const& route : tables.routes)
    {
        if (!needs_storing(route))
            continue;
        auto group = possible_pools(former_pools, tables, route, now);
        pools.insert(group.begin(), group.end());
        groups.insert(std::move(group));
    }
    for (auto const& pool : pools)
        record_registered_software(origins, dispatcher, pool, now);
    std::set<std::string> result;
    for (auto const& group : groups)
    {
        auto versions = recent_versions(origins, group, now);
        // Entries without a version name no other one.
        std::size_t const named = versions.size() - versions.count("");
        if (named > 1)
            result.merge(versions);
    }
    return result;
}

std::size_t origin_partitions(std::size_t available) noexcept
{
    return std::clamp<std::size_t>(available, 1, origin_partitions_limit);
}

std::size_t origin_partition_of(std::string_view host,
                                std::size_t partitions) noexcept
{
    return placement::name_hash_of(host) % partitions;
}

// A partition takes one append at a time.
std::chrono::milliseconds origin_write_interval(std::size_t gateways,
                                                std::size_t partitions) noexcept
{
    constexpr std::chrono::milliseconds shortest{250};
    constexpr std::chrono::milliseconds append_time{5};
    auto const all = append_time * static_cast<std::int64_t>(gateways);
    return std::max(shortest, all / static_cast<std::int64_t>(partitions));
}

void keep_begun(origin_write_queue& state, begun_stream const& begun)
{
    state.unstored.push_back(begun);
    drop_oldest(state.unstored);
}

origin_batch begin_origin_write(origin_write_queue& state,
                                std::chrono::milliseconds interval,
                                std::chrono::milliseconds retention,
                                mono_time now)
{
    origin_batch result;
    if (!state.writing.empty() || now < state.due_at)
        return result;
    state.due_at = now + interval;
    expire(state, now);
    if (state.versions.empty())
        return result;
    renew(state, retention, now);
    take_batch(state);
    for (auto const& row : state.writing)
        result.streams[row.software_version].push_back(row.stream);
    return result;
}

void end_origin_write(origin_write_queue& state, bool is_stored, mono_time now)
{
    state.is_failing = !is_stored;
    auto ended = std::exchange(state.writing, {});
    if (!is_stored)
    {
        state.due_at = std::max(state.due_at, now + retry_delay);
        state.unstored.insert(state.unstored.begin(),
                              std::make_move_iterator(ended.begin()),
                              std::make_move_iterator(ended.end()));
        drop_oldest(state.unstored);
        return;
    }
    for (auto& row : ended)
        state.stored.emplace_back(now, std::move(row));
    drop_oldest(state.stored);
}

std::vector<begun_stream> hand_over(origin_write_queue& state)
{
    std::vector<begun_stream> result;
    for (auto& row : state.unstored)
    {
        if (row.is_handed_over ||
            !state.versions.contains(row.software_version))
            continue;
        row.is_handed_over = true;
        result.push_back(row);
    }
    return result;
}

void write_origins_again(origin_write_queue& state)
{
    for (auto& [stored_at, row] : state.stored)
        state.unstored.push_back(std::move(row));
    state.stored.clear();
    drop_oldest(state.unstored);
}

bool apply_origin_batch(stream_origins& origins, std::string_view record)
{
    try
    {
        auto const batch = bounded_unpack(record)->as<origin_batch>();
        if (batch.format != origin_batch{}.format)
            return false;
        for (auto const& [version, streams] : batch.streams)
        {
            for (auto const stream : streams)
                origins.stored.insert(stream, version);
        }
        return true;
    }
    catch (std::exception const&)
    {
        return false;
    }
}

bool apply_store_era(origin_look_up& state, std::uint64_t era)
{
    bool const has_returned = state.era != 0 && era > state.era;
    state.era = std::max(state.era, era);
    if (!has_returned)
        return false;
    for (auto& position : state.partitions)
        position.next = 0;
    return true;
}

read_step move_to(origin_position& position, std::uint64_t first) noexcept
{
    if (position.next == first)
        return read_step::failed;
    position.next = first;
    return read_step::more;
}

read_step advance(origin_position& position, origin_page const& page) noexcept
{
    if (page.first > position.next)
        return move_to(position, page.first);
    position.next += page.records;
    if (position.next >= page.end)
        return read_step::done;
    if (page.records == 0)
        return read_step::failed;
    if (page.end > origin_records_limit)
        position.next =
            std::max(position.next, page.end - origin_records_limit);
    return read_step::more;
}

} // namespace jujubestand::gateway
