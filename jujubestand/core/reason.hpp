#ifndef JUJUBESTAND_CORE_REASON_HPP
#define JUJUBESTAND_CORE_REASON_HPP

#include <array>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace jujubestand
{

/// \brief Numbered reasons for refusals and failures, by slice.
enum class reason_code : std::uint16_t
{
    none = 0,

    // What a caller sent.
    malformed_request = 100,
    body_too_large = 101,
    malformed_json = 102,
    conflicting_length = 103,
    reserved_field = 104,
    unknown_team = 105,
    unknown_route = 106,
    unknown_model = 107,
    missing_key = 108,
    malformed_key = 109,
    method_not_allowed = 110,
    caller_gone = 111,

    // Choice of an upstream.
    no_upstream = 200,
    no_upstream_ready = 201,
    circuit_open = 202,
    retry_budget_spent = 203,
    attempts_spent = 204,

    // Limits.
    queue_full = 300,
    team_limit = 301,
    deadline_passed = 302,
    deadline_unreachable = 303,
    draining = 304,
    entry_full = 305,
    upstream_limited = 306,
    upstream_paused = 307,
    quota_unavailable = 308,

    // Claims.
    claim_lost = 400,
    claim_pending = 401,
    claim_unknown = 402,
    claim_body_differs = 403,
    key_too_old = 404,
    key_from_future = 405,
    claims_unread = 406,
    already_ran = 407,
    claim_abandoned = 408,

    // The upstream and its answer.
    upstream_unreachable = 500,
    upstream_write_cut = 501,
    upstream_read_cut = 502,
    upstream_timeout = 503,
    upstream_error = 504,
    answer_crossed = 505,
    answer_out_of_order = 506,
    answer_incomplete = 507,
    answer_too_large = 508,
    status_invalid = 509,

    // Configuration and orders.
    tables_stale = 600,
    tables_missing = 601,
    edit_conflict = 602,
    edit_invalid = 603,
    wrong_upstream = 604,
    stale_fence = 605,
    lease_lost = 606,
    tables_unreadable = 607,

    // Membership.
    upstream_leaving = 700,
    upstream_restarted = 701,

    // The platform.
    log_unavailable = 800,
    log_truncated = 801,
    log_budget_spent = 802,

    // Links between our processes.
    link_unreachable = 900,
    link_cut_before_send = 901,
    link_cut_after_send = 902,
    link_refused = 903,
    link_malformed = 904,

    // Requests that crash upstreams.
    quarantined = 1000,

    // Settings and programs.
    settings_invalid = 1100,
    internal_error = 1101,
};

/// \brief Names of the reasons, stable for scripts.
extern std::array<enum_name<reason_code>, 67> const reason_names;

/// \brief Name of a reason.
[[nodiscard]] std::string_view to_name(reason_code code) noexcept;

/// \brief Why there is no result: a code, a text for people, and the place
/// in the input where it was seen, if there is one.
struct reason
{
    reason_code code = reason_code::none;
    std::string text;
    std::string place;

    MSGPACK_DEFINE_ARRAY(code, text, place)
};

/// \brief A reason as one line: `NUMBER NAME: TEXT (PLACE)`.
[[nodiscard]] std::string to_text(reason const& why);

} // namespace jujubestand

MSGPACK_ADD_ENUM(jujubestand::reason_code)

#endif
