#ifndef JUJUBESTAND_PLACEMENT_PLACEMENT_HPP
#define JUJUBESTAND_PLACEMENT_PLACEMENT_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/recent_map.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/prefix/chain.hpp>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubestand::placement
{

/// \brief Parameters of the cost formula and of probing; the same for all
/// pools.
struct placement_options
{
    /// Maximum number of probes per request.
    std::size_t probes_limit = 3;
    /// Capacity of the placement history, in prefix levels.
    std::size_t history_levels = 16'384;
    /// Period in which work sent by this entry may be missing from an
    /// upstream's reply. Older work is dropped, and an older reply no longer
    /// rules the upstream out, unless it is leaving.
    std::chrono::milliseconds sent_work_lifetime{1'000};
    /// Maximum age of an earlier reply used in place of a probe.
    std::chrono::milliseconds reply_lifetime{20};
    /// Maximum age of an entry of the placement history, and of a reply that
    /// says that its upstream is leaving.
    std::chrono::milliseconds history_lifetime{60'000};
    /// Minimum prefill time of a whole prompt for which probes are sent.
    microseconds probe_min_prefill{2'000};
    /// Used to decide on probing, and where a reply reports no prefill cost.
    double prefill_us_per_token = 100.0;
    /// Additional weight of the prefill time in the cost, which favours reuse
    /// of cached prefixes. Scaled by 1 - `tail_weight`.
    double reuse_weight = 1.0;
    /// Engine age below which wait and prefill times count higher.
    std::chrono::milliseconds slow_start_window{10'000};
    /// Factor on wait and prefill times at engine age 0; falls linearly to 1.
    double slow_start_factor = 3.0;
    /// Wait added for an upstream that has to load the adapter first.
    std::chrono::milliseconds adapter_load_time{2'000};
    /// One-way delay at which an upstream's rendezvous weight is halved.
    std::chrono::milliseconds half_weight_distance{20};
};

/// \brief An upstream of a pool, from membership and settings.
struct member
{
    upstream_id upstream;
    data_centre_id data_centre;
    /// One-way delay from this entry.
    microseconds distance{0};
    bool is_leaving = false;
    bool is_suspect = false;
};

/// \brief Requirements of a request on its upstream.
struct placement_request
{
    pool_id pool;
    std::string adapter;
    /// Empty if any version is acceptable.
    std::string weights_version;
    std::string role = "mixed";
    /// From 0 to 1: 1 minimises the expected time to first token alone; lower
    /// values give more weight to prefix reuse.
    double tail_weight = 0.5;
    prefix::chain prompt;
    /// Upstreams that refused earlier attempts of this request.
    std::vector<upstream_id> excluded;
};

/// \brief Expected prefill time of a request sent to an upstream, and the time
/// of sending.
struct sent_work
{
    mono_time at;
    microseconds work{0};
};

/// \brief State that this entry keeps for one upstream.
struct upstream_view
{
    member membership;
    std::uint64_t name_hash = 0;
    bool has_reply = false;
    /// Estimated from probes; 0 until the first reply.
    microseconds round_trip{0};
    mono_time reply_at;
    /// When the probe answered by `reply` was sent.
    mono_time probed_at;
    link::probe_reply reply;
    std::deque<sent_work> recent_work;
};

/// \brief The upstreams at which a prefix level was last placed, most recent
/// first.
struct placed_level
{
    std::array<upstream_id, 2> upstreams;
    mono_time at;
};

/// \brief Placement state of one pool. Usable without any earlier probe or
/// request.
struct placement_state
{
    explicit placement_state(placement_options const& parameters = {});

    placement_options options;
    std::vector<upstream_view> views;
    std::unordered_map<upstream_id, std::size_t> index;
    recent_map<prefix::level_key, placed_level> history;
};

/// \brief Upstreams to probe before choosing.
struct probe_plan
{
    /// Empty if `choose` is to be called without probing.
    std::vector<upstream_id> probes;
};

/// \brief A sidecar's reply to one probe.
struct probe_outcome
{
    upstream_id upstream;
    mono_time sent_at;
    link::probe_reply reply;
};

/// \brief Why an upstream cannot serve a request.
enum class rejection : std::uint8_t
{
    none,
    leaving,
    not_ready,
    other_role,
    other_weights,
    excluded,
};

/// \brief Names of the rejections.
inline constexpr std::array<enum_name<rejection>, 6> rejection_names{{
    {rejection::none, "none"},
    {rejection::leaving, "leaving"},
    {rejection::not_ready, "not_ready"},
    {rejection::other_role, "other_role"},
    {rejection::other_weights, "other_weights"},
    {rejection::excluded, "excluded"},
}};

/// \brief Components of the expected cost of a request at an upstream.
struct cost
{
    rejection rejection_reason = rejection::none;
    microseconds queue_wait{0};
    microseconds prefill{0};
    /// Round trip between this entry and the upstream.
    microseconds network_round_trip{0};
    /// Work of this entry that the reply does not include yet.
    microseconds own_unreported_work{0};
    /// Value compared between upstreams; the lowest is chosen.
    double weighted_us = 0;
    /// Expected time to first token.
    microseconds time_to_first_token{0};
    std::uint32_t cached_tokens = 0;
};

/// \brief An upstream chosen for a request.
struct choice
{
    upstream_id upstream;
    cost expected_cost;
    /// Whether the choice is based on a reply to a probe for this request.
    bool is_probed = false;
};

/// \brief Replaces the members of the pool; the state of upstreams that remain
/// is kept.
void set_members(placement_state& state, std::span<member const> members);

/// \brief Selects the upstreams to probe for a request.
/// \param random_bits random bits used to draw the alternative upstream
[[nodiscard]] probe_plan plan_probes(placement_state const& state,
                                     placement_request const& request,
                                     mono_time now, std::uint64_t random_bits);

/// \brief Stores the reply to a probe unless one to a later probe is already
/// stored.
void record_reply(placement_state& state, probe_outcome const& outcome,
                  mono_time now);

/// \brief Cost of a request at the upstream that sent `reply`.
/// \param reply its `cached_tokens` must refer to this request's prompt
[[nodiscard]] cost cost_of(placement_state const& state,
                           upstream_view const& view,
                           placement_request const& request,
                           link::probe_reply const& reply, mono_time now);

/// \brief Chooses the upstream of the lowest cost among those that replied, or,
/// if none of them can serve the request, among candidates selected from the
/// stored state.
/// \returns nothing if no upstream can serve the request
[[nodiscard]] std::optional<choice>
choose(placement_state const& state, placement_request const& request,
       std::span<probe_outcome const> replies, mono_time now,
       std::uint64_t random_bits);

/// \brief Records that a request was sent to the chosen upstream.
void record_sent(placement_state& state, placement_request const& request,
                 choice const& chosen, mono_time now);

/// \brief Records that an upstream refused or lost a request. Discards the work
/// sent to it and, unless the upstream is leaving, its stored reply.
void record_refusal(placement_state& state, upstream_id const& upstream,
                    bool is_leaving, mono_time now);

/// \brief Records how many tokens of the prompt an answer reported as cached.
void record_usage(placement_state& state, placement_request const& request,
                  upstream_id const& upstream, std::uint32_t cached_tokens,
                  mono_time now);

} // namespace jujubestand::placement

#endif
