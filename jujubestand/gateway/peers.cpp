#include <jujubestand/gateway/peers.hpp>

#include <algorithm>
#include <charconv>
#include <jujubestand/core/bounded_unpack.hpp>
#include <jujubestand/gateway/part_stores.hpp>
#include <jujubestand/http1/text_call.hpp>
#include <jujubestand/status/messages.hpp>

namespace jujubestand::gateway
{

namespace
{

/// Number of gateways that read the store in normal operation.
constexpr std::size_t reader_count = 2;

/// Record age above which a gateway reads the store directly.
constexpr std::chrono::milliseconds lag_limit{1'300};

// A confirmation is dated from the start of its long poll and is used until the
// next one arrives: too long a poll would make all gateways read the store.
static_assert(2 * operator_poll_timeout + 2 * tick_interval < lag_limit);
constexpr std::chrono::milliseconds fetch_timeout{800};

// IP addresses of the gateways that read the store.
std::vector<std::string> readers_of(gateway_state const& state)
{
    auto const count = std::min(reader_count, state.gateway_hosts.size());
    return {state.gateway_hosts.begin(),
            state.gateway_hosts.begin() + static_cast<std::ptrdiff_t>(count)};
}

bool is_reader(gateway_state const& state)
{
    auto const begin = state.gateway_hosts.begin();
    auto const found =
        std::find(begin, state.gateway_hosts.end(), state.settings.ip);
    return found == state.gateway_hosts.end() ||
           static_cast<std::size_t>(found - begin) < reader_count;
}

bool is_lagging(follow::follower const& topic, mono_time now)
{
    auto const age = follow::staleness(topic.known(), now);
    return !age || *age > lag_limit;
}

status::topic_status to_topic_status(follow::follower const& topic,
                                     mono_time now)
{
    status::topic_status result;
    result.end = topic.known().next;
    result.era = topic.known().era;
    result.live_keys = follow::live_keys(topic.known());
    if (auto const age = follow::staleness(topic.known(), now))
        result.staleness_us = age->count();
    return result;
}

void apply_topic_status(gateway_state& state, std::string const& host,
                        follow::follower& topic, char const* path,
                        status::topic_status const& reported_status,
                        std::int64_t query_sent_at_us)
{
    if (reported_status.staleness_us < 0)
        return;
    mono_time const proven_at{
        microseconds{query_sent_at_us - reported_status.staleness_us}};
    auto const& known = topic.known();
    bool const is_same_era = reported_status.era == known.era;
    bool const lacks_removals =
        is_same_era && reported_status.end == known.next &&
        reported_status.live_keys != follow::live_keys(known);
    bool const needs_whole =
        !known.is_listed || lacks_removals ||
        follow::has_returned(known, reported_status.era) ||
        (is_same_era && follow::lacks_any(known, reported_status.unrestored));
    if (needs_whole)
        fetch_records(state, host, topic, path, 0, proven_at);
    else if (is_same_era && reported_status.end > known.next)
        fetch_records(state, host, topic, path, known.next, proven_at);
    else
        topic.confirm(reported_status.era, reported_status.end, proven_at);
}

void apply_reported_stores(gateway_state& state, std::string const& host,
                           status::peer_response const& response)
{
    if (is_reader(state) || host != state.part_store_reader.host)
        return;
    state.part_store_reader.last_answer_at = mono_now();
    for (auto& store : state.dispatch.stores)
    {
        auto const reported = response.stores.find(to_text(store.where));
        if (reported == response.stores.end())
            continue;
        store.is_alive = reported->second.is_alive;
        status::on_delta(store.cache, reported->second.cache);
    }
}

std::map<std::string, status::cache_position>
known_stores(gateway_state const& state)
{
    std::map<std::string, status::cache_position> known;
    for (auto const& store : state.dispatch.stores)
        known[to_text(store.where)] = store.cache.position;
    return known;
}

// A reader that has started after the store's return knows only what the store
// has. What it fetches proves nothing new.
void fetch_unrestored(gateway_state& state, std::string const& host,
                      status::peer_request const& peer_query)
{
    auto const& known = state.operator_topic->known();
    bool const is_comparable = known.is_listed && known.current_as_of &&
                               known.era == peer_query.operator_era;
    if (is_comparable && follow::lacks_any(known, peer_query.unrestored))
        fetch_records(state, host, *state.operator_topic, operator_records_path,
                      0, *known.current_as_of);
}

void on_peer_query(gateway_state& state, address const& sender,
                   status::peer_request const& peer_query)
{
    auto const now = mono_now();
    status::peer_response answer;
    answer.request_sent_at_us = peer_query.sent_at_us;
    answer.operators = to_topic_status(*state.operator_topic, now);
    answer.operators.unrestored =
        follow::unrestored_versions(state.operator_topic->known());
    answer.upstreams = to_topic_status(*state.upstream_topic, now);
    for (auto const& [where, known] : peer_query.stores)
    {
        auto const watched = state.watched_stores.find(where);
        if (watched != state.watched_stores.end() && is_reader(state))
            answer.stores[where] = {
                watched->second.is_reachable,
                status::delta_since(watched->second.cache, known)};
    }
    state.datagrams->send(sender, status::to_datagram(answer));
    fetch_unrestored(state, sender.host, peer_query);
}

void apply_fetched_records(gateway_state& state, follow::follower& topic,
                           std::string const& bytes, std::uint64_t since,
                           mono_time proven_at)
{
    try
    {
        topic.apply(bounded_unpack(bytes)->as<follow::listing>(), since,
                    proven_at);
    }
    catch (std::exception const& error)
    {
        state.log->write(event_number::record_rejected, {},
                         {{"key", "peer"}, {"why", error.what()}});
    }
}

} // namespace

void fetch_records(gateway_state& state, std::string const& host,
                   follow::follower& topic, std::string const& path,
                   std::uint64_t since, mono_time proven_at)
{
    if (!state.fetches_in_flight.insert(path).second)
        return;
    http1::client_request request;
    request.server = address{host, state.settings.internal_port};
    request.target = path + "?since=" + std::to_string(since);
    request.fields = {{"Host", to_text(request.server)}};
    request.timeout = fetch_timeout;
    http1::ask_for_text(*state.internal_client, std::move(request),
                        [&state, &topic, path, since,
                         proven_at](std::optional<std::string> const& body)
                        {
                            state.fetches_in_flight.erase(path);
                            if (body)
                                apply_fetched_records(state, topic, *body,
                                                      since, proven_at);
                        });
}

void query_peers(gateway_state& state)
{
    auto const now = mono_now();
    bool const is_reading = is_reader(state);
    state.operator_topic->set_active(is_reading ||
                                     is_lagging(*state.operator_topic, now));
    state.upstream_topic->set_active(is_reading ||
                                     is_lagging(*state.upstream_topic, now));
    status::peer_request query;
    query.sent_at_us = to_us(now);
    auto const& operators = state.operator_topic->known();
    query.operator_era = operators.era;
    query.unrestored = follow::unrestored_versions(operators);
    if (is_reading)
        poll_part_stores(state, now);
    else
        update_followed_reader(state.part_store_reader, readers_of(state), now);
    for (auto const& host : readers_of(state))
    {
        if (host == state.settings.ip ||
            !begin_query(state.status_queries, host, now))
            continue;
        query.stores = is_reading || host != state.part_store_reader.host
                           ? std::map<std::string, status::cache_position>{}
                           : known_stores(state);
        state.datagrams->send(address{host, state.settings.internal_port},
                              status::to_datagram(query));
    }
}

void on_peer_datagram(gateway_state& state, address const& sender,
                      std::string_view bytes)
{
    if (auto const peer_query =
            status::from_datagram<status::peer_request>(bytes))
    {
        on_peer_query(state, sender, *peer_query);
        return;
    }
    auto const answer = status::from_datagram<status::peer_response>(bytes);
    if (!answer)
        return;
    on_query_answered(state.status_queries, sender.host, mono_now());
    apply_topic_status(state, sender.host, *state.operator_topic,
                       operator_records_path, answer->operators,
                       answer->request_sent_at_us);
    apply_topic_status(state, sender.host, *state.upstream_topic,
                       upstream_records_path, answer->upstreams,
                       answer->request_sent_at_us);
    apply_reported_stores(state, sender.host, *answer);
}

void on_records_request(gateway_state& state, http1::exchange_id exchange,
                        http1::server_request const& request)
{
    constexpr int ok = 200;
    constexpr int not_found = 404;
    std::string_view const target = request.head.target;
    auto const mark = target.find("?since=");
    auto const path = target.substr(0, mark);
    std::uint64_t since = 0;
    if (mark != std::string_view::npos)
    {
        auto const text = target.substr(target.find('=') + 1);
        std::from_chars(text.data(), text.data() + text.size(), since);
    }
    follow::follower const* topic = nullptr;
    if (path == operator_records_path)
        topic = state.operator_topic.get();
    else if (path == upstream_records_path)
        topic = state.upstream_topic.get();
    if (topic == nullptr)
        state.records_server->respond(exchange, not_found, {}, {});
    else
        state.records_server->respond(
            exchange, ok, {},
            status::to_bytes(follow::changes_since(topic->known(), since)));
}

} // namespace jujubestand::gateway
