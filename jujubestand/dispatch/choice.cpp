#include <jujubestand/dispatch/choice.hpp>

#include <algorithm>
#include <jujubestand/dispatch/parts.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/placement/rendezvous.hpp>

namespace jujubestand::dispatch
{

namespace
{

// Memory that sends of this process took since the engine's report.
double unreported_memory(state const& all, upstream const& one)
{
    double tokens = 0;
    for (auto const& [key, send] : all.sends)
    {
        bool const is_reported = one.load && send.at <= one.load->at;
        if (send.upstream == one.key && !is_reported)
            tokens += send.memory_tokens;
    }
    return tokens;
}

bool has_memory(state const& all, upstream const& one, double tokens)
{
    if (!one.load || one.load->report.memory_total == 0)
        return true;
    auto const& report = one.load->report;
    double const taken =
        static_cast<double>(report.memory_used) + unreported_memory(all, one);
    // An idle engine makes room for any call that it can hold at all.
    if (taken == 0)
        return true;
    return taken + tokens <=
           all.limits.memory_share * static_cast<double>(report.memory_total);
}

upstream const* home_of(state const& all, std::string const& pool,
                        std::uint64_t part, mono_time now)
{
    upstream const* best = nullptr;
    double best_score = -1;
    for (auto const& [key, one] : all.upstreams)
    {
        if (one.record.pool != pool || !is_in_use(all, one, now))
            continue;
        double const score =
            placement::rendezvous_score(part, one.name_hash, 1.0);
        if (score > best_score)
        {
            best_score = score;
            best = &one;
        }
    }
    return best;
}

double failure_cost(state const& all, upstream const& one, mono_time now)
{
    return recent_failures(all, one, now) * all.limits.failure_cost_ms;
}

double running_cost(state const& all, upstream const& one, mono_time now)
{
    double const running = is_fresh(all, one, now)
                               ? one.load->report.running
                               : one.open_calls * all.gateways;
    return running * all.limits.running_cost_ms;
}

// A call that would not end before its engine loads weights.
double interruption_cost(state const& all, upstream const& one,
                         call const& asked, double expected_ms, mono_time now)
{
    if (!one.load || !one.load->load_due_at)
        return 0;
    using milliseconds = std::chrono::duration<double, std::milli>;
    double const left_ms = milliseconds(*one.load->load_due_at - now).count();
    double const output_ms =
        asked.asked->output_tokens_expected * all.limits.output_ms_per_token;
    double const duration_ms = expected_ms + output_ms;
    if (duration_ms <= left_ms)
        return 0;
    return std::min(duration_ms * all.limits.interruption_cost_share,
                    all.limits.interruption_cost_limit_ms);
}

std::optional<choice> weigh_engine(state const& all, upstream const& one,
                                   call const& asked, prompt_split const& split,
                                   std::vector<source> const& sources,
                                   upstream const* home, mono_time now)
{
    constexpr double fetch_worth_tokens = 64;
    auto const weights = weights_of(all, one, asked.asked->model, now);
    if (!weights.is_allowed)
        return std::nullopt;
    bool const is_reported = is_fresh(all, one, now);
    if (is_reported && (one.load->report.is_busy || one.load->is_preparing))
        return std::nullopt;
    if (is_reported && one.record.slots > 0 &&
        one.load->report.running >= one.record.slots)
        return std::nullopt;
    choice result;
    result.upstream = one.key;
    result.weights = weights.version;
    double const held =
        cached_tokens(all, one, asked, split, weights.version, now);
    auto const best = source_for(sources, weights.version);
    double const fetched = std::max(0.0, best.tokens - held);
    result.cached_tokens = held;
    result.reading_tokens =
        split.own_tokens + split.shared_tokens - held - fetched;
    result.memory_tokens = split.own_tokens + asked.asked->output_tokens_limit +
                           split.shared_tokens - held;
    if (!has_memory(all, one, result.memory_tokens))
        return std::nullopt;
    double const backlog_ms =
        reading_backlog(all, one) / all.limits.reading_tokens_per_ms;
    if (backlog_ms > all.limits.reading_backlog_limit_ms)
        return std::nullopt;
    result.expected_ms =
        backlog_ms + result.reading_tokens / all.limits.reading_tokens_per_ms +
        fetched * best.ms_per_token + running_cost(all, one, now) +
        weights.cost_ms + failure_cost(all, one, now);
    if (fetched > fetch_worth_tokens)
        result.fetch_from = best.where;
    bool const is_copy = best.engine != 0 && best.tokens > fetch_worth_tokens
                             ? fetched > fetch_worth_tokens
                             : &one != home;
    if (is_copy)
        result.expected_ms += all.limits.copy_cost_ms;
    double const reread = split.shared_tokens - held - fetched;
    result.save_to = store_for(all, asked, split, reread, now);
    if (weights.is_old)
        result.expected_ms += reread * all.limits.old_reread_cost_ms_per_token;
    if (&one != home)
        result.expected_ms += reread * all.limits.reread_cost_ms_per_token;
    result.expected_ms +=
        interruption_cost(all, one, asked, result.expected_ms, now);
    return result;
}

std::optional<choice> weigh_plain(state const& all, upstream const& one,
                                  mono_time now)
{
    // A service queues a few calls beyond its slots; our share of both.
    constexpr std::uint32_t queue_factor = 4;
    constexpr std::uint32_t share_min = 3;
    constexpr double open_call_cost_ms = 40;
    constexpr double other_data_center_cost_ms = 2;
    std::uint32_t const share =
        std::max(share_min, one.record.slots * queue_factor / all.gateways);
    if (one.record.slots > 0 && one.open_calls >= share)
        return std::nullopt;
    choice result;
    result.upstream = one.key;
    result.expected_ms =
        one.open_calls * open_call_cost_ms + failure_cost(all, one, now);
    if (one.record.data_center != all.data_center)
        result.expected_ms += other_data_center_cost_ms;
    return result;
}

bool was_tried(call const& asked, upstream_key key)
{
    return std::find(asked.tried.begin(), asked.tried.end(), key) !=
           asked.tried.end();
}

} // namespace

// An engine reports all gateways' calls; of what was sent since, a gateway
// knows its own. Others do as it does, most of all when calls wait.
double reading_backlog(state const& all, upstream const& one)
{
    constexpr double usual_likeness = 0.25;
    double reported = 0;
    double own_reported_calls = 0;
    double own_reported = 0;
    double unreported = 0;
    for (auto const& [key, send] : all.sends)
    {
        if (send.upstream != one.key || !send.is_reading)
            continue;
        if (one.load && send.at <= one.load->at)
        {
            ++own_reported_calls;
            own_reported += send.reading_tokens;
        }
        else
            unreported += send.reading_tokens;
    }
    if (one.load)
        reported = one.load->report.reading + one.load->report.queued;
    double const likeness = all.waiting.empty() ? usual_likeness : 1.0;
    double const others = all.gateways - 1;
    return own_reported +
           std::max(0.0, reported - own_reported_calls) *
               all.mean_reading_tokens +
           unreported * (1.0 + others * likeness);
}

std::optional<choice> choose(state const& all, call const& asked, mono_time now)
{
    prompt_split split;
    upstream const* home = nullptr;
    std::vector<source> sources;
    if (asked.asked)
    {
        split = split_of(*asked.asked);
        sources = find_sources(all, asked, split, now);
        home = home_of(all, asked.pool, split.home_part, now);
    }
    std::optional<choice> best;
    for (auto const& [key, one] : all.upstreams)
    {
        if (one.record.pool != asked.pool || was_tried(asked, key) ||
            !is_in_use(all, one, now))
            continue;
        auto const candidate =
            asked.asked
                ? weigh_engine(all, one, asked, split, sources, home, now)
                : weigh_plain(all, one, now);
        if (candidate && (!best || candidate->expected_ms < best->expected_ms))
            best = candidate;
    }
    return best;
}

} // namespace jujubestand::dispatch
