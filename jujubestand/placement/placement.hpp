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

/// \brief Tuning of the choice; one formula for all pools.
struct placement_options
{
    /// Probes sent for one request, at most.
    std::size_t probes_limit = 3;
    std::size_t memory_levels = 16'384;
    /// Work, sent by this entry, that a reply may not have seen yet.
    std::chrono::milliseconds sent_lifetime{1'000};
    /// An earlier reply may stand in for a probe up to this age.
    std::chrono::milliseconds reply_lifetime{20};
    std::chrono::milliseconds memory_lifetime{60'000};
    /// Prompts whose whole computing costs less than this are not probed
    /// for.
    microseconds probe_pays_from{2'000};
    /// Assumed until a reply tells better.
    double prefill_us_per_token = 100.0;
    /// Weight of computing again what is cached, beside the time it takes.
    double reuse_weight = 1.0;
    std::chrono::milliseconds slow_start{10'000};
    /// How much dearer a newcomer's time counts at its first moment.
    double slow_start_factor = 3.0;
    /// Cost of an upstream that has to load the adapter first.
    std::chrono::milliseconds adapter_load{2'000};
    /// One-way time at which an upstream's weight as a candidate is halved.
    std::chrono::milliseconds distance_half{20};
};

/// \brief One upstream of a pool, as membership and settings know it.
struct member
{
    upstream_id upstream;
    data_centre_id data_centre;
    /// One way from this entry.
    microseconds distance{0};
    bool is_leaving = false;
    bool is_suspect = false;
};

/// \brief What a request asks of its upstream.
struct placement_request
{
    pool_id pool;
    std::string adapter;
    /// Empty: any version will do.
    std::string weights_version;
    std::string role = "mixed";
    double tail_weight = 0.5;
    prefix::chain prompt;
    /// Upstreams that earlier attempts were refused by.
    std::vector<upstream_id> excluded;
};

/// \brief Work sent to an upstream and when.
struct sent_work
{
    mono_time at;
    microseconds work{0};
};

/// \brief What this entry knows of one upstream.
struct upstream_view
{
    member who;
    std::uint64_t name_hash = 0;
    bool has_reply = false;
    /// Learned from probes; 0 until the first reply.
    microseconds round_trip{0};
    mono_time reply_at;
    /// When the probe behind `reply` was sent.
    mono_time probed_at;
    link::probe_reply reply;
    std::deque<sent_work> sent;
};

/// \brief Where a level was last placed.
struct placed_level
{
    std::array<upstream_id, 2> upstreams;
    mono_time at;
};

/// \brief All that placement keeps for one pool; a new one serves at once.
struct placement_state
{
    explicit placement_state(placement_options const& tuning = {});

    placement_options options;
    std::vector<upstream_view> views;
    std::unordered_map<upstream_id, std::size_t> index;
    recent_map<prefix::level_key, placed_level> memory;
};

/// \brief Whom to ask before choosing.
struct probe_plan
{
    /// Empty: choose at once from what is known.
    std::vector<upstream_id> probes;
};

/// \brief A sidecar's answer to one probe.
struct probe_outcome
{
    upstream_id upstream;
    mono_time sent_at;
    link::probe_reply reply;
};

/// \brief Why an upstream was not chosen.
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

/// \brief Parts of an upstream's cost for a request.
struct cost
{
    rejection refused = rejection::none;
    microseconds wait{0};
    microseconds compute{0};
    microseconds distance{0};
    microseconds own_unseen{0};
    /// What the choice compares; below it, the expected first token.
    double weighed_us = 0;
    microseconds first_token{0};
    std::uint32_t cached_tokens = 0;
};

/// \brief The chosen upstream.
struct choice
{
    upstream_id upstream;
    cost expected;
    /// Whether a reply to this request's own probe backs it.
    bool is_probed = false;
};

/// \brief Tells the pool's members; keeps what is known of those that stay.
void set_members(placement_state& state, std::span<member const> members);

/// \brief Whom to probe for a request.
/// \param draw random bits of the caller's, for the comparison upstream
[[nodiscard]] probe_plan plan_probes(placement_state const& state,
                                     placement_request const& request,
                                     mono_time now, std::uint64_t draw);

/// \brief Keeps a probe's reply.
void take_reply(placement_state& state, probe_outcome const& outcome,
                mono_time now);

/// \brief Cost of a request at the upstream that sent `reply`.
/// \param reply its cached tokens must be of this request's prompt
[[nodiscard]] cost cost_of(placement_state const& state,
                           upstream_view const& view,
                           placement_request const& request,
                           link::probe_reply const& reply, mono_time now);

/// \brief Chooses among the upstreams that replied; from what is known of
/// all, if none of those will do.
/// \returns nothing if no upstream may serve the request
[[nodiscard]] std::optional<choice>
choose(placement_state const& state, placement_request const& request,
       std::span<probe_outcome const> replies, mono_time now,
       std::uint64_t draw);

/// \brief A request was sent to the chosen upstream.
void take_sent(placement_state& state, placement_request const& request,
               choice const& chosen, mono_time now);

/// \brief An upstream refused or lost a request: what is known of it is old.
void take_refusal(placement_state& state, upstream_id const& upstream,
                  bool is_leaving, mono_time now);

/// \brief An answer told how much of its prompt had been cached.
void take_usage(placement_state& state, placement_request const& request,
                upstream_id const& upstream, std::uint32_t cached_tokens,
                mono_time now);

} // namespace jujubestand::placement

#endif
