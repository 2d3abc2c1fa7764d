#include <jujubestand/dispatch/choice.hpp>

#include <algorithm>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/placement/rendezvous.hpp>

namespace jujubestand::dispatch
{

namespace
{

/// A prompt's parts that others share, and those that are its own.
struct prompt_split
{
    std::vector<traffic::prompt_part> shared;
    double shared_tokens = 0;
    double own_tokens = 0;
    /// Part that decides which engine is the prompt's home.
    std::uint64_t home_part = 0;
};

prompt_split split_of(traffic::prompt const& asked)
{
    prompt_split result;
    if (asked.parts.empty())
    {
        result.own_tokens = asked.input_tokens;
        return result;
    }
    result.shared.assign(asked.parts.begin(), asked.parts.end() - 1);
    for (auto const& part : result.shared)
        result.shared_tokens += part.tokens;
    result.own_tokens = asked.parts.back().tokens;
    result.home_part =
        result.shared.empty() ? asked.parts.back().id : result.shared.back().id;
    return result;
}

/// Hashes of a prompt's shared parts under one version of the weights.
std::vector<status::part_hash>
hashes_of(call const& asked, prompt_split const& split, std::uint64_t weights)
{
    std::string const scope = cache_scope(asked.cache_owner, weights);
    std::vector<status::part_hash> result;
    for (auto const& part : split.shared)
        result.push_back(status::hash_of(scope, part.id));
    return result;
}

/// Tokens of the shared parts that are held, from the first part on: a part
/// serves only if all before it are there.
template <class TokensHeld>
double held_in_order(prompt_split const& split,
                     std::vector<status::part_hash> const& hashes,
                     TokensHeld const& tokens_held)
{
    constexpr std::uint32_t block_tokens = 16;
    double tokens = 0;
    for (std::size_t at = 0; at < hashes.size(); ++at)
    {
        std::uint32_t const size = split.shared[at].tokens;
        std::uint32_t const has = tokens_held(hashes[at], size);
        tokens += std::min(has, size);
        if (has + block_tokens <= size)
            break;
    }
    return tokens;
}

std::uint32_t held_part(status::cache_copy const& cache, status::part_hash part)
{
    auto const held = cache.parts.find(part);
    return held == cache.parts.end() ? 0 : held->second;
}

double cached_tokens(state const& all, upstream const& one, call const& asked,
                     prompt_split const& split, std::uint64_t weights,
                     mono_time now)
{
    return held_in_order(
        split, hashes_of(asked, split, weights),
        [&](status::part_hash part, std::uint32_t size)
        {
            auto const expected = one.expected_parts.find(part);
            bool const is_expected =
                expected != one.expected_parts.end() &&
                now - expected->second < all.limits.expected_parts_limit;
            return is_expected ? size : held_part(one.cache, part);
        });
}

bool is_fresh(state const& all, upstream const& one, mono_time now)
{
    return one.load && now - one.load->at <= all.limits.report_age_limit;
}

bool is_in_use(state const& all, upstream const& one, mono_time now)
{
    if (one.record.is_leaving || one.is_replaced || one.avoid_until > now)
        return false;
    return !is_fresh(all, one, now) || !one.load->is_down;
}

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

/// Whether a call may begin on an engine's weights, and at what cost.
struct weights_standing
{
    bool is_allowed = false;
    std::uint64_t version = 0;
    double cost_ms = 0;
};

weights_standing weights_of(state const& all, upstream const& one,
                            std::string const& model, mono_time now)
{
    weights_standing result;
    auto const known = one.versions.find(model);
    if (known == one.versions.end())
        return result;
    result.version = known->second;
    result.is_allowed = true;
    auto const want = all.weights.find(model);
    if (want == all.weights.end() || known->second >= want->second.version)
        return result;
    auto const lag = now - want->second.since;
    result.is_allowed = lag < all.limits.weights_lag;
    if (lag > all.limits.weights_grace)
        result.cost_ms = all.limits.old_weights_cost_ms;
    return result;
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

/// An engine or a store that holds most of a prompt's shared parts.
struct source
{
    std::uint64_t weights = 0;
    address where;
    upstream_key engine = 0;
    double tokens = 0;
    double ms_per_token = 0;
};

void offer(std::vector<source>& all, source const& candidate)
{
    auto const found = std::find_if(all.begin(), all.end(),
                                    [&](source const& row)
                                    {
                                        return row.weights == candidate.weights;
                                    });
    if (found == all.end())
        all.push_back(candidate);
    else if (candidate.tokens > found->tokens)
        *found = candidate;
}

// For each version of the weights, since parts of one serve no other.
std::vector<source> find_sources(state const& all, call const& asked,
                                 prompt_split const& split, mono_time now)
{
    std::vector<source> result;
    for (auto const& [key, one] : all.upstreams)
    {
        if (one.record.pool != asked.pool || !is_in_use(all, one, now))
            continue;
        auto const weights = weights_of(all, one, asked.asked->model, now);
        offer(result,
              {weights.version, one.record.where, one.key,
               cached_tokens(all, one, asked, split, weights.version, now),
               all.limits.fetch_ms_per_token});
    }
    for (auto& row : result)
    {
        auto const hashes = hashes_of(asked, split, row.weights);
        for (auto const& store : all.stores)
        {
            double const tokens =
                held_in_order(split, hashes,
                              [&](status::part_hash part, std::uint32_t)
                              {
                                  return held_part(store.cache, part);
                              });
            if (store.is_alive && tokens > row.tokens)
                row = {row.weights, store.where, 0, tokens,
                       all.limits.store_fetch_ms_per_token};
        }
    }
    return result;
}

source source_for(std::vector<source> const& all, std::uint64_t weights)
{
    for (auto const& row : all)
    {
        if (row.weights == weights)
            return row;
    }
    return {};
}

// The store that should keep parts which nobody holds.
std::optional<address> store_for(state const& all, call const& asked,
                                 prompt_split const& split, double read_tokens,
                                 mono_time now)
{
    auto const want = all.weights.find(asked.asked->model);
    bool const is_settled =
        want == all.weights.end() ||
        now - want->second.since > all.limits.save_weights_age;
    if (all.stores.empty() || !is_settled ||
        read_tokens < all.limits.save_tokens_min)
        return std::nullopt;
    auto const& store = all.stores[split.home_part % all.stores.size()];
    return store.is_alive ? std::optional(store.where) : std::nullopt;
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

std::string cache_scope(std::string const& owner, std::uint64_t weights)
{
    return owner + "." + std::to_string(weights);
}

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

std::size_t usable(state const& all, std::string const& pool, mono_time now)
{
    return static_cast<std::size_t>(
        std::count_if(all.upstreams.begin(), all.upstreams.end(),
                      [&](auto const& row)
                      {
                          return row.second.record.pool == pool &&
                                 is_in_use(all, row.second, now);
                      }));
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
