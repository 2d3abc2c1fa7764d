#include <jujubestand/dispatch/choice.hpp>

#include <algorithm>
#include <jujubestand/dispatch/parts.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/placement/rendezvous.hpp>
#include <unordered_map>

namespace jujubestand::dispatch
{

namespace
{

/// Totals of this process's sends in flight to one engine.
struct sent_tally
{
    /// Memory of sends that the engine's report does not include yet.
    double unreported_memory = 0;
    double unreported_tokens = 0;
    double reported_tokens = 0;
    double reported_calls = 0;
};

using tallies = std::unordered_map<upstream_key, sent_tally>;

// Counts the sends of all engines in one pass: repeating the count for each
// engine is too slow on a gateway with many open calls.
tallies tally_sends(state const& all)
{
    tallies result;
    for (auto const& [key, send] : all.sends)
    {
        auto const found = all.upstreams.find(send.upstream);
        if (found == all.upstreams.end())
            continue;
        auto const& load = found->second.load;
        bool const is_reported = load && send.at <= load->at;
        auto& tally = result[send.upstream];
        if (!is_reported)
            tally.unreported_memory += send.memory_tokens;
        if (!send.is_reading)
            continue;
        if (is_reported)
        {
            ++tally.reported_calls;
            tally.reported_tokens += send.reading_tokens;
        }
        else
            tally.unreported_tokens += send.reading_tokens;
    }
    return result;
}

sent_tally tally_of(tallies const& all, upstream_key key)
{
    auto const found = all.find(key);
    return found == all.end() ? sent_tally{} : found->second;
}

bool has_memory(state const& all, upstream const& one, sent_tally const& sent,
                double tokens)
{
    if (!one.load || one.load->report.memory_total == 0)
        return true;
    auto const& report = one.load->report;
    double const taken =
        static_cast<double>(report.memory_used) + sent.unreported_memory;
    // An idle engine can free memory for any call that fits into it at all.
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

// Cost of a call that would not end before its engine loads weights.
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

// Prompt tokens that an engine has yet to prefill. The engine's report covers
// the calls of all gateways; of the sends since then, a gateway knows only its
// own. It assumes that the others send alike, most of all when calls wait.
double reading_backlog(state const& all, upstream const& one,
                       sent_tally const& sent)
{
    constexpr double usual_likeness = 0.25;
    double const reported =
        one.load ? one.load->report.reading + one.load->report.queued : 0.0;
    double const likeness = all.waiting.empty() ? usual_likeness : 1.0;
    double const others = all.gateways - 1;
    return sent.reported_tokens +
           std::max(0.0, reported - sent.reported_calls) *
               all.mean_reading_tokens +
           sent.unreported_tokens * (1.0 + others * likeness);
}

std::optional<choice> weigh_engine(state const& all, upstream const& one,
                                   call const& asked, prompt_split const& split,
                                   std::vector<source> const& sources,
                                   upstream const* home, sent_tally const& sent,
                                   mono_time now)
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
    if (!has_memory(all, one, sent, result.memory_tokens))
        return std::nullopt;
    double const backlog_ms =
        reading_backlog(all, one, sent) / all.limits.reading_tokens_per_ms;
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
    // A service queues a few calls beyond its slots; the limit is this
    // gateway's share of both.
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

std::optional<choice> choose(state const& all, call const& asked, mono_time now)
{
    prompt_split split;
    upstream const* home = nullptr;
    std::vector<source> sources;
    auto const sent = tally_sends(all);
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
            asked.asked ? weigh_engine(all, one, asked, split, sources, home,
                                       tally_of(sent, key), now)
                        : weigh_plain(all, one, now);
        if (candidate && (!best || candidate->expected_ms < best->expected_ms))
            best = candidate;
    }
    return best;
}

} // namespace jujubestand::dispatch
