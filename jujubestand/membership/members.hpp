#ifndef JUJUBESTAND_MEMBERSHIP_MEMBERS_HPP
#define JUJUBESTAND_MEMBERSHIP_MEMBERS_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/event.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/platform/list_client.hpp>
#include <map>
#include <string>
#include <vector>

namespace jujubestand::membership
{

/// \brief Whether an instance may receive new work.
enum class member_state : std::uint8_t
{
    live,    ///< receives new work
    suspect, ///< does not answer; receives no new work until it answers again
    leaving, ///< receives no new work for the rest of this incarnation
    gone,    ///< neither listed nor answering
};

inline constexpr std::array<enum_name<member_state>, 4> member_state_names{{
    {member_state::live, "live"},
    {member_state::suspect, "suspect"},
    {member_state::leaving, "leaving"},
    {member_state::gone, "gone"},
}};

/// \brief Thresholds for changes of a member's state.
struct member_options
{
    /// Consecutive failures after which a member is suspect.
    std::uint32_t failures_limit = 2;
    /// Consecutive answers after which a suspect member is live again.
    std::uint32_t answers_needed = 2;
    /// An unlisted member is gone after this long without an answer.
    std::chrono::milliseconds gone_after{10'000};
    /// A member that answers in the same incarnation after a longer silence
    /// may have been paused.
    std::chrono::milliseconds pause_limit{5'000};
};

/// \brief State of one instance, from the list and from its own answers.
struct member
{
    platform::listed_instance list_entry;
    member_state state = member_state::live;
    bool is_listed = true;
    /// The highest incarnation that has answered.
    incarnation_id incarnation;
    /// An answer of this incarnation reported that the instance is leaving.
    bool has_reported_leaving = false;
    bool is_suspect = false;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_answers = 0;
    mono_time last_seen{};
};

/// \brief Members as seen by one process.
struct member_table
{
    member_options options;
    std::map<instance_id, member> by_id;
};

/// \brief What a member reports about itself in an answer.
struct member_report
{
    incarnation_id incarnation;
    bool is_leaving = false;
};

/// \brief A change of one member's state, or a restart or pause of it.
struct member_change
{
    instance_id instance;
    member_state from = member_state::live;
    member_state to = member_state::live;
    /// It answered with a new incarnation: the state of the previous one is
    /// lost.
    bool is_restarted = false;
    /// It was silent for longer than `pause_limit`: state that it held may
    /// have expired.
    bool may_have_paused = false;
};

/// \brief Applies a new list; members that it lacks receive no new work.
std::vector<member_change> on_list(member_table& state,
                                   platform::instance_list const& list,
                                   mono_time now);

/// \brief Records an answer of a member; answers of earlier incarnations and
/// of unknown members are ignored.
std::vector<member_change> on_answer(member_table& state,
                                     instance_id const& member_id,
                                     member_report const& report,
                                     mono_time now);

/// \brief Records that a member did not answer in time or that its link
/// broke.
std::vector<member_change>
on_failure(member_table& state, instance_id const& member_id, mono_time now);

/// \brief Removes unlisted members that have been silent for `gone_after`.
std::vector<member_change> on_tick(member_table& state, mono_time now);

/// \brief The member that serves an upstream, or null.
[[nodiscard]] member const* find_upstream(member_table const& state,
                                          upstream_id const& upstream);

/// \brief Converts a change to an event.
[[nodiscard]] event_note to_note(member_change const& change);

} // namespace jujubestand::membership

#endif
