#include <jujubestand/dispatch/choice.hpp>

#include <algorithm>
#include <jujubestand/dispatch/engine_sample.hpp>
#include <jujubestand/dispatch/failures.hpp>
#include <jujubestand/dispatch/parts.hpp>
#include <jujubestand/dispatch/speeds.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/placement/rendezvous.hpp>
#include <unordered_map>

namespace jujubestand::dispatch
{

namespace
{

/// Totals of this process's sends in flight to one engine.
struct send_tally
{
    /// Memory of sends that the engine's report does not include yet.
    double unreported_memory = 0;
    double unreported_tokens = 0;
    double reported_tokens = 0;
    double reported_calls = 0;
    /// Calls without output.
    double prefilling_calls = 0;
};

using tallies = std::unordered_map<upstream_key, send_tally>;

// Counts the sends of all engines in one pass: repeating the count for each
// engine is too slow on a gateway with many open calls.
tallies tally_sends(state const& dispatcher)
{
    tallies result;
    for (auto const& [key, send] : dispatcher.sends)
    {
        auto const found = dispatcher.upstreams.find(send.upstream);
        if (found == dispatcher.upstreams.end())
            continue;
        auto const& load = found->second.load;
        bool const is_reported = load && send.sent_at <= load->reported_at;
        auto& tally = result[send.upstream];
        if (!is_reported)
            tally.unreported_memory += send.memory_tokens;
        if (!send.is_prefilling)
            continue;
        ++tally.prefilling_calls;
        if (is_reported)
        {
            ++tally.reported_calls;
            tally.reported_tokens += send.prefill_tokens;
        }
        else
            tally.unreported_tokens += send.prefill_tokens;
    }
    return result;
}

send_tally find_tally(tallies const& tallies_by_key, upstream_key key)
{
    auto const found = tallies_by_key.find(key);
    return found == tallies_by_key.end() ? send_tally{} : found->second;
}

// Many small calls that have waited for an engine add up to little work, but
// each needs a connection, all at once.
bool is_full_of_prefilling(state const& dispatcher, send_tally const& in_flight)
{
    auto const& limits = dispatcher.limits;
    double const share =
        std::max(limits.prefilling_calls_min,
                 limits.prefilling_calls_limit / dispatcher.gateways);
    return in_flight.prefilling_calls >= share;
}

bool has_memory(state const& dispatcher, upstream const& target,
                send_tally const& in_flight, double tokens, mono_time now)
{
    // What an old report counted has ended since, or may have.
    if (!has_fresh_report(dispatcher, target, now) ||
        target.load->report.memory_total == 0)
        return true;
    auto const& report = target.load->report;
    double const taken =
        static_cast<double>(report.memory_used) + in_flight.unreported_memory;
    // An idle engine can free memory for any call that fits into it at all.
    if (taken == 0)
        return true;
    return taken + tokens <= dispatcher.limits.memory_share *
                                 static_cast<double>(report.memory_total);
}

upstream const* home_engine(state const& dispatcher, std::string const& pool,
                            std::uint64_t part, mono_time now)
{
    upstream const* best = nullptr;
    double best_score = -1;
    for (auto const& [key, target] : dispatcher.upstreams)
    {
        // An upstream with a limit is no home: permits come and go.
        if (target.record.pool != pool || limits::applies(target.limit, now) ||
            !is_available(dispatcher, target, now))
            continue;
        double const score =
            placement::rendezvous_score(part, target.name_hash, 1.0);
        if (score > best_score)
        {
            best_score = score;
            best = &target;
        }
    }
    return best;
}

double failure_cost(state const& dispatcher, upstream const& target,
                    mono_time now)
{
    return recent_failures(dispatcher, target, now) *
           dispatcher.limits.failure_cost_ms;
}

double running_cost(state const& dispatcher, upstream const& target,
                    mono_time now)
{
    double const running = has_fresh_report(dispatcher, target, now)
                               ? target.load->report.running
                               : target.open_calls * dispatcher.gateways;
    return running * dispatcher.limits.running_cost_ms;
}

// Cost of a call that would not end before its engine loads weights.
double interruption_cost(state const& dispatcher, upstream const& target,
                         call const& request, double expected_ms, mono_time now)
{
    if (!target.load || !target.load->load_due_at)
        return 0;
    using milliseconds = std::chrono::duration<double, std::milli>;
    double const left_ms =
        milliseconds(*target.load->load_due_at - now).count();
    double const output_ms = request.model_prompt->output_tokens_expected *
                             output_ms_per_token(dispatcher, target);
    double const duration_ms = expected_ms + output_ms;
    if (duration_ms <= left_ms)
        return 0;
    return std::min(duration_ms * dispatcher.limits.interruption_cost_share,
                    dispatcher.limits.interruption_cost_limit_ms);
}

// Prompt tokens that an engine has yet to prefill. The engine's report covers
// the calls of all gateways; of the sends since then, a gateway has only its
// own. It assumes that the sends of the others correlate with these, fully so
// while calls wait.
double prefill_backlog(state const& dispatcher, upstream const& target,
                       send_tally const& in_flight, mono_time now)
{
    constexpr double usual_correlation = 0.25;
    double const reported =
        has_fresh_report(dispatcher, target, now)
            ? target.load->report.prefilling + target.load->report.queued
            : 0.0;
    double const correlation =
        dispatcher.waiting.empty() ? usual_correlation : 1.0;
    double const other_gateways = dispatcher.gateways - 1;
    return in_flight.reported_tokens +
           std::max(0.0, reported - in_flight.reported_calls) *
               dispatcher.mean_prefill_tokens +
           in_flight.unreported_tokens * (1.0 + other_gateways * correlation);
}

// Other gateways may have brought shared parts to the engine that are not known
// to be there yet; its prefill would seem too fast.
bool is_mostly_own(double uncached_shared_tokens, double prefill_tokens)
{
    constexpr double shared_share = 0.25;
    return uncached_shared_tokens <= prefill_tokens * shared_share;
}

std::optional<choice>
evaluate_engine(state const& dispatcher, upstream const& target,
                call const& request, prompt_split const& split,
                std::vector<part_source> const& sources, upstream const* home,
                send_tally const& in_flight, mono_time now)
{
    constexpr double fetch_tokens_min = 64;
    auto const weights =
        check_weights(dispatcher, target, request.model_prompt->model, now);
    if (!weights.is_allowed)
        return std::nullopt;
    bool const is_reported = has_fresh_report(dispatcher, target, now);
    if (is_reported &&
        (target.load->report.is_busy || target.load->is_preparing))
        return std::nullopt;
    if (is_reported && target.record.slots > 0 &&
        target.load->report.running >= target.record.slots)
        return std::nullopt;
    choice result;
    result.upstream = target.key;
    result.weights = weights.version;
    double const cached =
        cached_tokens(dispatcher, target, request, split, weights.version, now);
    auto const best = find_source(sources, weights.version);
    double const fetched = std::max(0.0, best.tokens - cached);
    result.cached_tokens = cached;
    result.prefill_tokens =
        split.own_tokens + split.shared_tokens - cached - fetched;
    result.memory_tokens = split.own_tokens +
                           request.model_prompt->output_tokens_limit +
                           split.shared_tokens - cached;
    if (!has_memory(dispatcher, target, in_flight, result.memory_tokens, now))
        return std::nullopt;
    if (is_full_of_prefilling(dispatcher, in_flight))
        return std::nullopt;
    double const backlog = prefill_backlog(dispatcher, target, in_flight, now);
    double const speed = prefill_tokens_per_ms(dispatcher, target);
    double const backlog_ms = backlog / speed;
    if (backlog_ms > dispatcher.limits.prefill_backlog_limit_ms)
        return std::nullopt;
    result.expected_ms =
        backlog_ms + result.prefill_tokens / speed +
        fetched * best.ms_per_token + running_cost(dispatcher, target, now) +
        weights.cost_ms + failure_cost(dispatcher, target, now);
    if (fetched > fetch_tokens_min)
        result.fetch_from = best.where;
    bool const is_copy = best.engine != 0 && best.tokens > fetch_tokens_min
                             ? fetched > fetch_tokens_min
                             : &target != home;
    if (is_copy)
        result.expected_ms += dispatcher.limits.copy_cost_ms;
    double const uncached = split.shared_tokens - cached - fetched;
    result.save_to = select_store(dispatcher, request, split, uncached, now);
    result.forecast = {backlog, !dispatcher.waiting.empty(),
                       is_reported && !request.software_version &&
                           fetched <= fetch_tokens_min &&
                           is_mostly_own(uncached, result.prefill_tokens)};
    if (weights.is_old)
        result.expected_ms +=
            uncached * dispatcher.limits.old_weights_prefill_cost_ms_per_token;
    if (&target != home)
        result.expected_ms +=
            uncached * dispatcher.limits.repeated_prefill_cost_ms_per_token;
    result.expected_ms +=
        interruption_cost(dispatcher, target, request, result.expected_ms, now);
    return result;
}

// While few calls are open, cost by these alone would send all calls of all
// gateways to the fastest service. Recent calls share them in proportion to
// speed.
double uneven_cost(upstream const& target, double ratio,
                   double open_call_cost_ms, mono_time now)
{
    constexpr double recent_call_cost_ms = 2;
    return ratio *
           (target.open_calls * open_call_cost_ms +
            (1 + limits::value_of(target.sends, now)) * recent_call_cost_ms);
}

std::optional<choice> evaluate_plain(state const& dispatcher,
                                     upstream const& target, mono_time now)
{
    // A service queues a few calls beyond its slots; the limit is this
    // gateway's share of both.
    constexpr std::uint32_t queue_factor = 4;
    constexpr std::uint32_t share_min = 3;
    constexpr double open_call_cost_ms = 40;
    constexpr double other_data_center_cost_ms = 2;
    auto const ratio = relative_call_time(target);
    auto const slots =
        static_cast<std::uint32_t>(target.record.slots / ratio.value_or(1));
    std::uint32_t const share =
        std::max(share_min, slots * queue_factor / dispatcher.gateways);
    if (target.record.slots > 0 && target.open_calls >= share)
        return std::nullopt;
    choice result;
    result.upstream = target.key;
    result.expected_ms = target.open_calls * open_call_cost_ms +
                         failure_cost(dispatcher, target, now);
    if (ratio)
        result.expected_ms =
            uneven_cost(target, *ratio, open_call_cost_ms, now) +
            failure_cost(dispatcher, target, now);
    if (target.record.data_center != dispatcher.data_center)
        result.expected_ms += other_data_center_cost_ms;
    return result;
}

bool is_usable(state const& dispatcher, upstream const& target,
               call const& request, mono_time now)
{
    return target.record.pool == request.pool &&
           !was_tried(request, target.key) && has_software(target, request) &&
           is_available(dispatcher, target, now);
}

// A call that may run once can't be sent again after a second refusal from one
// endpoint, so that it goes to others first.
bool avoids_reached(state const& dispatcher, call const& request, mono_time now)
{
    return !request.is_repeatable && !request.reached.empty() &&
           std::any_of(
               dispatcher.upstreams.begin(), dispatcher.upstreams.end(),
               [&](auto const& row)
               {
                   return !has_reached(request, endpoint_of(row.second)) &&
                          is_usable(dispatcher, row.second, request, now);
               });
}

} // namespace

std::optional<choice> choose(state const& dispatcher, call const& request,
                             mono_time now)
{
    if (now < dispatcher.held_until)
        return std::nullopt;
    prompt_split split;
    upstream const* home = nullptr;
    std::vector<part_source> sources;
    auto const in_flight = tally_sends(dispatcher);
    if (request.model_prompt)
    {
        split = split_prompt(*request.model_prompt);
        sources = find_sources(dispatcher, request, split, now);
        home = home_engine(dispatcher, request.pool, split.home_part, now);
    }
    bool const is_avoiding = avoids_reached(dispatcher, request, now);
    std::optional<choice> best;
    std::vector<candidate> engines;
    for (auto const& [key, target] : dispatcher.upstreams)
    {
        if (!is_usable(dispatcher, target, request, now) ||
            (is_avoiding && has_reached(request, endpoint_of(target))))
            continue;
        auto const evaluated =
            request.model_prompt
                ? evaluate_engine(dispatcher, target, request, split, sources,
                                  home, find_tally(in_flight, key), now)
                : evaluate_plain(dispatcher, target, now);
        if (evaluated && request.model_prompt)
            engines.push_back({*evaluated, target.name_hash, &target == home});
        else if (evaluated &&
                 (!best || evaluated->expected_ms < best->expected_ms))
            best = evaluated;
    }
    if (!request.model_prompt)
        return best;
    double const share = sample_share(
        engines.size(), other_sends(dispatcher, request.pool, now));
    return choose_sampled(engines, share, request.key, now);
}

} // namespace jujubestand::dispatch
