#include <jujubestand/core/reason.hpp>

namespace jujubestand
{

std::array<enum_name<reason_code>, 67> const reason_names{{
    {reason_code::none, "none"},
    {reason_code::malformed_request, "malformed_request"},
    {reason_code::body_too_large, "body_too_large"},
    {reason_code::malformed_json, "malformed_json"},
    {reason_code::conflicting_length, "conflicting_length"},
    {reason_code::reserved_field, "reserved_field"},
    {reason_code::unknown_team, "unknown_team"},
    {reason_code::unknown_route, "unknown_route"},
    {reason_code::unknown_model, "unknown_model"},
    {reason_code::missing_key, "missing_key"},
    {reason_code::malformed_key, "malformed_key"},
    {reason_code::method_not_allowed, "method_not_allowed"},
    {reason_code::caller_gone, "caller_gone"},
    {reason_code::no_upstream, "no_upstream"},
    {reason_code::no_upstream_ready, "no_upstream_ready"},
    {reason_code::circuit_open, "circuit_open"},
    {reason_code::retry_budget_spent, "retry_budget_spent"},
    {reason_code::attempts_spent, "attempts_spent"},
    {reason_code::queue_full, "queue_full"},
    {reason_code::team_limit, "team_limit"},
    {reason_code::deadline_passed, "deadline_passed"},
    {reason_code::deadline_unreachable, "deadline_unreachable"},
    {reason_code::draining, "draining"},
    {reason_code::entry_full, "entry_full"},
    {reason_code::upstream_limited, "upstream_limited"},
    {reason_code::upstream_paused, "upstream_paused"},
    {reason_code::quota_unavailable, "quota_unavailable"},
    {reason_code::claim_lost, "claim_lost"},
    {reason_code::claim_pending, "claim_pending"},
    {reason_code::claim_unknown, "claim_unknown"},
    {reason_code::claim_body_differs, "claim_body_differs"},
    {reason_code::key_too_old, "key_too_old"},
    {reason_code::key_from_future, "key_from_future"},
    {reason_code::claims_unread, "claims_unread"},
    {reason_code::already_ran, "already_ran"},
    {reason_code::claim_abandoned, "claim_abandoned"},
    {reason_code::upstream_unreachable, "upstream_unreachable"},
    {reason_code::upstream_write_cut, "upstream_write_cut"},
    {reason_code::upstream_read_cut, "upstream_read_cut"},
    {reason_code::upstream_timeout, "upstream_timeout"},
    {reason_code::upstream_error, "upstream_error"},
    {reason_code::answer_crossed, "answer_crossed"},
    {reason_code::answer_out_of_order, "answer_out_of_order"},
    {reason_code::answer_incomplete, "answer_incomplete"},
    {reason_code::answer_too_large, "answer_too_large"},
    {reason_code::status_invalid, "status_invalid"},
    {reason_code::tables_stale, "tables_stale"},
    {reason_code::tables_missing, "tables_missing"},
    {reason_code::edit_conflict, "edit_conflict"},
    {reason_code::edit_invalid, "edit_invalid"},
    {reason_code::wrong_upstream, "wrong_upstream"},
    {reason_code::stale_fence, "stale_fence"},
    {reason_code::lease_lost, "lease_lost"},
    {reason_code::tables_unreadable, "tables_unreadable"},
    {reason_code::upstream_leaving, "upstream_leaving"},
    {reason_code::upstream_restarted, "upstream_restarted"},
    {reason_code::log_unavailable, "log_unavailable"},
    {reason_code::log_truncated, "log_truncated"},
    {reason_code::log_budget_spent, "log_budget_spent"},
    {reason_code::link_unreachable, "link_unreachable"},
    {reason_code::link_cut_before_send, "link_cut_before_send"},
    {reason_code::link_cut_after_send, "link_cut_after_send"},
    {reason_code::link_refused, "link_refused"},
    {reason_code::link_malformed, "link_malformed"},
    {reason_code::quarantined, "quarantined"},
    {reason_code::settings_invalid, "settings_invalid"},
    {reason_code::internal_error, "internal_error"},
}};

std::string_view to_name(reason_code code) noexcept
{
    return to_name(reason_names, code);
}

std::string to_text(reason const& why)
{
    std::string line = std::to_string(static_cast<unsigned>(why.code));
    line += ' ';
    line += to_name(why.code);
    if (!why.text.empty())
        line += ": " + why.text;
    if (!why.place.empty())
        line += " (" + why.place + ")";
    return line;
}

} // namespace jujubestand
