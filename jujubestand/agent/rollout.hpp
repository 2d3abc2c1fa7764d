#ifndef JUJUBESTAND_AGENT_ROLLOUT_HPP
#define JUJUBESTAND_AGENT_ROLLOUT_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/status/engine_report.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::agent
{

/// \brief Limits of a rollout of weights.
struct rollout_options
{
    /// Engines of a pool that load at once are this part of it.
    std::size_t engines_per_load = 5;
    std::size_t loads_at_once_min = 2;
    /// Time after which the next engines begin to load.
    std::chrono::milliseconds turn{420};
    /// Gateways stop sending this long before the order is given.
    std::chrono::milliseconds notice{120};
    /// A call that runs for longer is a long one: a load waits for its end
    /// while short calls go on coming.
    std::chrono::milliseconds long_run{600};
    /// Long calls hold a load up no longer than this after the weights were
    /// named.
    std::chrono::milliseconds long_run_limit{2'600};
    /// Calls that wait or are read when an order comes are refused by the
    /// engine; the order is held back for them, but not longer than this.
    std::chrono::milliseconds settle_limit{450};
    /// An order without an effect is given again after this.
    std::chrono::milliseconds order_patience{700};
};

/// \brief Weights that the operator wants of one model.
struct wanted_version
{
    std::uint64_t version = 0;
    /// When the oldest version was named that the engine lacks; nothing once
    /// it has the newest one.
    std::optional<mono_time> since;
    /// It is known that the version was named at `since` and not earlier.
    bool is_age_known = true;
    /// Gateways were told to send nothing new, and when.
    bool is_begun = false;
    mono_time begun_at{};
};

/// \brief An agent's part in bringing new weights to its engine.
struct rollout
{
    rollout_options limits;
    /// Number that makes orders of an earlier life of this agent void;
    /// nothing until the store has given one.
    std::optional<std::uint64_t> fence;
    std::map<std::string, wanted_version> wanted;
    /// Place of the engine among those of its pool, and their number.
    std::size_t place = 0;
    std::size_t engines = 1;
    /// When the last order went out, until its effect is seen.
    std::optional<mono_time> ordered_at;
    /// Running calls of the engine, and since when they are seen.
    std::map<std::uint64_t, mono_time> runs;
    std::uint64_t ordered_version = 0;
};

/// \brief One order to the engine.
struct order
{
    std::string model;
    std::uint64_t version = 0;
    std::uint64_t fence = 0;
    /// Orders that the engine has accepted before.
    std::uint64_t orders_accepted = 0;
};

/// \brief How an engine answered an order.
enum class order_answer : std::uint8_t
{
    accepted,  ///< it is being carried out, or already holds
    conflict,  ///< another order came between
    old_fence, ///< a higher fencing number was seen
    refused,   ///< it can't be carried out
    none,      ///< unknown: it may be carried out later
};

/// \brief Names of the answers.
inline constexpr std::array<enum_name<order_answer>, 5> order_answer_names{{
    {order_answer::accepted, "accepted"},
    {order_answer::conflict, "conflict"},
    {order_answer::old_fence, "old_fence"},
    {order_answer::refused, "refused"},
    {order_answer::none, "none"},
}};

/// \brief The operator wants other weights; older wishes are forgotten.
/// \param is_age_known false where the wish may be older than this process
/// \returns whether it is news
bool on_wanted(rollout& state, std::string const& model, std::uint64_t version,
               mono_time now, bool is_age_known = true);

/// \brief Takes in what runs at the engine.
void on_runs(rollout& state, std::vector<std::uint64_t> const& running,
             mono_time now);

/// \brief Time until the engine is to load weights, 0 if that is due or
/// going on; nothing if no load is known to come.
[[nodiscard]] std::optional<microseconds>
load_due(rollout const& state, status::engine_report const& report,
         mono_time now);

/// \brief Whether gateways should send nothing new: a load is due soon, or
/// is going on.
[[nodiscard]] bool is_preparing(rollout const& state,
                                status::engine_report const& report,
                                mono_time now);

/// \brief The order that is due now, if there is one; it counts as given.
/// \param report a report that is fresh
[[nodiscard]] std::optional<order>
next_order(rollout& state, status::engine_report const& report, mono_time now);

/// \brief How the engine answered the last order.
void on_order_answer(rollout& state, order_answer answer, mono_time now);

} // namespace jujubestand::agent

#endif
