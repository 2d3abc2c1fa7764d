#include <jujubestand/dispatch/upstreams.hpp>

#include <algorithm>
#include <cmath>
#include <jujubestand/placement/rendezvous.hpp>

namespace jujubestand::dispatch
{

namespace
{

/// An answer that reports a failure is weaker evidence of a faulty upstream
/// than no answer.
constexpr double failed_weight = 0.4;
constexpr double unreachable_weight = 2.0;
constexpr double failures_limit = 8.0;

upstream* find(state& all, upstream_key key)
{
    auto const found = all.upstreams.find(key);
    return found == all.upstreams.end() ? nullptr : &found->second;
}

void raise(std::map<std::string, std::uint64_t>& versions,
           std::string const& model, std::uint64_t version)
{
    auto& known = versions[model];
    known = std::max(known, version);
}

double weight_of(send_outcome outcome) noexcept
{
    switch (outcome)
    {
    case send_outcome::failed:
        return failed_weight;
    case send_outcome::unreachable:
        return unreachable_weight;
    case send_outcome::cut:
        return 1.0;
    case send_outcome::served:
    case send_outcome::refused:
    case send_outcome::cancelled:
        break;
    }
    return 0;
}

// A refusal means that the upstream is full or loads weights, so it is avoided
// only briefly.
void judge(state const& all, upstream& one, send_outcome outcome, mono_time now)
{
    double const before = recent_failures(all, one, now);
    one.failures_at = now;
    if (outcome == send_outcome::served)
    {
        constexpr double kept_share = 0.6;
        one.failures = before * kept_share;
        return;
    }
    one.failures = std::min(before + weight_of(outcome), failures_limit);
    if (outcome == send_outcome::refused)
    {
        constexpr std::chrono::milliseconds refused_pause{60};
        one.avoid_until = std::max(one.avoid_until, now + refused_pause);
    }
    if (outcome == send_outcome::unreachable || outcome == send_outcome::cut)
    {
        auto const pause = std::chrono::duration_cast<microseconds>(
            std::chrono::duration<double, std::milli>(
                static_cast<double>(all.limits.avoid_base.count()) *
                std::exp2(one.failures - 1)));
        one.avoid_until =
            now + std::min<microseconds>(pause, all.limits.avoid_limit);
    }
}

// Two upstreams can't share an address: the one that started later owns it.
void replace_others(state& all, upstream& newcomer,
                    traffic::upstream_record const& record)
{
    for (auto& [key, other] : all.upstreams)
    {
        if (key == newcomer.key || other.record.where != record.where)
            continue;
        bool const is_older = other.record.born_ms <= record.born_ms;
        (is_older ? other : newcomer).is_replaced = true;
    }
}

} // namespace

bool on_record(state& all, traffic::upstream_record const& record)
{
    auto const known = all.by_id.find(record.id);
    bool const is_new = known == all.by_id.end();
    upstream_key const key = is_new ? ++all.last_key : known->second;
    upstream& one = all.upstreams[key];
    if (is_new)
    {
        all.by_id[record.id] = key;
        one.key = key;
        one.name_hash = placement::name_hash_of(to_text(record.where));
    }
    bool const is_restarted = !is_new && record.born_ms != one.record.born_ms;
    if (is_restarted)
    {
        one.versions.clear();
        one.load.reset();
        one.cache = {};
        one.expected_parts.clear();
        one.failures = 0;
        one.is_replaced = false;
        one.avoid_until = mono_time{};
    }
    if (is_new)
        replace_others(all, one, record);
    // A leaving upstream stays leaving until its process restarts.
    bool const was_leaving = one.record.is_leaving && !is_restarted;
    one.record = record;
    one.record.is_leaving = record.is_leaving || was_leaving;
    for (auto const& [model, version] : record.versions)
        raise(one.versions, model, version);
    return is_new;
}

void on_removed(state& all, std::string const& id)
{
    auto const known = all.by_id.find(id);
    if (known == all.by_id.end())
        return;
    all.upstreams.erase(known->second);
    all.by_id.erase(known);
}

void on_misdirected(state& all, upstream_key of)
{
    upstream* const one = find(all, of);
    if (one != nullptr)
        one->is_replaced = true;
}

void on_load(state& all, upstream_key of, engine_load const& load)
{
    upstream* const one = find(all, of);
    if (one == nullptr)
        return;
    one->load = load;
    for (auto const& [model, version] : load.report.versions)
        raise(one->versions, model, version);
}

void on_cache(state& all, upstream_key of, status::cache_delta const& delta)
{
    upstream* const one = find(all, of);
    if (one != nullptr)
        status::on_delta(one->cache, delta);
}

void on_weights_seen(state& all, upstream_key of, std::string const& model,
                     std::uint64_t version)
{
    upstream* const one = find(all, of);
    if (one != nullptr)
        raise(one->versions, model, version);
}

void on_wanted_weights(state& all, std::string const& model,
                       std::uint64_t version, mono_time since)
{
    auto& known = all.weights[model];
    if (version > known.version)
        known = wanted{version, since};
}

void on_first_output(state& all, call_key call)
{
    auto const found = all.sends.find(call);
    if (found != all.sends.end())
        found->second.is_reading = false;
}

void on_send_end(state& all, call_key call, send_outcome outcome, mono_time now)
{
    on_first_output(all, call);
    auto const found = all.sends.find(call);
    if (found == all.sends.end())
        return;
    upstream* const one = find(all, found->second.upstream);
    all.sends.erase(found);
    if (one == nullptr)
        return;
    --one->open_calls;
    judge(all, *one, outcome, now);
}

upstream const* find_by_host(state const& all, std::string const& host)
{
    upstream const* result = nullptr;
    for (auto const& [key, one] : all.upstreams)
    {
        // Prefers the newest one if an older one is still registered.
        bool const is_newer =
            result == nullptr || result->is_replaced || !one.is_replaced;
        if (one.record.where.host == host && is_newer)
            result = &one;
    }
    return result;
}

double recent_failures(state const& all, upstream const& one, mono_time now)
{
    if (one.failures <= 0)
        return 0;
    using milliseconds = std::chrono::duration<double, std::milli>;
    double const halves =
        milliseconds(now - one.failures_at).count() /
        static_cast<double>(all.limits.failure_half_life.count());
    return one.failures * std::exp2(-std::max(0.0, halves));
}

} // namespace jujubestand::dispatch
