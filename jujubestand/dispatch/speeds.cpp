#include <jujubestand/dispatch/speeds.hpp>

#include <algorithm>
#include <cmath>
#include <jujubestand/dispatch/speed_rule.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <map>

namespace jujubestand::dispatch
{

namespace
{

using milliseconds = std::chrono::duration<double, std::milli>;

/// Learned values stay within this factor of the constant or of the median: a
/// value that is too high overloads an engine, whose memory then binds.
constexpr double bound_factor = 4;
/// Time to a first output without any prefill.
constexpr double fixed_ms = 22;
/// With fewer tokens the fixed time outweighs their prefill.
constexpr double measured_tokens_min = 2'000;
/// Share of its own tokens that may be ahead of a send that is measured.
constexpr double ahead_share = 0.5;
constexpr std::size_t engine_samples_min = 6;
constexpr std::size_t call_samples_min = 9;
constexpr std::uint64_t output_events_min = 4;
/// A value of an upstream without calls approaches the pool's median by half in
/// this time, so that it gets some again and shows how fast it is.
constexpr std::chrono::seconds unused_half_life{20};
constexpr std::chrono::milliseconds review_interval{250};

double bounded(double value, double usual)
{
    return std::clamp(value, usual / bound_factor, usual * bound_factor);
}

// Whether little was ahead of a send. If that holds for few sends only, most of
// them have waited for calls of other gateways that are not known.
bool is_measured(state& dispatcher, upstream const& target,
                 open_send const& sent)
{
    constexpr double weight = 1.0 / 16;
    constexpr double light_share_min = 0.6;
    auto const& forecast = sent.forecast;
    bool const is_light =
        !forecast.is_pool_full &&
        forecast.tokens_ahead <= sent.prefill_tokens * ahead_share;
    double& light_share = dispatcher.speeds[target.record.pool].light_share;
    light_share += weight * ((is_light ? 1 : 0) - light_share);
    return is_light &&
           (dispatcher.gateways == 1 || light_share >= light_share_min);
}

bool can_measure(state const& dispatcher, open_send const& sent)
{
    return sent.forecast.is_certain &&
           sent.sent_at >= dispatcher.running_since &&
           sent.prefill_tokens >= measured_tokens_min;
}

// The time to the first output holds fixed time, prefill of the call and of
// those ahead, and steps of running calls. Reports are up to 0.1 s old, so that
// what is ahead is not known well while an engine is busy. Only sends with
// little ahead count, by their own tokens alone: what is unknown makes a sample
// too slow and never too fast.
void measure_prefill(state& dispatcher, upstream& target, open_send const& sent,
                     mono_time now)
{
    target.speeds.used_at = now;
    if (!can_measure(dispatcher, sent) ||
        !is_measured(dispatcher, target, sent))
        return;
    constexpr double prefill_share_min = 1.0 / 3;
    double const elapsed_ms = milliseconds(now - sent.sent_at).count();
    double const prefill_ms =
        std::max(elapsed_ms - fixed_ms, elapsed_ms * prefill_share_min);
    double const usual = dispatcher.limits.prefill_tokens_per_ms;
    add_sample(target.speeds.prefill,
               bounded(sent.prefill_tokens / std::max(prefill_ms, 1.0), usual),
               now);
}

void measure_output(upstream& target, output_progress const& output,
                    double usual, mono_time now)
{
    auto const events = output.last_events - output.first_events;
    if (!output.first_at || events < output_events_min)
        return;
    double const ms = milliseconds(output.last_at - *output.first_at).count();
    add_sample(target.speeds.output,
               bounded(ms / static_cast<double>(events), usual), now);
}

// Values of the upstreams with enough samples. A few give the median, the
// spread needs half of them.
template <std::size_t Limit, std::size_t Percent>
distribution
distribution_among(std::vector<upstream*> const& members,
                   sample_window<Limit, Percent> upstream_speeds::*kind,
                   std::size_t samples_min)
{
    constexpr std::size_t median_share = 4;
    constexpr std::size_t median_min = 3;
    std::vector<double> values;
    double log_error = 0;
    for (upstream const* const member : members)
    {
        auto const& window = member->speeds.*kind;
        if (window.count < samples_min)
            continue;
        values.push_back(window.value);
        log_error += window.log_error;
    }
    std::size_t const known = values.size();
    if (known < std::min(members.size(), median_min) ||
        known * median_share < members.size())
        return {};
    auto result = distribution_of(std::move(values),
                                  log_error / static_cast<double>(known));
    if (2 * known < members.size())
        result.spread = 1;
    return result;
}

// Value of an upstream that may have got no call for some time.
double approached(double value, double median, mono_time used_at, mono_time now)
{
    double const halves = milliseconds(now - used_at) / unused_half_life;
    return median * std::pow(value / median, std::exp2(-std::max(0.0, halves)));
}

void use_constants(std::vector<upstream*> const& members)
{
    for (upstream* const member : members)
    {
        member->speeds.prefill_in_use = 0;
        member->speeds.output_in_use = 0;
    }
}

void use_engines(std::vector<upstream*> const& members, double median,
                 mono_time now)
{
    auto const output = distribution_among(members, &upstream_speeds::output,
                                           engine_samples_min);
    for (upstream* const member : members)
    {
        auto& speeds = member->speeds;
        speeds.prefill_in_use =
            speeds.prefill.count >= engine_samples_min
                ? approached(speeds.prefill.value, median, speeds.used_at, now)
                : median;
        speeds.output_in_use = speeds.output.count >= engine_samples_min
                                   ? speeds.output.value
                                   : output.median;
    }
}

void use_calls(std::vector<upstream*> const& members, double median,
               mono_time now)
{
    for (upstream* const member : members)
    {
        auto& speeds = member->speeds;
        speeds.call_ratio_in_use =
            speeds.call.count >= call_samples_min
                ? bounded(approached(speeds.call.value, median, speeds.used_at,
                                     now) /
                              median,
                          1)
                : 1;
    }
}

void review_engines(state const& dispatcher, std::string const& name,
                    pool_speeds& pool, std::vector<upstream*> const& members,
                    std::vector<speeds_change>& changes, mono_time now)
{
    auto const measured = distribution_among(members, &upstream_speeds::prefill,
                                             engine_samples_min);
    // While few are known after restarts, the median of before holds.
    if (measured.median > 0)
        pool.prefill = measured.median;
    if (update(pool.engines,
               demand_of_engines(measured,
                                 dispatcher.limits.prefill_tokens_per_ms),
               now))
        changes.push_back({name, "prefill", pool.engines.is_learned,
                           pool.prefill, measured.spread});
    if (pool.engines.is_learned)
        use_engines(members, pool.prefill, now);
    else
        use_constants(members);
}

void review_calls(std::string const& name, pool_speeds& pool,
                  std::vector<upstream*> const& members,
                  std::vector<speeds_change>& changes, mono_time now)
{
    auto const calls =
        distribution_among(members, &upstream_speeds::call, call_samples_min);
    auto const demanded =
        calls.median > 0 ? demand_of_spread(calls.spread) : speed_demand{};
    if (update(pool.calls, demanded, now))
        changes.push_back(
            {name, "calls", pool.calls.is_learned, calls.median, calls.spread});
    if (pool.calls.is_learned && calls.median > 0)
        use_calls(members, calls.median, now);
    else
        for (upstream* const member : members)
            member->speeds.call_ratio_in_use = 0;
}

} // namespace

double prefill_tokens_per_ms(state const& dispatcher, upstream const& target)
{
    return target.speeds.prefill_in_use > 0
               ? target.speeds.prefill_in_use
               : dispatcher.limits.prefill_tokens_per_ms;
}

double pool_prefill_tokens_per_ms(state const& dispatcher,
                                  std::string const& pool, mono_time now)
{
    double const usual = dispatcher.limits.prefill_tokens_per_ms;
    auto const measured = dispatcher.speeds.find(pool);
    if (measured == dispatcher.speeds.end() ||
        !measured->second.engines.is_learned)
        return usual;
    double sum = 0;
    std::size_t count = 0;
    for (auto const& [key, target] : dispatcher.upstreams)
    {
        if (target.record.pool != pool ||
            !is_available(dispatcher, target, now))
            continue;
        sum += prefill_tokens_per_ms(dispatcher, target);
        ++count;
    }
    return count == 0 ? measured->second.prefill
                      : sum / static_cast<double>(count);
}

double output_ms_per_token(state const& dispatcher, upstream const& target)
{
    return target.speeds.output_in_use > 0
               ? target.speeds.output_in_use
               : dispatcher.limits.output_ms_per_token;
}

std::optional<double> relative_call_time(upstream const& target)
{
    if (target.speeds.call_ratio_in_use <= 0)
        return std::nullopt;
    return target.speeds.call_ratio_in_use;
}

void on_output(state& dispatcher, call_key call, std::uint64_t events,
               mono_time now)
{
    auto const found = dispatcher.sends.find(call);
    if (found == dispatcher.sends.end())
        return;
    auto& sent = found->second;
    sent.output.last_at = now;
    sent.output.last_events = events;
    sent.is_prefilling = false;
    if (sent.output.first_at)
        return;
    sent.output.first_at = now;
    sent.output.first_events = events;
    auto const target = dispatcher.upstreams.find(sent.upstream);
    if (target != dispatcher.upstreams.end())
        measure_prefill(dispatcher, target->second, sent, now);
}

void measure_end(state const& dispatcher, upstream& target,
                 open_send const& ended, send_outcome outcome, mono_time now)
{
    if (outcome != send_outcome::served ||
        ended.sent_at < dispatcher.running_since)
        return;
    if (!ended.model.empty())
        measure_output(target, ended.output,
                       dispatcher.limits.output_ms_per_token, now);
    else
    {
        target.speeds.used_at = now;
        constexpr double call_ms_min = 0.1;
        add_sample(
            target.speeds.call,
            std::max(call_ms_min, milliseconds(now - ended.sent_at).count()),
            now);
    }
}

std::vector<speeds_change> review_speeds(state& dispatcher, mono_time now)
{
    std::vector<speeds_change> changes;
    if (now - dispatcher.speeds_reviewed_at < review_interval)
        return changes;
    dispatcher.speeds_reviewed_at = now;
    std::map<std::string_view, std::vector<upstream*>> members;
    for (auto& [key, target] : dispatcher.upstreams)
        members[target.record.pool].push_back(&target);
    std::erase_if(dispatcher.speeds,
                  [&](auto const& row)
                  {
                      return !members.contains(row.first);
                  });
    for (auto const& [name, upstreams] : members)
    {
        std::string const pool_name{name};
        auto& pool = dispatcher.speeds[pool_name];
        review_engines(dispatcher, pool_name, pool, upstreams, changes, now);
        review_calls(pool_name, pool, upstreams, changes, now);
    }
    return changes;
}

} // namespace jujubestand::dispatch
