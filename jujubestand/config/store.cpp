#include <algorithm>
#include <jujubestand/config/store.hpp>
#include <jujubestand/platform/backoff.hpp>
#include <xxhash.h>

namespace jujubestand::config
{

namespace
{

// A record is appended again after a quarter of the retention; the turns
// spread over a second quarter, so half is left for outages.
constexpr int due_share = 4;
constexpr std::chrono::milliseconds turn_limit{5'000};

event_note note_of(event_number number, log_offset version, std::string by)
{
    event_note note;
    note.number = number;
    note.fields.push_back({"version", std::to_string(version.value)});
    note.fields.push_back({"by", std::move(by)});
    return note;
}

void note_results(store_effects& effects)
{
    for (auto const& result : effects.results)
    {
        if (result.outcome == edit_outcome::accepted)
            continue;
        auto note =
            note_of(event_number::edit_rejected, result.offset, result.author);
        note.fields.push_back({"why", to_text(result.why)});
        effects.notes.push_back(std::move(note));
    }
}

void finish(store& state, store_effects& effects, log_offset before,
            std::string const& source)
{
    note_results(effects);
    if (state.known.content.version == before)
        return;
    effects.applied = true;
    state.index = make_route_index(state.known.content);
    auto note = note_of(event_number::tables_applied,
                        state.known.content.version, state.known.author);
    note.fields.push_back({"source", source});
    effects.notes.push_back(std::move(note));
}

bool may_ask(store& state, instance_id const& peer, mono_time now)
{
    auto const found = state.asked.find(peer);
    if (found != state.asked.end() &&
        now < found->second + state.options.ask_interval)
        return false;
    state.asked[peer] = now;
    return true;
}

void ask_some(store& state, std::vector<instance_id> peers, std::size_t count,
              mono_time now, store_effects& effects)
{
    while (!peers.empty() && effects.ask.size() < count)
    {
        auto const drawn = static_cast<std::ptrdiff_t>(
            platform::next_random(state.seed) % peers.size());
        auto const at = peers.begin() + drawn;
        if (may_ask(state, *at, now))
            effects.ask.push_back(*at);
        peers.erase(at);
    }
}

void ask_peers(store& state, std::vector<instance_id> const& peers,
               mono_time now, store_effects& effects)
{
    if (state.known.content.version == log_offset{})
        return ask_some(state, peers, state.options.asks_at_start, now,
                        effects);
    bool const is_complete = state.log_reachable && is_decided(state.known);
    if (is_complete ||
        (state.outage_asked &&
         now < *state.outage_asked + state.options.outage_interval))
        return;
    state.outage_asked = now;
    ask_some(state, peers, 1, now, effects);
}

std::uint64_t rank_key(instance_id const& id, wall_time since)
{
    auto const seed =
        static_cast<std::uint64_t>(since.time_since_epoch().count());
    return XXH3_64bits_withSeed(id.text.data(), id.text.size(), seed);
}

bool is_snapshot_due(store const& state, std::vector<instance_id> const& peers,
                     wall_time wall)
{
    auto const& known = state.known;
    if (!is_decided(known) || !known.needed_since ||
        known.content.version == log_offset{})
        return false;
    auto const turn =
        snapshot_turn(state.options.self, peers, *known.needed_since,
                      state.options.retention);
    bool const is_long = known.edits_since_snapshot > state.options.edits_limit;
    auto const wait = is_long ? std::chrono::milliseconds(0)
                              : state.options.retention / due_share;
    return wall >= *known.needed_since + wait + turn;
}

void append_snapshot(store& state, std::vector<instance_id> const& peers,
                     mono_time now, wall_time wall, store_effects& effects)
{
    if (!is_snapshot_due(state, peers, wall))
        return;
    if (state.snapshot_tried &&
        now < *state.snapshot_tried + state.options.snapshot_retry)
        return;
    state.snapshot_tried = now;
    auto const& known = state.known;
    effects.append = pack(snapshot{known.read_to, known.author, known.content});
    effects.notes.push_back(note_of(event_number::tables_expired_soon,
                                    known.content.version, known.author));
}

} // namespace

store make_store(store_options const& options)
{
    store state;
    state.options = options;
    state.seed = options.seed;
    return state;
}

tables const& in_force(store const& state) noexcept
{
    return state.known.content;
}

tables_age compare(store const& state, log_offset seen) noexcept
{
    if (seen == state.known.content.version)
        return tables_age::same;
    return seen < state.known.content.version ? tables_age::older
                                              : tables_age::newer;
}

store_effects on_batch(store& state, platform::log_batch const& batch)
{
    store_effects effects;
    auto const before = state.known.content.version;
    for (auto const& read : batch.records)
    {
        auto decided = take(state.known, read);
        effects.results.insert(effects.results.end(), decided.begin(),
                               decided.end());
    }
    finish(state, effects, before, "log");
    return effects;
}

store_effects on_gap(store& state, log_offset first)
{
    store_effects effects;
    skip_lost(state.known, first);
    return effects;
}

void on_log_state(store& state, bool is_reachable) noexcept
{
    state.log_reachable = is_reachable;
}

store_effects on_peer_version(store& state, instance_id const& peer,
                              log_offset version, mono_time now)
{
    store_effects effects;
    if (compare(state, version) == tables_age::newer &&
        may_ask(state, peer, now))
        effects.ask.push_back(peer);
    return effects;
}

store_effects on_tables(store& state, link::tables const& given)
{
    store_effects effects;
    if (given.packed.empty())
        return effects;
    reason why;
    auto const received = unpack_cut(given.packed, why);
    if (!received || received->content.version != given.version)
        return effects;
    auto const before = state.known.content.version;
    auto const place = state.known.next;
    effects.results = adopt(state.known, *received);
    if (state.known.next > place)
        effects.read_from = state.known.next;
    finish(state, effects, before, "peer");
    return effects;
}

link::tables hand_over(store const& state, log_offset have)
{
    auto const& known = state.known;
    if (have >= known.content.version)
        return link::tables{known.content.version, {}};
    return link::tables{known.content.version, pack(cut_of(known))};
}

std::chrono::milliseconds snapshot_turn(instance_id const& self,
                                        std::vector<instance_id> const& peers,
                                        wall_time since,
                                        std::chrono::milliseconds retention)
{
    auto const own = rank_key(self, since);
    auto const rank =
        std::ranges::count_if(peers,
                              [own, since](instance_id const& peer)
                              {
                                  return rank_key(peer, since) < own;
                              });
    auto const count = static_cast<std::int64_t>(peers.size()) + 1;
    auto const step = std::min(turn_limit, retention / due_share / count);
    return step * rank;
}

store_effects on_tick(store& state, std::vector<instance_id> const& peers,
                      mono_time now, wall_time wall)
{
    store_effects effects;
    ask_peers(state, peers, now, effects);
    append_snapshot(state, peers, now, wall, effects);
    return effects;
}

} // namespace jujubestand::config
