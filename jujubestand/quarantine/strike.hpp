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

/// \brief Names a request by what it asks for, whoever sends it again.
[[nodiscard]] digest fingerprint_of(team_id const& team, route_id const& route,
                                    std::string_view body_digest);

/// \brief "This request was in flight when that engine crashed."
struct strike
{
    digest fingerprint;
    /// The engine and its life that ended: one crash is one strike.
    upstream_id upstream;
    incarnation_id incarnation;
    std::int64_t at_ms = 0;

    MSGPACK_DEFINE_ARRAY(fingerprint, upstream, incarnation, at_ms)
};

/// \brief "Strikes of this request up to then do not count."
struct clearance
{
    digest fingerprint;
    std::int64_t until_ms = 0;

    MSGPACK_DEFINE_ARRAY(fingerprint, until_ms)
};

/// \brief Strikes and clearances, as a log record and on answers.
struct notice
{
    static constexpr std::uint8_t current_version = 1;

    std::uint8_t version = current_version;
    std::vector<strike> strikes;
    std::vector<clearance> clearances;

    [[nodiscard]] bool empty() const noexcept
    {
        return this->strikes.empty() && this->clearances.empty();
    }

    MSGPACK_DEFINE_ARRAY(version, strikes, clearances)
};

/// \brief Bytes of a notice; none for an empty one.
[[nodiscard]] std::string pack(notice const& message);

/// \brief Reads what `pack` wrote.
[[nodiscard]] std::optional<notice> unpack(std::string_view bytes, reason& why);

/// \brief Limits of a book of strikes.
struct strike_options
{
    /// So many crashes quarantine a request.
    std::size_t strikes_limit = 2;
    std::chrono::milliseconds lifetime{std::chrono::hours{1}};
    /// The most fingerprints a book holds; the oldest are dropped first.
    std::size_t fingerprints_limit = 4'096;
    /// Strikes and clearances that ride on one answer.
    std::size_t notice_limit = 16;
};

/// \brief What is known of one request's strikes.
struct strike_entry
{
    std::vector<strike> strikes;
    /// Strikes up to then were cleared.
    std::int64_t cleared_ms = 0;
    std::int64_t changed_ms = 0;
};

/// \brief Strikes known to one process. Whatever the order in which notices
/// arrive, and however often, books that saw the same notices are equal.
struct strike_book
{
    strike_options options;
    std::unordered_map<digest, strike_entry> entries;
};

/// \brief What a request may do.
enum class judgement : std::uint8_t
{
    free,    ///< nothing is known against it
    alone,   ///< it was in flight at one crash
    refused, ///< it is quarantined
};

/// \brief Names of the judgements.
inline constexpr std::array<enum_name<judgement>, 3> judgement_names{{
    {judgement::free, "free"},
    {judgement::alone, "alone"},
    {judgement::refused, "refused"},
}};

/// \brief Takes a notice in. \returns the parts that were new
notice merge(strike_book& book, notice const& message, wall_time now);

/// \brief What a request may do now.
[[nodiscard]] judgement judge(strike_book const& book,
                              digest const& fingerprint, wall_time now);

/// \brief The clearance of a request that ended well, or that an operator
/// clears: it covers all strikes known here.
[[nodiscard]] clearance clear_of(strike_book const& book,
                                 digest const& fingerprint, wall_time now);

/// \brief Drops strikes past their lifetime.
void expire(strike_book& book, wall_time now);

/// \brief The newest strikes and clearances, to ride on an answer.
[[nodiscard]] notice newest(strike_book const& book, wall_time now);

/// \brief Everything in force, for operators.
[[nodiscard]] std::vector<strike> list(strike_book const& book, wall_time now);

} // namespace jujubestand::quarantine

#endif
