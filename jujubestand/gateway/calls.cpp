#include <jujubestand/gateway/calls.hpp>

#include <algorithm>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/beliefs.hpp>
#include <jujubestand/gateway/repeats.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <platform/calls.hpp>

namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds not_fresh_pause{500};

/// Retry-After while draining: callers may turn to another gateway at once.
constexpr std::chrono::milliseconds stopping_pause{50};

/// Time after the start of a drain during which all calls are accepted.
constexpr std::chrono::milliseconds stop_free_time{2'500};

/// Longest time allowed for a call that is not a model request.
constexpr std::chrono::milliseconds plain_call_time{3'000};

/// Interval at which waiting calls are re-evaluated.
constexpr std::chrono::milliseconds review_interval{15};

/// Record age up to which an unknown route or key is reported as such. With
/// older records it may not have been read yet, and the caller is told to
/// retry.
constexpr std::chrono::milliseconds unknown_age_limit{2'500};

problem not_fresh()
{
    problem what;
    what.why = reason{reason_code::tables_stale,
                      "keys and routes are not confirmed current",
                      {}};
    what.retry_after = not_fresh_pause;
    return what;
}

problem unknown(int status, reason_code code, char const* text)
{
    problem what;
    what.status = status;
    what.why = reason{code, text, {}};
    return what;
}

// Failure for an unknown key or route; only recent records can confirm that it
// does not exist.
problem unknown_or_stale(gateway_state const& self, problem const& what,
                         mono_time now)
{
    auto const age = follow::age(self.operator_topic->known(), now);
    return age && *age <= unknown_age_limit ? what : not_fresh();
}

dispatch::call terms_of(live_call const& call, dispatch::call_key key,
                        std::string_view pool)
{
    dispatch::call terms;
    terms.key = key;
    terms.pool = pool;
    if (call.route.has_prompts)
        terms.asked = call.asked.asked;
    terms.cache_owner =
        call.team.is_isolated ? "team " + call.team.name : "all";
    terms.priority = call.team.priority.value_or(call.route.priority);
    terms.arrived_at = call.arrived_at;
    terms.deadline = call.deadline;
    terms.target_latency = call.route.target_latency;
    return terms;
}

problem stopping()
{
    problem what;
    what.why = reason{reason_code::draining, "gateway is draining", {}};
    what.retry_after = stopping_pause;
    return what;
}

// The load balancer may route callers here until the process ends. Calls that
// the end could cut off are rejected before they run. The queueing time of a
// prompt at an engine is unknown, so prompts are not accepted late in a drain.
bool ends_before_stop(gateway_state const& self, live_call const& call)
{
    if (!self.is_stopping)
        return true;
    auto const since = call.arrived_at - self.stopping_since;
    if (since < stop_free_time)
        return true;
    auto const left = self.settings.limits.stop_grace - since;
    return !call.terms.asked && left > plain_call_time;
}

void take_in(gateway_state& self, live_call call)
{
    auto const key = ++self.last_call;
    auto const pool = traffic::choose_pool(call.route, self.draw());
    call.terms = terms_of(call, key, pool);
    retries::take_request(self.budgets[call.terms.pool], retry_options_of(self),
                          call.arrived_at);
    retries::take_request(self.rescues[call.terms.pool],
                          rescue_options_of(self), call.arrived_at);
    self.log->write(
        event_number::request_accepted, call.asked.request_id,
        {{"route", call.route.name},
         {"team", call.team.name},
         {"left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                         call.deadline - call.arrived_at)
                         .count()}});
    if (!ends_before_stop(self, call))
    {
        refuse_request(self, call.exchange, call.asked.request_id, stopping());
        return;
    }
    self.by_exchange[call.exchange] = key;
    auto const terms = call.terms;
    self.live.emplace(key, std::move(call));
    auto const made = dispatch::submit(self.dispatch, terms, mono_now());
    apply(self, made);
    plan_review(self);
}

} // namespace

void on_request(gateway_state& self, http1::exchange_id exchange,
                http1::server_request request)
{
    if (platform::is_readiness_question(request.head))
    {
        bool const ready = is_ready(self, mono_now());
        self.callers->respond(exchange, ready ? 200 : status_unavailable, {},
                              {});
        return;
    }
    live_call call;
    call.exchange = exchange;
    call.arrived_at = mono_now();
    call.asked = platform::read_call(std::move(request));
    auto const& id = call.asked.request_id;
    if (!check_freshness(self, call.arrived_at))
    {
        refuse_request(self, exchange, id, not_fresh());
        return;
    }
    auto const* const route =
        traffic::find_route(*self.tables, call.asked.host, call.asked.path);
    if (route == nullptr)
    {
        refuse_request(self, exchange, id,
                       unknown_or_stale(self,
                                        unknown(status_not_found,
                                                reason_code::unknown_route,
                                                "no matching route"),
                                        call.arrived_at));
        return;
    }
    auto const* const team = traffic::find_team(*self.tables, call.asked.key);
    bool const needs_key = !route->is_public && !self.tables->teams.empty();
    if (needs_key && team == nullptr)
    {
        refuse_request(self, exchange, id,
                       unknown_or_stale(self,
                                        unknown(status_unauthorized,
                                                reason_code::unknown_team,
                                                "unknown API key"),
                                        call.arrived_at));
        return;
    }
    call.route = *route;
    if (needs_key)
        call.team = *team;
    call.deadline =
        call.arrived_at +
        std::min(call.asked.time_left.value_or(route->timeout), route->timeout);
    take_in(self, std::move(call));
}

void on_caller_gone(gateway_state& self, http1::exchange_id exchange)
{
    auto const found = self.by_exchange.find(exchange);
    if (found == self.by_exchange.end())
        return;
    auto const key = found->second;
    auto const& call = self.live.at(key);
    self.log->write(event_number::caller_closed, call.asked.request_id,
                    {{"upstream", call.upstream}});
    self.upstreams->cancel(call.send);
    dispatch::on_send_end(self.dispatch, key, dispatch::send_outcome::cancelled,
                          mono_now());
    dispatch::forget(self.dispatch, key);
    end_call(self, key);
}

// Agents send hundreds of status datagrams per second; a review for each would
// use all CPU time of a small gateway.
void plan_review(gateway_state& self)
{
    if (self.is_review_planned || self.dispatch.waiting.empty())
        return;
    self.is_review_planned = true;
    self.review_timer->start(review_interval);
}

void review_waiting(gateway_state& self)
{
    if (self.dispatch.waiting.empty())
        return;
    for (auto const& made : dispatch::review(self.dispatch, mono_now()))
        apply(self, made);
    plan_review(self);
}

} // namespace jujubestand::gateway
