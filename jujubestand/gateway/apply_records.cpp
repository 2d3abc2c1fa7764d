#include <jujubestand/gateway/apply_records.hpp>

#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/crashes.hpp>
#include <jujubestand/gateway/queue_discipline.hpp>
#include <jujubestand/gateway/record_age.hpp>
#include <jujubestand/gateway/team_quotas.hpp>
#include <platform/documents.hpp>
#include <platform/names.hpp>
#include <string_view>
#include <unordered_map>

namespace jujubestand::gateway
{

namespace
{

/// Shortest time that engines get to load weights, however late the request
/// for them is read.
constexpr std::chrono::milliseconds load_time_min{2'500};

/// Part of the key removal bound reserved for the transfer to the upstream.
constexpr std::chrono::milliseconds freshness_margin{300};

void reject(gateway_state& state, follow::record const& row, reason const& why)
{
    state.log->write(event_number::record_rejected, {},
                     {{"key", row.key},
                      {"offset", static_cast<std::int64_t>(row.offset)},
                      {"why", to_text(why)}});
}

void apply_limits(gateway_state& state)
{
    auto const& configured = state.tables->limits;
    http1::server_limits limits;
    limits.message.head_bytes = configured.head_bytes;
    limits.message.body_bytes = configured.body_bytes;
    limits.head_timeout = configured.head_timeout;
    limits.idle_timeout = configured.idle_timeout;
    limits.body_timeout = state.settings.body_timeout;
    state.caller_server->set_limits(limits);
}

// Stores that remain configured keep their known contents.
void apply_stores(gateway_state& state)
{
    std::vector<dispatch::part_store> next;
    for (auto const& store : state.tables->part_stores)
    {
        dispatch::part_store row;
        row.where = store.where;
        for (auto const& known : state.dispatch.stores)
        {
            if (known.where == store.where)
                row = known;
        }
        next.push_back(std::move(row));
    }
    state.dispatch.stores = std::move(next);
}

// What is sent from now on goes by the new tables, calls that wait or are sent
// again among it. A team that is gone stays as it was.
void apply_cache_owners(gateway_state& state)
{
    state.shared_cache_owner = traffic::shared_cache_owner(*state.tables);
    std::unordered_map<std::string_view, bool> is_isolated;
    for (auto const& team : state.tables->teams)
        is_isolated[team.name] = team.is_isolated;
    for (auto& [key, call] : state.active_calls)
    {
        auto const known = is_isolated.find(call.team.name);
        if (known != is_isolated.end())
            call.team.is_isolated = known->second;
        call.dispatch_call.cache_owner =
            traffic::cache_owner_of(call.team, state.shared_cache_owner);
        dispatch::set_cache_owner(state.dispatch, key,
                                  call.dispatch_call.cache_owner);
    }
}

// A configuration that can't be read may take any key away. The tables are then
// as old as the last confirmation without it.
void apply_tables(gateway_state& state, follow::record const& row,
                  std::optional<mono_time> confirmed_before)
{
    reason why;
    auto tables = platform::decode_tables(row.value, why);
    if (!tables)
    {
        reject(state, row, why);
        if (!state.superseded_at)
            state.superseded_at = confirmed_before.value_or(mono_time{});
        return;
    }
    state.superseded_at.reset();
    if (state.tables && tables->version <= state.tables->version)
        return;
    auto const now = mono_now();
    if (state.tables)
        record_former_pools(state.former_pools, *state.tables, now);
    else
        state.former_pools.known_since = now;
    state.tables = std::move(*tables);
    apply_limits(state);
    apply_stores(state);
    apply_cache_owners(state);
    apply_queue_discipline(state.dispatch, *state.tables);
    apply_quotas(state);
    for (auto const& part : state.tables->unreadable)
        reject(state, row, part);
    state.log->write(
        event_number::tables_applied, {},
        {{"version", static_cast<std::int64_t>(state.tables->version)},
         {"offset", static_cast<std::int64_t>(row.offset)},
         {"routes", static_cast<std::int64_t>(state.tables->routes.size())},
         {"teams", static_cast<std::int64_t>(state.tables->teams.size())},
         {"shared_cache", state.shared_cache_owner}});
}

// Weights may have been requested long before they are read. Older weights are
// then accepted at least for the time that the engines take to load the new
// ones.
mono_time requested_since(gateway_state const& state, mono_time now,
                          std::optional<mono_time> confirmed_before)
{
    return written_since(confirmed_before, now,
                         state.dispatch.limits.weights_lag - load_time_min);
}

void apply_weights(gateway_state& state, follow::record const& row,
                   std::optional<mono_time> confirmed_before)
{
    reason why;
    auto const requested = platform::decode_weights(row.value, why);
    if (!requested)
    {
        reject(state, row, why);
        return;
    }
    dispatch::on_wanted_weights(
        state.dispatch, requested->model, requested->version,
        requested_since(state, mono_now(), confirmed_before));
    state.log->write(
        event_number::weights_wanted, {},
        {{"model", requested->model},
         {"version", static_cast<std::int64_t>(requested->version)},
         {"offset", static_cast<std::int64_t>(row.offset)}});
}

void remove_upstream(gateway_state& state, std::string const& id)
{
    auto const known = state.dispatch.keys_by_id.find(id);
    if (known != state.dispatch.keys_by_id.end())
    {
        auto const& record = state.dispatch.upstreams.at(known->second).record;
        record_software(state.origins, record.pool, record.software_version,
                        mono_now());
        record_upstream_end(state, known->second);
    }
    dispatch::on_upstream_removed(state.dispatch, id);
    state.log->write(event_number::member_gone, {}, {{"upstream", id}});
}

void apply_upstream(gateway_state& state, follow::record const& row)
{
    reason why;
    auto const record = platform::decode_upstream(row.key, row.value, why);
    if (!record)
    {
        reject(state, row, why);
        return;
    }
    follow::on_present(state.lapses, row.key);
    record_software(state.origins, record->pool, record->software_version,
                    mono_now());
    auto const known = state.dispatch.keys_by_id.find(record->id);
    bool const is_known = known != state.dispatch.keys_by_id.end();
    bool const was_leaving =
        is_known &&
        state.dispatch.upstreams.at(known->second).record.is_leaving;
    if (is_known && state.dispatch.upstreams.at(known->second).record.born_ms <
                        record->born_ms)
        record_upstream_end(state, known->second);
    dispatch::check_clock(state.dispatch.words, record->born_ms, wall_now());
    bool const is_new = dispatch::on_upstream_record(state.dispatch, *record);
    if (is_new)
        state.log->write(event_number::member_live, {},
                         {{"upstream", record->id},
                          {"pool", record->pool},
                          {"software", record->software_version},
                          {"address", to_text(record->where)}});
    if (record->is_leaving && !was_leaving)
        state.log->write(event_number::member_leaving, {},
                         {{"upstream", record->id}, {"source", "record"}});
}

} // namespace

void apply_operator_records(gateway_state& state,
                            std::vector<follow::record> const& changes,
                            std::optional<mono_time> confirmed_before)
{
    for (auto const& row : changes)
    {
        if (row.value.empty())
            continue;
        if (row.key == platform::names::configuration_key)
            apply_tables(state, row, confirmed_before);
        else if (row.key.starts_with(platform::names::weights_key_prefix))
            apply_weights(state, row, confirmed_before);
    }
}

void apply_upstream_records(gateway_state& state,
                            std::vector<follow::record> const& changes)
{
    for (auto const& row : changes)
    {
        if (!row.value.empty())
            apply_upstream(state, row);
        else if (follow::on_removed(state.lapses, row.key, mono_now()))
            remove_upstream(state, row.key);
    }
}

void remove_lapsed_upstreams(gateway_state& state)
{
    for (auto const& id : follow::take_expired(state.lapses, mono_now()))
        remove_upstream(state, id);
}

std::optional<mono_time> tables_as_of(gateway_state const& state)
{
    return state.superseded_at ? state.superseded_at
                               : state.operator_topic->known().current_as_of;
}

std::optional<microseconds> tables_age(gateway_state const& state,
                                       mono_time now)
{
    auto const as_of = tables_as_of(state);
    return as_of ? std::optional(now - *as_of) : std::nullopt;
}

bool check_freshness(gateway_state& state, mono_time now)
{
    auto const age = tables_age(state, now);
    bool const is_fresh =
        age && *age < state.settings.limits.key_removal - freshness_margin;
    if (is_fresh != state.is_fresh)
    {
        state.is_fresh = is_fresh;
        auto const age_ms =
            age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age)
                      .count()
                : -1;
        state.log->write(is_fresh ? event_number::freshness_regained
                                  : event_number::freshness_lost,
                         {}, {{"age_ms", age_ms}});
    }
    return is_fresh && state.tables;
}

bool is_ready(gateway_state& state, mono_time now)
{
    return !state.is_draining && check_freshness(state, now) &&
           state.upstream_topic->known().is_listed;
}

} // namespace jujubestand::gateway
