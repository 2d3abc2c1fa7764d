#ifndef JUJUBESTAND_QUARANTINE_STRIKE_HPP
#define JUJUBESTAND_QUARANTINE_STRIKE_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <jujubestand/core/digest.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/time.hpp>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubestand::quarantine
{

/// \brief Identifies a request by team, route and body, so that a repeated
/// send has the same fingerprint.
[[nodiscard]] digest fingerprint_of(team_id const& team, route_id const& route,
                                    std::string_view body_digest);

/// \brief Depth of the fingerprint of a whole request.
inline constexpr std::uint8_t whole_request_depth = 255;

/// \brief How far an engine had come with a request when it crashed, from the
/// weakest evidence against the request to the strongest.
enum class answer_stage : std::uint8_t
{
    none,   ///< the answer had not begun
    output, ///< it had begun to give output
    head,   ///< it had begun the answer without any output
};

inline constexpr std::array<enum_name<answer_stage>, 3> answer_stage_names{{
    {answer_stage::none, "none"},
    {answer_stage::output, "output"},
    {answer_stage::head, "head"},
}};

/// \brief Records that a request, or a part of its prompt, was in flight when
/// an engine crashed.
struct strike
{
    digest fingerprint;
    /// The engine and the incarnation that crashed; one crash counts as one
    /// strike.
    upstream_id upstream;
    incarnation_id incarnation;
    /// When a process last noticed the crash.
    std::int64_t at_ms = 0;
    /// Index of the part in its prompt, or `whole_request_depth`; the deeper,
    /// the fewer requests have the fingerprint.
    std::uint8_t depth = whole_request_depth;
    answer_stage stage = answer_stage::none;

    MSGPACK_DEFINE_ARRAY(fingerprint, upstream, incarnation, at_ms, depth,
                         stage)
};

/// \brief Identifies a part of a prompt, in whatever request.
[[nodiscard]] digest fingerprint_of_part(std::uint64_t part) noexcept;

/// \brief Whether a fingerprint is that of a part.
[[nodiscard]] bool is_part(digest const& fingerprint) noexcept;

/// \brief Records that strikes of a request up to a time do not count.
struct clearance
{
    digest fingerprint;
    std::int64_t until_ms = 0;

    MSGPACK_DEFINE_ARRAY(fingerprint, until_ms)
};

/// \brief Strikes and clearances, in log records and attached to answers.
struct notice
{
    static constexpr std::uint8_t current_version = 3;

    std::uint8_t version = current_version;
    std::vector<strike> strikes;
    std::vector<clearance> clearances;

    [[nodiscard]] bool empty() const noexcept
    {
        return this->strikes.empty() && this->clearances.empty();
    }

    MSGPACK_DEFINE_ARRAY(version, strikes, clearances)
};

/// \brief Serializes a notice; the result is empty for an empty notice.
[[nodiscard]] std::string pack(notice const& message);

/// \brief Parses the output of `pack`.
/// \returns nothing, with `why` set, for other bytes
[[nodiscard]] std::optional<notice> unpack(std::string_view bytes, reason& why);

/// \brief Limits of a strike table.
struct strike_options
{
    /// Number of crashes after which a request is quarantined.
    std::size_t strikes_limit = 2;
    std::chrono::milliseconds lifetime{std::chrono::hours{1}};
    /// Maximum number of fingerprints; the least recently changed are dropped
    /// first.
    std::size_t fingerprints_limit = 4'096;
    /// Limit of the strikes and clearances that are attached to one answer.
    std::size_t notice_limit = 16;
};

/// \brief The strikes of one request.
struct strike_entry
{
    std::vector<strike> strikes;
    /// Strikes up to this time were cleared.
    std::int64_t cleared_until_ms = 0;
    std::int64_t last_change_ms = 0;
};

/// \brief The strikes recorded by one process. Merging notices is commutative
/// and idempotent: tables that received the same notices are equal.
struct strike_table
{
    strike_options options;
    std::unordered_map<digest, strike_entry> entries;
};

/// \brief How a request is treated because of its strikes.
enum class quarantine_status : std::uint8_t
{
    unrestricted, ///< no strikes
    isolated,     ///< below the limit of strikes; must run alone on an engine
    quarantined,  ///< at the limit of strikes; refused
};

inline constexpr std::array<enum_name<quarantine_status>, 3>
    quarantine_status_names{{
        {quarantine_status::unrestricted, "free"},
        {quarantine_status::isolated, "alone"},
        {quarantine_status::quarantined, "refused"},
    }};

/// \brief Merges a notice into the table.
/// \returns the strikes and clearances that were new
notice merge(strike_table& table, notice const& message, wall_time now);

/// \brief How a request is to be treated now.
[[nodiscard]] quarantine_status
status_of(strike_table const& table, digest const& fingerprint, wall_time now);

/// \brief The clearance of a request that finished successfully or that an
/// operator clears; it covers all strikes in the table.
[[nodiscard]] clearance clearance_for(strike_table const& table,
                                      digest const& fingerprint, wall_time now);

/// \brief Removes strikes and clearances past their lifetime.
void expire(strike_table& table, wall_time now);

/// \brief The newest strikes and clearances, to be attached to an answer.
[[nodiscard]] notice newest_notice(strike_table const& table, wall_time now);

/// \brief Whether a strike still counts.
[[nodiscard]] bool is_active(strike_table const& table, strike const& recorded,
                             wall_time now) noexcept;

/// \brief The strikes that have not expired, oldest first, for operators.
[[nodiscard]] std::vector<strike> active_strikes(strike_table const& table,
                                                 wall_time now);

} // namespace jujubestand::quarantine

MSGPACK_ADD_ENUM(jujubestand::quarantine::answer_stage)

#endif
