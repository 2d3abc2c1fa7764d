#ifndef JUJUBESTAND_FOLLOW_LAPSES_HPP
#define JUJUBESTAND_FOLLOW_LAPSES_HPP

#include <chrono>
#include <jujubestand/core/time.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubestand::follow
{

/// \brief Limits of `lapses`.
struct lapse_options
{
    /// Records only lapse by themselves in an outage longer than this.
    std::chrono::milliseconds outage_min{1'500};
    /// Owners that live write their records again this soon after it.
    std::chrono::milliseconds return_time{2'100};
};

/// \brief Records that vanished while the store was away: their owners may
/// live and could not renew them.
struct lapses
{
    lapse_options limits;
    std::set<std::string> vanished;
    /// Last moment at which the store answered.
    std::optional<mono_time> answered_at;
    /// Last moment at which it was known to be away for long.
    std::optional<mono_time> away_at;
};

/// \brief The store answered.
void on_store_answer(lapses& state, mono_time now);

/// \brief A read of the store failed.
void on_store_failure(lapses& state, mono_time now);

/// \brief A record vanished.
/// \returns whether its owner is gone; if not, it may come back
[[nodiscard]] bool on_vanished(lapses& state, std::string const& key,
                               mono_time now);

/// \brief A record is there.
void on_present(lapses& state, std::string const& key);

/// \brief Owners that did not come back in time and are gone.
[[nodiscard]] std::vector<std::string> take_gone(lapses& state, mono_time now);

} // namespace jujubestand::follow

#endif
