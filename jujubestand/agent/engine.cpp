#include <jujubestand/agent/engine.hpp>

#include <jujubestand/agent/answers.hpp>
#include <jujubestand/agent/call_limit.hpp>
#include <jujubestand/agent/pauses.hpp>
#include <jujubestand/agent/weights.hpp>
#include <jujubestand/http1/text_call.hpp>
#include <platform/calls.hpp>
#include <platform/documents.hpp>

namespace jujubestand::agent
{

namespace
{

constexpr std::chrono::milliseconds report_timeout{400};
constexpr std::chrono::milliseconds cache_poll_timeout{1'000};
constexpr std::chrono::milliseconds cache_poll_interval{20};
constexpr std::chrono::milliseconds cache_retry_delay{250};

/// Consecutive failed reports after which the engine counts as unreachable.
constexpr unsigned report_failures_limit = 2;

void set_reachable(agent_state& state, bool is_reachable, reason const& why)
{
    if (state.is_reachable == is_reachable)
        return;
    state.is_reachable = is_reachable;
    if (!is_reachable)
        forget_limit(state);
    state.log->write(is_reachable ? event_number::engine_reachable
                                  : event_number::engine_unreachable,
                     {}, {{"why", to_text(why)}});
}

void log_loaded(agent_state& state, status::engine_report const& next)
{
    if (!state.report)
        return;
    for (auto const& [model, version] : next.versions)
    {
        auto const before = state.report->versions.find(model);
        if (before != state.report->versions.end() && before->second != version)
            state.log->write(event_number::weights_loaded, {},
                             {{"model", model},
                              {"version", static_cast<std::int64_t>(version)}});
    }
}

void on_report(agent_state& state, std::string const& body)
{
    reason why;
    auto const report = platform::decode_report(body, why);
    if (!report)
    {
        if (++state.report_failures >= report_failures_limit)
            set_reachable(state, false, why);
        return;
    }
    state.report_failures = 0;
    log_loaded(state, *report);
    state.report = report;
    state.reported_at = state.report_requested_at;
    set_reachable(state, true, {});
    auto const now = mono_now();
    update_running_calls(state.weights, report->running_ids, now);
    state.weights.is_order_permitted = has_order_permit(state, now);
    if (auto const due = next_order(state.weights, *report, now))
        send_order(state, *due);
    else if (state.weights.is_permit_awaited)
        request_order_permit(state, now);
}

// Puts a request for the cache off to the end of a pause, if there is one.
bool is_put_off(agent_state& state)
{
    auto const left = state.weights.paused_until - mono_now();
    if (left <= microseconds{0})
        return false;
    state.cache_timer->start(
        std::chrono::ceil<std::chrono::milliseconds>(left));
    return true;
}

void list_cache(agent_state& state)
{
    if (is_put_off(state))
        return;
    auto request = platform::cache_list_request(*state.settings.upstream);
    request.timeout = cache_poll_timeout;
    http1::ask_for_text(
        *state.http_client, std::move(request),
        [&state](std::optional<std::string> const& body)
        {
            reason why;
            auto const list =
                platform::decode_cache_list(body.value_or(""), why);
            if (list)
                status::on_list(state.cache, *list);
            state.cache_timer->start(cache_retry_delay);
        },
        [&state](http1::message_head const& head)
        {
            on_stated_pause(state, head);
        });
}

void on_cache_events(agent_state& state, std::optional<std::string> const& body)
{
    reason why;
    auto const events = platform::decode_cache_events(body.value_or(""), why);
    if (!events)
    {
        state.cache_timer->start(cache_retry_delay);
        return;
    }
    if (status::on_events(state.cache, *events))
    {
        state.cache_timer->start(cache_poll_interval);
        return;
    }
    state.log->write(event_number::cache_events_gap, {},
                     {{"next", static_cast<std::int64_t>(events->next)}});
    list_cache(state);
}

} // namespace

void request_report(agent_state& state)
{
    if (state.is_report_in_flight || mono_now() < state.weights.paused_until)
        return;
    state.is_report_in_flight = true;
    state.report_requested_at = mono_now();
    auto request = platform::report_request(*state.settings.upstream);
    request.timeout = report_timeout;
    request.connect_timeout = report_timeout;
    http1::ask_for_text(
        *state.http_client, std::move(request),
        [&state](std::optional<std::string> const& body)
        {
            state.is_report_in_flight = false;
            on_report(state, body.value_or(""));
            notify_gateways(state);
        },
        [&state](http1::message_head const& head)
        {
            on_stated_limit(state, limit_source::report, head);
            on_stated_pause(state, head);
        });
}

void request_cache_events(agent_state& state)
{
    if (is_put_off(state))
        return;
    auto request = platform::cache_events_request(
        *state.settings.upstream, state.cache.next, cache_poll_timeout);
    request.timeout = 2 * cache_poll_timeout;
    http1::ask_for_text(
        *state.http_client, std::move(request),
        [&state](std::optional<std::string> const& body)
        {
            on_cache_events(state, body);
        },
        [&state](http1::message_head const& head)
        {
            on_stated_limit(state, limit_source::cache_events, head);
            on_stated_pause(state, head);
        });
}

} // namespace jujubestand::agent
