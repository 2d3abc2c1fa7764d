#include <jujubestand/gateway/directory.hpp>

#include <algorithm>
#include <jujubestand/core/bounded_unpack.hpp>
#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/call_limits.hpp>
#include <jujubestand/gateway/state.hpp>
#include <jujubestand/status/messages.hpp>
#include <memory>
#include <platform/names.hpp>

namespace jujubestand::gateway
{

namespace
{

/// No agent is heard for so long before gateways use their records.
constexpr std::chrono::milliseconds agent_silence{3'000};
/// The same after the start, when agents are heard within a second.
constexpr std::chrono::milliseconds first_agent_silence{1'500};

constexpr std::chrono::milliseconds write_interval{12'000};
/// A record that has not been written again for so long is of a gateway that
/// has ended.
constexpr std::chrono::milliseconds record_lifetime{30'000};

constexpr std::chrono::milliseconds list_interval{5'000};
constexpr std::chrono::milliseconds retry_delay{500};
/// Time in which all gateways come to write their records.
constexpr std::chrono::milliseconds settling_time{4'000};
constexpr std::chrono::milliseconds settling_list_interval{700};

/// A reader that has not answered for so long is left out.
constexpr std::chrono::milliseconds reader_silence{1'500};

bool is_silent(query_map const& queries, std::string const& host, mono_time now)
{
    auto const query = queries.find(host);
    if (query == queries.end() || query->second.is_answered)
        return false;
    return now - std::max(query->second.first_sent_at,
                          query->second.answered_at) >=
           reader_silence;
}

std::optional<directory_record> decode(std::string const& bytes)
{
    try
    {
        return bounded_unpack(bytes)->as<directory_record>();
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

directory_record own_record(gateway_state const& state)
{
    return {state.settings.link_mbps, wall_now().time_since_epoch().count()};
}

void write_own_record(gateway_state& state)
{
    state.directory.write_due_at = mono_now() + write_interval;
    state.store->put(platform::names::gateway_topic, state.settings.ip,
                     status::to_bytes(own_record(state)),
                     [&state](platform::append_end const& end)
                     {
                         if (!end.offset)
                             state.directory.write_due_at =
                                 mono_now() + retry_delay;
                     });
}

using directory_rows = std::shared_ptr<std::vector<directory_row>>;

void add_rows(gateway_state& state, std::vector<follow::record> const& records,
              std::vector<directory_row>& rows)
{
    for (auto const& record : records)
    {
        if (auto const decoded = decode(record.value))
            rows.push_back({record.key, *decoded});
        else
            state.log->write(event_number::record_rejected, {},
                             {{"key", record.key}, {"why", "not a gateway"}});
    }
}

bool is_settling(gateway_state const& state, mono_time now)
{
    return state.directory.in_use_since &&
           now - *state.directory.in_use_since < settling_time;
}

void apply_rows(gateway_state& state, std::vector<directory_row> rows)
{
    // An agent has been heard meanwhile.
    if (!state.directory.in_use_since)
        return;
    auto const now = mono_now();
    auto listed =
        listed_gateways(std::move(rows), {state.settings.ip, own_record(state)},
                        state.status_queries, wall_now(), now);
    if (is_settling(state, now))
        listed = with_known(std::move(listed), state.gateway_hosts);
    bool const is_first_list = state.gateway_hosts.empty();
    set_gateways(state, listed, now);
    if (is_first_list)
        query_limits(state);
}

void on_list_end(gateway_state& state, std::chrono::milliseconds delay)
{
    state.directory.is_list_open = false;
    state.directory.list_due_at = mono_now() + delay;
}

void request_list(gateway_state& state, std::string const& after,
                  directory_rows const& rows)
{
    state.directory.is_list_open = true;
    state.store->list(platform::names::gateway_topic, after,
                      [&state, rows](platform::listing_end const& end)
                      {
                          if (!end.part)
                          {
                              on_list_end(state, retry_delay);
                              return;
                          }
                          auto const& records = end.part->rows.records;
                          add_rows(state, records, *rows);
                          if (end.part->has_more && !records.empty())
                          {
                              request_list(state, records.back().key, rows);
                              return;
                          }
                          on_list_end(state, is_settling(state, mono_now())
                                                 ? settling_list_interval
                                                 : list_interval);
                          apply_rows(state, std::move(*rows));
                      });
}

bool hears_agents(gateway_state const& state, mono_time now)
{
    return state.agent_heard_at ? now - *state.agent_heard_at < agent_silence
                                : now - state.started_at < first_agent_silence;
}

} // namespace

std::vector<std::string> listed_gateways(std::vector<directory_row> rows,
                                         directory_row const& own,
                                         query_map const& queries,
                                         wall_time wall_now, mono_time now)
{
    std::erase_if(rows,
                  [&](directory_row const& row)
                  {
                      std::chrono::milliseconds const written_at{
                          row.record.written_at_ms};
                      return row.host == own.host ||
                             wall_now.time_since_epoch() - written_at >
                                 record_lifetime ||
                             is_silent(queries, row.host, now);
                  });
    rows.push_back(own);
    std::sort(rows.begin(), rows.end(),
              [](directory_row const& left, directory_row const& right)
              {
                  if (left.record.link_mbps != right.record.link_mbps)
                      return left.record.link_mbps > right.record.link_mbps;
                  return left.host < right.host;
              });
    std::vector<std::string> hosts;
    hosts.reserve(rows.size());
    for (auto& row : rows)
        hosts.push_back(std::move(row.host));
    return hosts;
}

std::vector<std::string> with_known(std::vector<std::string> listed,
                                    std::vector<std::string> const& known)
{
    for (auto const& host : known)
    {
        if (std::find(listed.begin(), listed.end(), host) == listed.end())
            listed.push_back(host);
    }
    return listed;
}

void review_directory(gateway_state& state)
{
    auto const now = mono_now();
    auto& directory = state.directory;
    if (hears_agents(state, now) || state.is_draining)
    {
        directory.in_use_since.reset();
        return;
    }
    if (!directory.in_use_since)
    {
        directory.in_use_since = now;
        directory.write_due_at = now;
        // After the others' writes of the same time.
        directory.list_due_at = now + settling_list_interval / 2;
    }
    if (now >= directory.write_due_at)
        write_own_record(state);
    if (!directory.is_list_open && now >= directory.list_due_at)
        request_list(state, {}, std::make_shared<std::vector<directory_row>>());
}

} // namespace jujubestand::gateway
