#include <jujubestand/gateway/origin_records.hpp>

#include <algorithm>
#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/origin_notices.hpp>
#include <jujubestand/status/messages.hpp>
#include <platform/names.hpp>
#include <utility>

namespace jujubestand::gateway
{

namespace
{

/// Shortest time between the beginnings of two look-ups: the store limits the
/// reads of all gateways together.
constexpr std::chrono::milliseconds look_up_interval{100};

/// Longest look-up; all its callers have been refused before.
constexpr std::chrono::milliseconds look_up_limit{3'000};

std::size_t partitions_of(gateway_state const& state)
{
    return origin_partitions(state.settings.store_partitions);
}

void log_unstored(gateway_state& state, reason const& why)
{
    auto const& writes = state.origin_writes;
    auto const streams = writes.unstored.size() + writes.writing.size();
    state.log->write(event_number::origins_unstored, {},
                     {{"streams", static_cast<std::int64_t>(streams)},
                      {"why", to_text(why)}});
}

void on_write_end(gateway_state& state, platform::append_end const& end)
{
    bool const is_stored = end.offset.has_value();
    if (!is_stored && !state.origin_writes.is_failing)
        log_unstored(state, end.why);
    end_origin_write(state.origin_writes, is_stored, mono_now());
    if (is_stored)
        return;
    for (auto const& row : hand_over(state.origin_writes))
        send_origin_notice(state, row.stream, row.software_version, false);
}

read_step apply_page(gateway_state& state, origin_position& position,
                     platform::log_page const& page)
{
    for (auto const& record : page.records)
    {
        if (!apply_origin_batch(state.origins, record))
            state.log->write(
                event_number::record_rejected, {},
                {{"key", std::string(platform::names::origin_topic)},
                 {"why", "not a batch of streams"}});
    }
    return advance(position, {page.first, page.end, page.records.size()});
}

read_step apply_read(gateway_state& state, origin_position& position,
                     platform::log_read_end const& end)
{
    if (end.page)
        return apply_page(state, position, *end.page);
    return end.expired_before ? move_to(position, *end.expired_before)
                              : read_step::failed;
}

void read_partition(gateway_state& state, std::size_t partition,
                    look_up_end on_end);

void end_partition(gateway_state& state, std::size_t partition,
                   look_up_end on_end)
{
    auto& look_up = state.origin_reads;
    look_up.partitions[partition].is_reading = false;
    bool const is_open =
        std::any_of(look_up.partitions.begin(), look_up.partitions.end(),
                    [](origin_position const& position)
                    {
                        return position.is_reading;
                    });
    if (is_open)
        return;
    auto const began_at = *std::exchange(look_up.began_at, std::nullopt);
    on_end(state, began_at,
           look_up.has_failed ? look_up_state::failed : look_up_state::read);
}

// Reads on until the end of the partition. A read that fails ends it: the
// callers of the streams are refused, and come back.
void on_read_end(gateway_state& state, std::size_t partition,
                 std::uint64_t from, platform::log_read_end const& end,
                 look_up_end on_end)
{
    auto& look_up = state.origin_reads;
    auto& position = look_up.partitions[partition];
    bool const is_outdated =
        apply_store_era(look_up, end.era) || position.next != from;
    auto const step =
        is_outdated ? read_step::more : apply_read(state, position, end);
    bool const is_over = mono_now() - *look_up.began_at >= look_up_limit;
    if (step == read_step::more && !is_over)
    {
        read_partition(state, partition, on_end);
        return;
    }
    if (step != read_step::done)
        look_up.has_failed = true;
    end_partition(state, partition, on_end);
}

void read_partition(gateway_state& state, std::size_t partition,
                    look_up_end on_end)
{
    auto& position = state.origin_reads.partitions[partition];
    position.is_reading = true;
    auto const from = position.next;
    state.store->read_log(
        platform::names::origin_topic, partition, from,
        [&state, partition, from, on_end](platform::log_read_end const& end)
        {
            on_read_end(state, partition, from, end, on_end);
        });
}

} // namespace

bool is_writing_origins(gateway_state const& state,
                        std::string const& software_version)
{
    return !state.origin_writes.is_failing &&
           state.origin_writes.versions.contains(software_version);
}

void review_origin_writes(gateway_state& state)
{
    auto const now = mono_now();
    auto& writes = state.origin_writes;
    bool const has_streams = !writes.unstored.empty() || !writes.stored.empty();
    bool const is_due = now >= writes.due_at && writes.writing.empty();
    if (!state.tables || !has_streams || !is_due)
        return;
    writes.versions = versions_to_store(state.origins, state.former_pools,
                                        *state.tables, state.dispatch, now);
    auto const partitions = partitions_of(state);
    auto const interval =
        origin_write_interval(known_gateways(state, now).size(), partitions);
    auto const batch = begin_origin_write(writes, interval,
                                          state.settings.store_retention, now);
    if (batch.streams.empty())
        return;
    state.store->append(
        platform::names::origin_topic, status::to_bytes(batch),
        [&state](platform::append_end const& end)
        {
            on_write_end(state, end);
        },
        origin_partition_of(state.settings.ip, partitions));
}

void look_up_origins(gateway_state& state, look_up_end on_end)
{
    auto& look_up = state.origin_reads;
    auto const now = mono_now();
    if (look_up.began_at || now < look_up.due_at)
        return;
    look_up.began_at = now;
    look_up.due_at = now + look_up_interval;
    look_up.has_failed = false;
    look_up.partitions.resize(partitions_of(state));
    for (auto& position : look_up.partitions)
        position.is_reading = true;
    for (std::size_t at = 0; at < look_up.partitions.size(); ++at)
        read_partition(state, at, on_end);
}

} // namespace jujubestand::gateway
