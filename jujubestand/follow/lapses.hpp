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
    /// Records can expire because of an outage only if it lasts longer than
    /// this.
    std::chrono::milliseconds outage_min{1'500};
    /// Time after an outage within which live owners write their records
    /// again.
    std::chrono::milliseconds return_time{2'100};
};

/// \brief Records that expired during an outage of the store: their owners may
/// be alive, but could not renew them.
struct lapses
{
    lapse_options limits;
    std::set<std::string> pending_removals;
    /// Time of the store's last response.
    std::optional<mono_time> last_response_at;
    /// Latest time at which an outage longer than `outage_min`, or a return of
    /// the store from an older copy, was seen.
    std::optional<mono_time> outage_seen_at;
};

/// \brief Handles a response of the store.
void on_store_answer(lapses& state, mono_time now);

/// \brief Handles a failed read of the store.
void on_store_failure(lapses& state, mono_time now);

/// \brief Handles the return of the store from an older copy, in which records
/// may be missing that their owners have yet to write again.
void on_store_return(lapses& state, mono_time now);

/// \brief Handles the age of the copy of the topic, at regular intervals.
/// \param confirmed_at when the copy was last confirmed current; empty: never
void on_copy_age(lapses& state, std::optional<mono_time> confirmed_at,
                 mono_time now);

/// \brief Handles the removal of a record.
/// \returns whether its owner is gone; if false, the record may come back
[[nodiscard]] bool on_removed(lapses& state, std::string const& key,
                              mono_time now);

/// \brief Handles a record that is present.
void on_present(lapses& state, std::string const& key);

/// \brief Returns, and stops tracking, the keys of the records that did not
/// come back in time; their owners are gone.
[[nodiscard]] std::vector<std::string> take_expired(lapses& state,
                                                    mono_time now);

} // namespace jujubestand::follow

#endif
