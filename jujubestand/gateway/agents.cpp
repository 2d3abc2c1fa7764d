#include <jujubestand/gateway/agents.hpp>

#include <algorithm>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/call_limits.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/migration.hpp>
#include <jujubestand/gateway/peers.hpp>
#include <jujubestand/gateway/retries.hpp>
#include <jujubestand/status/messages.hpp>
#include <jujubestand/status/pacing.hpp>
#include <map>

namespace jujubestand::gateway
{

namespace
{

/// An engine counts as in use for so long after its last answer.
constexpr std::chrono::milliseconds use_period{1'000};

/// Time for which a gateway counts as running after the last report of it.
constexpr std::chrono::milliseconds gateway_memory{3'000};

dispatch::engine_load to_load(status::status_response const& response,
                              mono_time now)
{
    dispatch::engine_load load;
    load.reported_at = now - std::chrono::milliseconds{response.report_age_ms};
    load.is_down = !response.is_engine_reachable;
    load.is_preparing = response.is_preparing;
    if (response.load_due_us >= 0)
        load.load_due_at = now + microseconds{response.load_due_us};
    load.report.started_at_ms = response.engine_started_at_ms;
    load.report.is_busy = response.is_busy;
    load.report.versions = response.versions;
    load.report.queued = response.queued;
    load.report.running = response.running;
    load.report.prefilling = response.prefilling;
    load.report.memory_used = response.memory_used;
    load.report.memory_total = response.memory_total;
    return load;
}

void apply_proof(gateway_state& state, std::string const& host,
                 status::status_response const& response)
{
    if (response.staleness_us < 0 || response.request_sent_at_us == 0)
        return;
    auto const proven_at = mono_time{
        microseconds{response.request_sent_at_us - response.staleness_us}};
    auto const& known = state.operator_topic->known();
    bool const needs_whole =
        !known.is_listed || follow::has_returned(known, response.operator_era);
    bool const is_behind = response.operator_era == known.era &&
                           response.operator_end > known.next;
    if (needs_whole || is_behind)
        fetch_records(state, host, *state.operator_topic, operator_records_path,
                      needs_whole ? 0 : known.next, proven_at);
    else
        state.operator_topic->confirm(response.operator_era,
                                      response.operator_end, proven_at);
}

/// Data on an engine that is sent to its agent.
struct engine_query_data
{
    std::string id;
    std::uint64_t incarnation = 0;
    status::cache_position cache;
    std::uint32_t index = 0;
    std::uint32_t engine_count = 1;
    /// This gateway has sent calls to the engine recently.
    bool is_in_use = false;
};

bool is_in_use(dispatch::upstream const& target, mono_time now)
{
    return target.open_calls > 0 || now - target.answered_at < use_period;
}

// Engines are numbered in order of their ids, which all gateways share.
std::map<std::string, engine_query_data>
engines_by_host(gateway_state const& state, mono_time now)
{
    std::map<std::string, std::uint32_t> pools;
    std::map<std::string, engine_query_data> hosts;
    for (auto const& [id, key] : state.dispatch.keys_by_id)
    {
        auto const& known_upstream = state.dispatch.upstreams.at(key);
        auto const& host = known_upstream.record.where.host;
        if (known_upstream.versions.empty() || known_upstream.is_replaced ||
            dispatch::find_by_host(state.dispatch, host) != &known_upstream)
            continue;
        auto& count = pools[known_upstream.record.pool];
        hosts[host] = {id,
                       known_upstream.record.born_ms,
                       known_upstream.cache.position,
                       count,
                       1,
                       is_in_use(known_upstream, now)};
        if (!known_upstream.record.is_leaving)
            ++count;
    }
    for (auto& [host, engine] : hosts)
    {
        auto const& known_upstream = state.dispatch.upstreams.at(
            state.dispatch.keys_by_id.at(engine.id));
        engine.engine_count = pools[known_upstream.record.pool];
    }
    return hosts;
}

std::vector<query_target>
to_targets(std::map<std::string, engine_query_data> const& engines)
{
    std::vector<query_target> targets;
    targets.reserve(engines.size());
    for (auto const& [host, engine] : engines)
        targets.push_back({host, engine.is_in_use});
    return targets;
}

} // namespace

// The gateways of the list so far were known until now: agents report a list
// only when it has changed.
void set_gateways(gateway_state& state, std::vector<std::string> const& hosts,
                  mono_time now)
{
    for (auto const& host : state.gateway_hosts)
        state.gateway_seen_at[host] = now;
    for (auto const& host : hosts)
        state.gateway_seen_at[host] = now;
    auto const memory = std::max<std::chrono::milliseconds>(
        gateway_memory, state.settings.limits.retry_window);
    std::erase_if(state.gateway_seen_at,
                  [now, memory](auto const& row)
                  {
                      return now - row.second > memory;
                  });
    state.gateway_hosts = hosts;
    state.dispatch.gateways = static_cast<std::uint32_t>(hosts.size());
    update_retry_sharers(state, now);
}

// The lists of agents differ while an agent starts or is cut off from a part of
// the gateways.
std::vector<std::string> known_gateways(gateway_state const& state,
                                        mono_time now)
{
    auto result = state.gateway_hosts;
    for (auto const& [host, seen_at] : state.gateway_seen_at)
    {
        bool const is_listed =
            std::find(state.gateway_hosts.begin(), state.gateway_hosts.end(),
                      host) != state.gateway_hosts.end();
        if (!is_listed && now - seen_at <= gateway_memory)
            result.push_back(host);
    }
    return result;
}

std::vector<std::string> other_gateways(gateway_state const& state,
                                        mono_time now)
{
    auto hosts = known_gateways(state, now);
    std::erase(hosts, state.settings.ip);
    return hosts;
}

std::vector<std::string> random_hosts(std::vector<std::string> hosts,
                                      std::size_t count,
                                      std::mt19937_64& random)
{
    std::shuffle(hosts.begin(), hosts.end(), random);
    if (hosts.size() > count)
        hosts.resize(count);
    return hosts;
}

void query_agents(gateway_state& state)
{
    status::status_request query;
    auto const now = mono_now();
    auto const& known = state.operator_topic->known();
    query.sent_at_us = to_us(now);
    query.operator_end = known.next;
    for (auto const& [model, requests] : state.dispatch.weights)
        query.requested_versions[model] = requests.back().version;
    if (auto const age = follow::staleness(known, now))
        query.staleness_us = age->count();
    query.gateway = state.settings.name;
    query.link_mbps = state.settings.link_mbps;
    query.gateways_hash = status::hash_of(state.gateway_hosts);
    auto const engines = engines_by_host(state, now);
    state.dispatch.idle_report_delay =
        status::idle_query_interval(engines.size()) - status::query_interval;
    for (auto const& host : select_targets(
             state.status_queries, to_targets(engines), status::idle_queries))
    {
        if (!begin_query(state.status_queries, host, now))
            continue;
        auto const& engine = engines.at(host);
        query.cache = engine.cache;
        query.upstream = engine.id;
        query.upstream_incarnation = engine.incarnation;
        query.pool_index = engine.index;
        query.pool_size = engine.engine_count;
        state.datagrams->send(address{host, state.settings.internal_port},
                              status::to_datagram(query));
    }
}

void on_agent_datagram(gateway_state& state, address const& sender,
                       std::string_view bytes)
{
    auto const answer = status::from_datagram<status::status_response>(bytes);
    if (!answer)
        return;
    auto const now = mono_now();
    state.limits.heard_at = now;
    state.agent_heard_at = now;
    if (answer->request_sent_at_us != 0)
        on_query_answered(state.status_queries, sender.host, now);
    auto const* const known_upstream =
        dispatch::find_by_host(state.dispatch, sender.host);
    if (known_upstream != nullptr)
    {
        bool const was_preparing =
            known_upstream->load && known_upstream->load->is_preparing;
        dispatch::on_load_report(state.dispatch, known_upstream->key,
                                 to_load(*answer, now));
        if (answer->is_preparing && !was_preparing)
            migrate_streams(state, known_upstream->key);
        dispatch::on_cache_delta(state.dispatch, known_upstream->key,
                                 answer->cache);
        if (answer->limit.is_known)
            on_agent_limit(state, known_upstream->key, answer->limit);
    }
    bool const is_first_list =
        state.gateway_hosts.empty() && !answer->gateways.empty();
    if (!answer->gateways.empty())
        set_gateways(state, answer->gateways, now);
    if (is_first_list)
        query_limits(state);
    apply_proof(state, sender.host, *answer);
    schedule_review(state);
}

} // namespace jujubestand::gateway
