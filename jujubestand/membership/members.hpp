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

/// \brief What an instance may be used for.
enum class member_state : std::uint8_t
{
    live,    ///< takes new work
    suspect, ///< does not answer; takes none until it does
    leaving, ///< takes none any more in this life
    gone,    ///< neither listed nor heard of
};

/// \brief Names of the states.
inline constexpr std::array<enum_name<member_state>, 4> member_state_names{{
    {member_state::live, "live"},
    {member_state::suspect, "suspect"},
    {member_state::leaving, "leaving"},
    {member_state::gone, "gone"},
}};

/// \brief How much evidence turns a member's state.
struct member_options
{
    /// Failures in a row that make a member suspect.
    std::uint32_t failures_limit = 2;
    /// Answers in a row that make a suspect member live again.
    std::uint32_t answers_needed = 2;
    /// An unlisted member that is silent for this long is gone.
    std::chrono::milliseconds gone_after{10'000};
    /// A member that was silent for this long and answers in the same life
    /// may have been paused.
    std::chrono::milliseconds pause_limit{5'000};
};

/// \brief One instance, by what the list and its own answers say.
struct member
{
    platform::listed_instance row;
    member_state state = member_state::live;
    bool is_listed = true;
    /// The highest life that was heard of.
    incarnation_id incarnation;
    /// It said in this life that it is leaving.
    bool said_leaving = false;
    bool is_suspect = false;
    std::uint32_t failures = 0;
    std::uint32_t answers = 0;
    mono_time heard{};
};

/// \brief All members that one process knows of.
struct members
{
    member_options options;
    std::map<instance_id, member> known;
};

/// \brief What an answer of a member says of it.
struct evidence
{
    incarnation_id incarnation;
    bool is_leaving = false;
};

/// \brief One member's change.
struct member_change
{
    instance_id instance;
    member_state from = member_state::live;
    member_state to = member_state::live;
    /// It has a new life: what the last one held is lost.
    bool is_restarted = false;
    /// It was silent for long: what it held then may have lapsed.
    bool may_have_paused = false;
};

/// \brief Takes in a list; a member that it lacks takes no new work.
std::vector<member_change>
on_list(members& state, platform::instance_list const& list, mono_time now);

/// \brief A member answered; an answer of an earlier life is ignored.
std::vector<member_change> on_answer(members& state, instance_id const& from,
                                     evidence const& seen, mono_time now);

/// \brief A member did not answer in time, or its link broke.
std::vector<member_change> on_failure(members& state, instance_id const& from,
                                      mono_time now);

/// \brief Forgets members that are gone.
std::vector<member_change> on_tick(members& state, mono_time now);

/// \brief The member that serves an upstream; null if none does.
[[nodiscard]] member const* find_upstream(members const& state,
                                          upstream_id const& upstream);

/// \brief A change as an event.
[[nodiscard]] event_note to_note(member_change const& change);

} // namespace jujubestand::membership

#endif
