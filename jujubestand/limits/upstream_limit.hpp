#ifndef JUJUBESTAND_LIMITS_UPSTREAM_LIMIT_HPP
#define JUJUBESTAND_LIMITS_UPSTREAM_LIMIT_HPP

#include <array>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/time.hpp>
#include <optional>

/// \brief Rate limits that upstreams state for all gateways together, and the
/// permits by which gateways share them.
namespace jujubestand::limits
{

/// \brief What is known of one upstream's limit.
struct upstream_limit
{
    /// Calls a second, from all gateways together, that it last stated.
    double calls_per_second = 0;
    /// When the latest statement was received from the upstream, by whichever
    /// process received it.
    wall_time stated_at{};
    /// When an answer that states no limit became known here; the rate rises
    /// from then on until there is no limit.
    std::optional<mono_time> ended_at;
};

/// \brief An upstream's statement on its limit.
struct statement
{
    /// Empty: it states none.
    std::optional<double> calls_per_second;
    /// When it was received from the upstream.
    wall_time stated_at{};
    /// The time was converted from a clock that differs, and is later than the
    /// true one by the time that the message took.
    bool is_converted = false;
};

/// \brief How a statement changes what is known.
enum class limit_change : std::uint8_t
{
    none,    ///< nothing new
    named,   ///< a limit where there was none
    altered, ///< another limit
    ended,   ///< no limit any more
};

inline constexpr std::array<enum_name<limit_change>, 4> limit_change_names{{
    {limit_change::none, "none"},
    {limit_change::named, "named"},
    {limit_change::altered, "altered"},
    {limit_change::ended, "ended"},
}};

/// \brief Applies a statement that this process received from the upstream.
limit_change on_own_statement(std::optional<upstream_limit>& known,
                              statement const& stated, mono_time now);

/// \brief Applies a statement that another process received, unless what is
/// known is at least as recent.
/// \param wall_now a time after it is taken for this one: the other's clock is
/// ahead
limit_change on_reported_statement(std::optional<upstream_limit>& known,
                                   statement stated, wall_time wall_now,
                                   mono_time now);

/// \brief Calls a second that all gateways together may send now.
[[nodiscard]] double rate_of(upstream_limit const& known, mono_time now);

/// \brief Whether calls need permits: there is a limit, or one has ended and
/// the rate still rises. The record of a limit that ended is kept, so that an
/// older statement can't bring it back.
[[nodiscard]] bool applies(std::optional<upstream_limit> const& known,
                           mono_time now);

} // namespace jujubestand::limits

#endif
