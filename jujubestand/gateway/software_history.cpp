#include <jujubestand/gateway/software_history.hpp>

#include <algorithm>
#include <jujubestand/core/bounded_unpack.hpp>
#include <jujubestand/gateway/state.hpp>
#include <jujubestand/status/messages.hpp>
#include <optional>
#include <platform/names.hpp>

namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds list_retry_delay{500};
constexpr std::chrono::milliseconds review_interval{250};
/// Time after which a write without an answer is repeated.
constexpr std::chrono::milliseconds write_timeout{2'000};

std::optional<software_record> decode(std::string const& bytes)
{
    try
    {
        return bounded_unpack(bytes)->as<software_record>();
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

void apply_row(gateway_state& state, follow::record const& row)
{
    auto const stored = decode(row.value);
    if (!stored)
    {
        state.log->write(event_number::record_rejected, {},
                         {{"key", row.key}, {"why", "not a version"}});
        return;
    }
    state.software.stored[row.key] = *stored;
    apply_stored(state.origins, *stored, wall_now(), mono_now());
}

void request_list(gateway_state& state, std::string const& after)
{
    state.software.list_due_at = mono_time::max();
    state.store->list(platform::names::software_topic, after,
                      [&state](platform::listing_end const& end)
                      {
                          if (!end.part)
                          {
                              state.software.list_due_at =
                                  mono_now() + list_retry_delay;
                              return;
                          }
                          auto const& rows = end.part->rows.records;
                          for (auto const& row : rows)
                              apply_row(state, row);
                          if (end.part->has_more && !rows.empty())
                          {
                              request_list(state, rows.back().key);
                              return;
                          }
                          state.software.is_listed = true;
                          state.origins.lacks_history = false;
                      });
}

std::vector<std::pair<std::string, std::string>>
versions_in_use(gateway_state const& state)
{
    std::vector<std::pair<std::string, std::string>> result;
    for (auto const& [key, target] : state.dispatch.upstreams)
    {
        if (!target.versions.empty())
            result.emplace_back(target.record.pool,
                                target.record.software_version);
    }
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

void write_row(gateway_state& state, software_record const& row)
{
    auto const key = key_of(row);
    auto const now = mono_now();
    auto const writing = state.software.writing.find(key);
    if (writing != state.software.writing.end() &&
        now - writing->second < write_timeout)
        return;
    state.software.writing[key] = now;
    state.store->put(platform::names::software_topic, key,
                     status::to_bytes(row),
                     [&state, key, row](platform::append_end const& end)
                     {
                         state.software.writing.erase(key);
                         if (end.offset)
                             state.software.stored[key] = row;
                     });
}

bool is_writer(gateway_state const& state)
{
    return !state.gateway_hosts.empty() &&
           state.gateway_hosts.front() == state.settings.ip &&
           state.upstream_topic->known().is_listed;
}

} // namespace

std::string key_of(software_record const& row)
{
    return row.pool + '/' + row.version;
}

std::vector<software_record>
unstored(software_history const& state,
         std::vector<std::pair<std::string, std::string>> const& in_use,
         wall_time now)
{
    std::vector<software_record> result;
    std::map<std::string, software_record> current;
    for (auto const& [pool, version] : in_use)
    {
        software_record const row{pool, version, 0};
        current[key_of(row)] = row;
    }
    for (auto const& [key, row] : current)
    {
        auto const found = state.stored.find(key);
        if (found == state.stored.end() || found->second.left_at_ms != 0)
            result.push_back(row);
    }
    for (auto const& [key, row] : state.stored)
    {
        if (row.left_at_ms == 0 && !current.contains(key))
            result.push_back(
                {row.pool, row.version, now.time_since_epoch().count()});
    }
    return result;
}

// A version that was in use when its record was written may have left at any
// time until now.
void apply_stored(stream_origins& origins, software_record const& row,
                  wall_time wall_now, mono_time now)
{
    std::chrono::milliseconds const left_for =
        row.left_at_ms == 0 ? std::chrono::milliseconds{0}
                            : wall_now.time_since_epoch() -
                                  std::chrono::milliseconds{row.left_at_ms};
    if (left_for < software_memory)
        record_software(origins, row.pool, row.version,
                        now - std::max(left_for, std::chrono::milliseconds{0}));
}

void read_software_history_again(gateway_state& state)
{
    if (!state.software.is_listed)
        return;
    state.software.is_listed = false;
    state.software.list_due_at = mono_time{};
    state.origins.lacks_history = true;
}

void review_software_history(gateway_state& state)
{
    auto const now = mono_now();
    auto& history = state.software;
    if (!history.is_listed)
    {
        if (now >= history.list_due_at)
            request_list(state, {});
        return;
    }
    if (now - history.reviewed_at < review_interval || !is_writer(state))
        return;
    history.reviewed_at = now;
    for (auto const& row :
         unstored(history, versions_in_use(state), wall_now()))
        write_row(state, row);
}

} // namespace jujubestand::gateway
