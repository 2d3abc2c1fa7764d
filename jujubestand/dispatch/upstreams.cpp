#include <jujubestand/dispatch/upstreams.hpp>

#include <algorithm>
#include <cmath>
#include <jujubestand/dispatch/failures.hpp>
#include <jujubestand/dispatch/former_upstreams.hpp>
#include <jujubestand/dispatch/speeds.hpp>
#include <jujubestand/dispatch/useful_first.hpp>
#include <jujubestand/placement/rendezvous.hpp>
#include <utility>

namespace jujubestand::dispatch
{

namespace
{

upstream* find(state& dispatcher, upstream_key key)
{
    auto const found = dispatcher.upstreams.find(key);
    return found == dispatcher.upstreams.end() ? nullptr : &found->second;
}

void raise_version(std::map<std::string, std::uint64_t>& versions,
                   std::string const& model, std::uint64_t version)
{
    auto& known = versions[model];
    known = std::max(known, version);
}

// An engine that lacks a request also lacks all later ones. Once one of these
// is too old for the engine to be allowed, the request has no more effect.
void remove_redundant(std::vector<wanted_version>& requests,
                      mono_time oldest_allowed)
{
    auto const first_allowed =
        std::find_if(requests.begin(), requests.end(),
                     [oldest_allowed](wanted_version const& request)
                     {
                         return request.since > oldest_allowed;
                     });
    if (first_allowed - requests.begin() > 1)
        requests.erase(requests.begin(), first_allowed - 1);
}

// An engine that has started again under its id knows nothing of before, but
// its agent may still have a report of the process before.
bool is_of_process_before(upstream const& target,
                          status::engine_report const& report)
{
    return report.started_at_ms != 0 &&
           report.started_at_ms < target.record.born_ms;
}

// Calls that have waited for the end of a pause must not come all at once.
void space_after_pause(state const& dispatcher, upstream& target, mono_time now)
{
    auto const& limits = dispatcher.limits;
    if (now - target.paused_until >= limits.resume_time)
        return;
    std::chrono::duration<double, std::milli> const resumed_for =
        now - target.paused_until;
    std::chrono::duration<double> const interval{
        dispatcher.gateways / limits.resume_calls_per_second /
        std::exp2(resumed_for / limits.resume_doubling)};
    target.avoid_until =
        std::max(target.avoid_until,
                 now + std::chrono::duration_cast<microseconds>(interval));
}

// The latest process of an upstream, though its record may be older.
process_id id_of(state const& dispatcher, upstream const& target)
{
    return latest_process(dispatcher.words,
                          {target.record.id, target.record.born_ms});
}

// A record may be the first of its process here, come back, or come from an
// older copy of the store.
void apply_words(state& dispatcher, upstream& target)
{
    process_id const named{target.record.id, target.record.born_ms};
    record_process(dispatcher.words, named);
    if (target.record.is_leaving)
        record_leaving(dispatcher.words, named);
    auto const words = find_words(dispatcher.words, id_of(dispatcher, target));
    target.record.is_leaving = target.record.is_leaving || words.is_leaving;
    target.paused_until = words.paused_until;
}

// The upstream whose latest process this is.
upstream* find_latest(state& dispatcher, process_id const& process)
{
    auto const known = dispatcher.keys_by_id.find(process.upstream);
    if (known == dispatcher.keys_by_id.end())
        return nullptr;
    upstream* const target = find(dispatcher, known->second);
    return id_of(dispatcher, *target) == process ? target : nullptr;
}

void remove_host(state& dispatcher, std::string const& host, upstream_key key)
{
    auto const found = dispatcher.keys_by_host.find(host);
    if (found == dispatcher.keys_by_host.end())
        return;
    std::erase(found->second, key);
    if (found->second.empty())
        dispatcher.keys_by_host.erase(found);
}

void add_host(state& dispatcher, std::string const& host, upstream_key key)
{
    auto& keys = dispatcher.keys_by_host[host];
    keys.insert(std::lower_bound(keys.begin(), keys.end(), key), key);
}

// Two upstreams can't share an address: the one that started later owns it.
void mark_replaced(state& dispatcher, upstream& added,
                   traffic::upstream_record const& record)
{
    for (auto& [key, other] : dispatcher.upstreams)
    {
        if (key == added.key || other.record.where != record.where)
            continue;
        bool const is_older = other.record.born_ms <= record.born_ms;
        (is_older ? other : added).is_replaced = true;
    }
}

} // namespace

bool on_upstream_record(state& dispatcher,
                        traffic::upstream_record const& record)
{
    auto const known = dispatcher.keys_by_id.find(record.id);
    bool const is_new = known == dispatcher.keys_by_id.end();
    upstream_key const key =
        is_new ? key_of_new(dispatcher, record.id) : known->second;
    upstream& target = dispatcher.upstreams[key];
    if (is_new)
    {
        dispatcher.keys_by_id[record.id] = key;
        target.key = key;
        target.name_hash = placement::name_hash_of(to_text(record.where));
        restore_former(dispatcher, target, record);
    }
    bool const is_restarted =
        !is_new && record.born_ms != target.record.born_ms;
    if (is_restarted)
    {
        target.versions.clear();
        target.load.reset();
        target.cache = {};
        target.expected_parts.clear();
        target.failures = 0;
        target.failure_steps = 0;
        target.stepped_at = mono_time{};
        target.is_replaced = false;
        target.avoid_until = mono_time{};
        target.limit.reset();
        target.sends = {};
        target.speeds = {};
    }
    if (is_new)
        mark_replaced(dispatcher, target, record);
    bool const has_moved =
        is_new || target.record.where.host != record.where.host;
    if (has_moved && !is_new)
        remove_host(dispatcher, target.record.where.host, key);
    if (has_moved)
        add_host(dispatcher, record.where.host, key);
    target.record = record;
    apply_words(dispatcher, target);
    for (auto const& [model, version] : record.versions)
        raise_version(target.versions, model, version);
    return is_new;
}

void on_upstream_removed(state& dispatcher, std::string const& id)
{
    auto const known = dispatcher.keys_by_id.find(id);
    if (known == dispatcher.keys_by_id.end())
        return;
    auto const& removed = dispatcher.upstreams.at(known->second);
    remove_host(dispatcher, removed.record.where.host, known->second);
    record_former(dispatcher, removed);
    dispatcher.upstreams.erase(known->second);
    dispatcher.keys_by_id.erase(known);
}

void on_misdirected(state& dispatcher, upstream_key target_key)
{
    upstream* const target = find(dispatcher, target_key);
    if (target != nullptr)
        target->is_replaced = true;
}

void on_load_report(state& dispatcher, upstream_key target_key,
                    engine_load const& load)
{
    upstream* const target = find(dispatcher, target_key);
    if (target == nullptr || is_of_process_before(*target, load.report))
        return;
    target->load = load;
    for (auto const& [model, version] : load.report.versions)
        raise_version(target->versions, model, version);
}

void on_cache_delta(state& dispatcher, upstream_key target_key,
                    status::cache_delta const& delta)
{
    upstream* const target = find(dispatcher, target_key);
    if (target != nullptr)
        status::on_delta(target->cache, delta);
}

void on_weights_seen(state& dispatcher, upstream_key target_key,
                     std::string const& model, std::uint64_t version)
{
    upstream* const target = find(dispatcher, target_key);
    if (target != nullptr)
        raise_version(target->versions, model, version);
}

void on_wanted_weights(state& dispatcher, std::string const& model,
                       std::uint64_t version, mono_time since)
{
    auto& requests = dispatcher.weights[model];
    if (!requests.empty() && version <= requests.back().version)
        return;
    requests.push_back({version, since});
    remove_redundant(requests, since - dispatcher.limits.weights_lag);
}

bool is_at_latest_process(state const& dispatcher, call_key call)
{
    auto const sent = dispatcher.sends.find(call);
    if (sent == dispatcher.sends.end())
        return false;
    auto const target = dispatcher.upstreams.find(sent->second.upstream);
    return target != dispatcher.upstreams.end() &&
           id_of(dispatcher, target->second) == sent->second.process;
}

std::optional<process_id> process_of(state const& dispatcher, call_key call)
{
    auto const sent = dispatcher.sends.find(call);
    if (sent == dispatcher.sends.end())
        return std::nullopt;
    return sent->second.process;
}

bool on_leaving_stated(state& dispatcher, process_id const& process)
{
    bool const is_news = record_leaving(dispatcher.words, process);
    if (upstream* const target = find_latest(dispatcher, process))
        target->record.is_leaving = true;
    return is_news;
}

bool on_pause_stated(state& dispatcher, process_id const& process,
                     std::chrono::milliseconds pause, wall_time wall_now,
                     mono_time now)
{
    if (pause.count() == 0)
        return false;
    bool const is_news =
        record_pause(dispatcher.words, process, pause, wall_now, now);
    if (upstream* const target = find_latest(dispatcher, process))
        target->paused_until = std::max(target->paused_until, now + pause);
    return is_news;
}

bool on_leaving_stated(state& dispatcher, upstream_key target_key)
{
    upstream const* const target = find(dispatcher, target_key);
    return target != nullptr &&
           on_leaving_stated(dispatcher, id_of(dispatcher, *target));
}

bool on_pause_stated(state& dispatcher, upstream_key target_key,
                     std::chrono::milliseconds pause, wall_time wall_now,
                     mono_time now)
{
    upstream const* const target = find(dispatcher, target_key);
    return target != nullptr &&
           on_pause_stated(dispatcher, id_of(dispatcher, *target), pause,
                           wall_now, now);
}

limits::limit_change on_limit_statement(state& dispatcher,
                                        upstream_key target_key,
                                        limits::statement const& stated,
                                        bool is_own, wall_time wall_now,
                                        mono_time now)
{
    upstream* const target = find(dispatcher, target_key);
    if (target == nullptr)
        return limits::limit_change::none;
    bool const was_limited = limits::applies(target->limit, now);
    auto const change =
        is_own ? limits::on_own_statement(target->limit, stated, now)
               : limits::on_reported_statement(target->limit, stated, wall_now,
                                               now);
    if (!was_limited && limits::applies(target->limit, now))
        target->permits = limits::begin_holding(
            target->permits, limits::value_of(target->sends, now),
            dispatcher.gateways, now);
    return change;
}

void record_need(state& dispatcher, std::string const& pool, mono_time now)
{
    for (auto& [key, target] : dispatcher.upstreams)
    {
        if (target.record.pool == pool && limits::applies(target.limit, now))
            target.permits.needed_at = now;
    }
}

void count_send(state const& dispatcher, upstream& target, mono_time now)
{
    limits::add_call(target.sends, now);
    space_after_pause(dispatcher, target, now);
    if (limits::applies(target.limit, now))
        limits::use_permit(target.permits);
}

void on_answer_bytes(state& dispatcher, call_key call, mono_time now)
{
    auto const found = dispatcher.sends.find(call);
    if (found == dispatcher.sends.end())
        return;
    upstream* const target = find(dispatcher, found->second.upstream);
    if (target == nullptr)
        return;
    target->unanswered_since = now;
    target->answered_at = now;
}

void on_first_output(state& dispatcher, call_key call)
{
    auto const found = dispatcher.sends.find(call);
    if (found == dispatcher.sends.end() || !found->second.is_prefilling)
        return;
    if (auto const* const target = find(dispatcher, found->second.upstream))
        record_first_output(dispatcher, found->second, true,
                            target->answered_at);
    found->second.is_prefilling = false;
}

void on_send_end(state& dispatcher, call_key call, send_outcome outcome,
                 mono_time now)
{
    auto const found = dispatcher.sends.find(call);
    if (found == dispatcher.sends.end())
        return;
    if (found->second.is_prefilling &&
        (outcome == send_outcome::served || outcome == send_outcome::cancelled))
        record_first_output(dispatcher, found->second,
                            outcome == send_outcome::served, now);
    upstream* const target = find(dispatcher, found->second.upstream);
    auto const ended = std::move(found->second);
    dispatcher.sends.erase(found);
    if (target == nullptr)
        return;
    --target->open_calls;
    if (target->open_calls == 0)
        target->unanswered_since.reset();
    record_outcome(dispatcher, *target, outcome, ended.sent_at, now);
    measure_end(dispatcher, *target, ended, outcome, now);
}

upstream const* find_by_host(state const& dispatcher, std::string const& host)
{
    auto const found = dispatcher.keys_by_host.find(host);
    if (found == dispatcher.keys_by_host.end())
        return nullptr;
    upstream const* result = nullptr;
    for (auto const key : found->second)
    {
        upstream const& target = dispatcher.upstreams.at(key);
        // Prefers the newest one if an older one is still registered.
        bool const is_newer =
            result == nullptr || result->is_replaced || !target.is_replaced;
        if (is_newer)
            result = &target;
    }
    return result;
}

} // namespace jujubestand::dispatch
