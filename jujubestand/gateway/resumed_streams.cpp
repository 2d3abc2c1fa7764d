#include <jujubestand/gateway/resumed_streams.hpp>

#include <algorithm>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/answers.hpp>
#include <jujubestand/gateway/apply_records.hpp>
#include <jujubestand/gateway/origin_notices.hpp>
#include <jujubestand/gateway/origin_records.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <jujubestand/status/messages.hpp>
#include <utility>

namespace jujubestand::gateway
{

namespace
{

/// Time after which an unanswered query counts as answered in the negative.
constexpr std::chrono::milliseconds origin_query_timeout{100};

/// Longest wait of a resumed stream for the first list of gateways.
constexpr std::chrono::milliseconds first_list_timeout{500};

/// Longest wait of a resumed stream for current records of the upstreams and
/// of the configuration.
constexpr std::chrono::milliseconds records_timeout{1'000};

/// Age of a call after which the store is not read for it any more.
constexpr std::chrono::milliseconds look_up_timeout{1'500};

/// Longest wait of a resumed stream for a read of the store.
constexpr std::chrono::milliseconds look_up_wait{1'000};

/// Retry-After of a stream whose version is not known here.
constexpr std::chrono::milliseconds unknown_origin_retry_after{200};

void send_to(gateway_state& state, std::string const& host,
             std::string const& datagram)
{
    state.datagrams->send(address{host, state.settings.internal_port},
                          datagram);
}

// Returns the IP addresses of the queried gateways and agents.
std::set<std::string> query_origin(gateway_state& state, origin_key stream,
                                   std::vector<std::string> const& pools)
{
    status::origin_query query;
    query.stream = stream;
    auto targets =
        origin_holders(known_gateways(state, mono_now()), state.settings.ip,
                       stream, origin_query_targets);
    for (auto const& pool : pools)
    {
        for (auto const& [version, agents] : agents_by_software(state, pool))
        {
            for (auto& host :
                 origin_holders(agents, {}, stream, origin_query_agents))
                targets.push_back(std::move(host));
        }
    }
    for (auto const& host : targets)
        send_to(state, host, status::to_datagram(query));
    return {targets.begin(), targets.end()};
}

void refuse_unknown_origin(gateway_state& state, dispatch::call_key key)
{
    problem error;
    error.why = reason{reason_code::no_upstream,
                       "software version of the resumed stream is not known",
                       {}};
    error.retry_after = unknown_origin_retry_after;
    fail_call(state, key, error);
}

// Queries other gateways and agents, if there are any gateways. A gateway that
// has just started knows none yet: the query then waits for the first list.
bool start_query(gateway_state& state, dispatch::call_key key,
                 active_call const& call, resumed_stream const& stream,
                 mono_time now)
{
    open_origin_query query;
    query.stream = origin_key_of(stream.request_id);
    query.sent_at = now;
    bool const is_sent = stream.knows_gateways;
    if (is_sent)
        query.open = query_origin(state, query.stream, stream.pools);
    bool const has_waited = now - call.arrived_at >= first_list_timeout;
    if (query.open.empty() && (is_sent || has_waited))
        return false;
    query.wait = is_sent ? origin_wait::answers : origin_wait::gateways;
    state.origin_queries[key] = std::move(query);
    return true;
}

/// What a stream is held for.
struct hold_reason
{
    origin_wait wait;
    /// Gateways were queried before.
    bool was_queried;
};

void hold(gateway_state& state, dispatch::call_key key, active_call const& call,
          hold_reason const& why, mono_time now)
{
    open_origin_query waiting;
    waiting.stream = origin_key_of(call.caller_request.resumed_request);
    waiting.sent_at = now;
    waiting.wait = why.wait;
    waiting.was_queried = why.was_queried;
    state.origin_queries[key] = std::move(waiting);
}

// Holds the stream until the upstreams and the configuration are known as of
// its arrival. They are read at once: other gateways' confirmations are up to a
// second old.
bool start_wait(gateway_state& state, dispatch::call_key key,
                active_call const& call, mono_time now)
{
    if (now - call.arrived_at >= records_timeout)
        return false;
    state.upstream_topic->refresh();
    state.operator_topic->refresh();
    hold(state, key, call, {origin_wait::records, true}, now);
    return true;
}

void on_look_up_end(gateway_state& state, mono_time began_at,
                    look_up_state result);

// Holds the stream until the store was read for it. Gateways that become known
// meanwhile are queried after that.
bool start_look_up(gateway_state& state, dispatch::call_key key,
                   active_call const& call, resumed_stream const& stream,
                   mono_time now)
{
    if (now - call.arrived_at >= look_up_timeout)
        return false;
    hold(state, key, call, {origin_wait::look_up, stream.knows_gateways}, now);
    look_up_origins(state, on_look_up_end);
    return true;
}

// A configuration that is not known yet may have moved the route to another
// pool, and the stream may have begun there through another gateway.
std::optional<mono_time> records_as_of(gateway_state const& state)
{
    auto const upstreams = state.upstream_topic->known().current_as_of;
    auto const tables = tables_as_of(state);
    if (!upstreams || !tables)
        return std::nullopt;
    return std::min(*upstreams, *tables);
}

/// What was done so far to learn the version of a resumed stream.
struct resume_progress
{
    bool was_queried = false;
    look_up_state look_up = look_up_state::none;
};

resumed_stream resumed_by(gateway_state const& state, active_call const& call,
                          resume_progress const& progress, mono_time now)
{
    resumed_stream result;
    result.pools =
        possible_pools(state.former_pools, *state.tables, call.route, now);
    result.request_id = call.caller_request.resumed_request;
    result.arrived_at = call.arrived_at;
    result.was_queried = progress.was_queried;
    result.look_up = progress.look_up;
    result.knows_gateways = !known_gateways(state, now).empty();
    return result;
}

void log_decision(gateway_state& state, active_call const& call,
                  resumed_stream const& stream, resume_decision const& decided)
{
    state.log->write(
        event_number::resume_decided, call.caller_request.request_id,
        {{"resumes", stream.request_id},
         {"software", decided.software_version.value_or("unknown")},
         {"step", to_name(resume_step_names, decided.step)},
         {"pools", static_cast<std::int64_t>(stream.pools.size())},
         {"store", to_name(look_up_state_names, stream.look_up)}});
}

// The caller may resume the stream once more, and name the same request.
void keep_resumed_origin(gateway_state& state, std::string const& request_id,
                         std::string const& software_version, mono_time now)
{
    auto const stream = origin_key_of(request_id);
    record_origin(state.origins, stream, software_version);
    keep_begun(state.origin_writes, {stream, software_version, now});
}

void apply_resume(gateway_state& state, dispatch::call_key key,
                  resume_progress const& progress)
{
    active_call* const call = find_call(state, key);
    if (call == nullptr)
        return;
    auto const now = mono_now();
    auto stream = resumed_by(state, *call, progress, now);
    for (auto const& pool : stream.pools)
        record_registered_software(state.origins, state.dispatch, pool, now);
    auto decided =
        decide_resume(state.origins, stream, records_as_of(state), now);
    if (decided.step == resume_step::query)
    {
        if (start_query(state, key, *call, stream, now))
            return;
        stream.was_queried = true;
        decided =
            decide_resume(state.origins, stream, records_as_of(state), now);
    }
    bool const is_held = (decided.step == resume_step::wait &&
                          start_wait(state, key, *call, now)) ||
                         (decided.step == resume_step::look_up &&
                          start_look_up(state, key, *call, stream, now));
    if (is_held)
        return;
    if (decided.step != resume_step::proceed)
        decided.step = resume_step::refuse;
    log_decision(state, *call, stream, decided);
    if (decided.step == resume_step::refuse)
    {
        refuse_unknown_origin(state, key);
        return;
    }
    call->dispatch_call.software_version = decided.software_version;
    select_resume_pool(state, *call);
    if (!stream.request_id.empty())
        keep_resumed_origin(state, stream.request_id, *decided.software_version,
                            now);
    submit_call(state, key);
}

resume_progress progress_of(open_origin_query const& ended,
                            look_up_state look_up)
{
    return {ended.wait == origin_wait::answers || ended.was_queried,
            ended.wait == origin_wait::look_up ? look_up : look_up_state::none};
}

// Takes the waiting calls of a stream out of the table before it decides on
// them, since a decision may change the table.
template <class Condition>
void end_queries(gateway_state& state, Condition const& is_over,
                 look_up_state look_up = look_up_state::failed)
{
    std::map<dispatch::call_key, resume_progress> ended;
    for (auto const& [key, query] : state.origin_queries)
    {
        if (is_over(query))
            ended[key] = progress_of(query, look_up);
    }
    for (auto const& [key, progress] : ended)
    {
        state.origin_queries.erase(key);
        apply_resume(state, key, progress);
    }
}

void look_up_if_awaited(gateway_state& state)
{
    bool const is_awaited =
        std::any_of(state.origin_queries.begin(), state.origin_queries.end(),
                    [](auto const& row)
                    {
                        return row.second.wait == origin_wait::look_up;
                    });
    if (is_awaited)
        look_up_origins(state, on_look_up_end);
}

// Streams that came during a look-up need one that begins after them.
void on_look_up_end(gateway_state& state, mono_time began_at,
                    look_up_state result)
{
    end_queries(
        state,
        [began_at](open_origin_query const& query)
        {
            return query.wait == origin_wait::look_up &&
                   query.sent_at <= began_at;
        },
        result);
    look_up_if_awaited(state);
}

void on_origin_notice(gateway_state& state, status::origin_notice const& notice)
{
    record_origin(state.origins, notice.stream, notice.software_version);
    if (!notice.is_sender_writing)
        keep_begun(state.origin_writes,
                   {notice.stream, notice.software_version, mono_now(), true});
}

void on_origin_query(gateway_state& state, address const& sender,
                     status::origin_query const& query)
{
    auto const known = find_origin(state.origins, query.stream);
    status::origin_response response;
    response.stream = query.stream;
    response.is_known = known.has_value();
    response.software_version = known.value_or("");
    state.datagrams->send(sender, status::to_datagram(response));
}

// Only an answer to an open query counts, and each queried gateway once.
void on_origin_response(gateway_state& state, std::string const& host,
                        status::origin_response const& response)
{
    bool is_awaited = false;
    for (auto& [key, query] : state.origin_queries)
    {
        if (query.stream == response.stream && query.open.erase(host) > 0)
            is_awaited = true;
    }
    if (!is_awaited)
        return;
    if (response.is_known)
        record_origin(state.origins, response.stream,
                      response.software_version);
    end_queries(
        state,
        [&](open_origin_query const& query)
        {
            return query.stream == response.stream &&
                   (response.is_known ||
                    (query.open.empty() && query.wait == origin_wait::answers));
        });
}

} // namespace

bool is_resumed(active_call const& call)
{
    return call.route.kind == traffic::call_kind::stream &&
           !call.caller_request.last_event.empty();
}

void begin_resumed(gateway_state& state, dispatch::call_key key)
{
    apply_resume(state, key, {});
}

void select_resume_pool(gateway_state& state, active_call& call)
{
    if (!call.dispatch_call.software_version ||
        dispatch::has_candidate(state.dispatch, call.dispatch_call))
        return;
    auto pool = choose_resume_pool(state.dispatch, call.dispatch_call,
                                   call.route, state.random_engine());
    if (!pool.empty())
        call.dispatch_call.pool = std::move(pool);
}

void on_origin_datagram(gateway_state& state, address const& sender,
                        std::string_view bytes)
{
    if (auto const notice = status::from_datagram<status::origin_notice>(bytes))
        on_origin_notice(state, *notice);
    else if (auto const query =
                 status::from_datagram<status::origin_query>(bytes))
        on_origin_query(state, sender, *query);
    else if (auto const response =
                 status::from_datagram<status::origin_response>(bytes))
        on_origin_response(state, sender.host, *response);
}

void expire_origin_queries(gateway_state& state)
{
    auto const now = mono_now();
    auto const as_of = records_as_of(state);
    end_queries(state,
                [now, as_of](open_origin_query const& query)
                {
                    auto const timeout = query.wait == origin_wait::look_up
                                             ? look_up_wait
                                             : origin_query_timeout;
                    bool const has_records =
                        query.wait == origin_wait::records && as_of &&
                        *as_of >= query.sent_at;
                    return now - query.sent_at >= timeout || has_records;
                });
    look_up_if_awaited(state);
}

} // namespace jujubestand::gateway
