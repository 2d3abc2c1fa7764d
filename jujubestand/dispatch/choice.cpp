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
    double shared_tokens = 0;
    double own_tokens = 0;
    /// Part that decides which engine is the prompt's home.
    std::uint64_t home_part = 0;
    /// First part, the one that most prompts share.
    std::uint64_t first_part = 0;
};

prompt_split split_of(traffic::prompt const& asked)
{
    prompt_split result;
    double total = 0;
    for (auto const& part : asked.parts)
        total += part.tokens;
    if (!asked.parts.empty())
    {
        auto const last = asked.parts.size() - 1;
        result.own_tokens = asked.parts[last].tokens;
        result.first_part = asked.parts.front().id;
        result.home_part = asked.parts[last == 0 ? 0 : last - 1].id;
    }
    result.shared_tokens = total - result.own_tokens;
    return result;
}

bool is_fresh(state const& all, upstream const& one, mono_time now)
{
    return one.load && now - one.load->at <= all.limits.report_age_limit;
}

bool is_in_use(state const& all, upstream const& one, mono_time now)
{
    if (one.record.is_leaving || one.avoid_until > now)
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
    double const taken = static_cast<double>(report.memory_used) +
                         unreported_memory(all, one);
    // An idle engine makes room for any call that it can hold at all.
    if (taken == 0)
        return true;
    return taken + tokens <= all.limits.memory_share *
                                 static_cast<double>(report.memory_total);
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

std::optional<choice> weigh_engine(state const& all, upstream const& one,
                                   call const& asked, prompt_split const& split,
                                   upstream const* home, mono_time now)
{
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
    result.reading_tokens = split.own_tokens;
    result.memory_tokens = split.own_tokens + asked.asked->output_tokens_limit;
    if (&one != home)
        result.memory_tokens += split.shared_tokens;
    if (!has_memory(all, one, result.memory_tokens))
        return std::nullopt;
    double const backlog_ms =
        reading_backlog(all, one) / all.limits.reading_tokens_per_ms;
    if (backlog_ms > all.limits.reading_backlog_limit_ms)
        return std::nullopt;
    result.expected_ms =
        backlog_ms + split.own_tokens / all.limits.reading_tokens_per_ms +
        running_cost(all, one, now) + weights.cost_ms +
        failure_cost(all, one, now);
    if (&one != home)
        result.expected_ms += all.limits.away_cost_ms;
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

// At the home of the prompt its first part may come from where that part is
// at home; elsewhere all shared parts may come from the prompt's home.
std::optional<address> source_of(state const& all, call const& asked,
                                 prompt_split const& split,
                                 upstream const* home, choice const& chosen,
                                 mono_time now)
{
    if (split.shared_tokens <= 0 || home == nullptr)
        return std::nullopt;
    upstream const* source = home;
    if (home->key == chosen.upstream)
        source = home_of(all, asked.pool, split.first_part, now);
    if (source == nullptr || source->key == chosen.upstream)
        return std::nullopt;
    return source->record.where;
}

} // namespace

double reading_backlog(state const& all, upstream const& one)
{
    double tokens = one.open_reading_tokens;
    if (one.load)
    {
        // What the engine reports beyond our own sends is other gateways'.
        double const reported =
            one.load->report.reading + one.load->report.queued;
        double own = 0;
        for (auto const& [key, send] : all.sends)
        {
            if (send.upstream == one.key && send.is_reading &&
                send.at <= one.load->at)
                ++own;
        }
        tokens += std::max(0.0, reported - own) * all.mean_reading_tokens;
    }
    return tokens;
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
    if (asked.asked)
    {
        split = split_of(*asked.asked);
        home = home_of(all, asked.pool, split.home_part, now);
    }
    std::optional<choice> best;
    for (auto const& [key, one] : all.upstreams)
    {
        if (one.record.pool != asked.pool || was_tried(asked, key) ||
            !is_in_use(all, one, now))
            continue;
        auto const candidate =
            asked.asked ? weigh_engine(all, one, asked, split, home, now)
                        : weigh_plain(all, one, now);
        if (candidate && (!best || candidate->expected_ms < best->expected_ms))
            best = candidate;
    }
    if (best && asked.asked)
        best->fetch_from = source_of(all, asked, split, home, *best, now);
    return best;
}

} // namespace jujubestand::dispatch
