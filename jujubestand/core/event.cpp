#include <jujubestand/core/event.hpp>

#include <array>

namespace jujubestand
{

namespace
{

constexpr auto names = std::to_array<enum_name<event_number>>({
    {event_number::process_started, "process_started"},
    {event_number::process_ready, "process_ready"},
    {event_number::drain_started, "drain_started"},
    {event_number::drain_finished, "drain_finished"},
    {event_number::drain_cut, "drain_cut"},
    {event_number::settings_refused, "settings_refused"},
    {event_number::settings_reloaded, "settings_reloaded"},
    {event_number::lines_dropped, "lines_dropped"},
    {event_number::clients_limited, "clients_limited"},
    {event_number::request_accepted, "request_accepted"},
    {event_number::request_refused, "request_refused"},
    {event_number::request_finished, "request_finished"},
    {event_number::request_failed, "request_failed"},
    {event_number::caller_closed, "caller_closed"},
    {event_number::upstream_chosen, "upstream_chosen"},
    {event_number::attempt_failed, "attempt_failed"},
    {event_number::retry_scheduled, "retry_scheduled"},
    {event_number::hedge_started, "hedge_started"},
    {event_number::request_waits, "request_waits"},
    {event_number::resume_decided, "resume_decided"},
    {event_number::origins_unstored, "origins_unstored"},
    {event_number::prompts_unreadable, "prompts_unreadable"},
    {event_number::call_received, "call_received"},
    {event_number::call_refused, "call_refused"},
    {event_number::call_started, "call_started"},
    {event_number::call_finished, "call_finished"},
    {event_number::call_failed, "call_failed"},
    {event_number::call_cancelled, "call_cancelled"},
    {event_number::answer_rejected, "answer_rejected"},
    {event_number::stream_resumed, "stream_resumed"},
    {event_number::link_up, "link_up"},
    {event_number::link_down, "link_down"},
    {event_number::link_refused, "link_refused"},
    {event_number::tables_applied, "tables_applied"},
    {event_number::tables_handed_over, "tables_handed_over"},
    {event_number::tables_expired_soon, "tables_expired_soon"},
    {event_number::edit_rejected, "edit_rejected"},
    {event_number::freshness_lost, "freshness_lost"},
    {event_number::freshness_regained, "freshness_regained"},
    {event_number::member_live, "member_live"},
    {event_number::member_suspect, "member_suspect"},
    {event_number::member_leaving, "member_leaving"},
    {event_number::member_gone, "member_gone"},
    {event_number::engine_restarted, "engine_restarted"},
    {event_number::engine_unreachable, "engine_unreachable"},
    {event_number::engine_reachable, "engine_reachable"},
    {event_number::claim_appended, "claim_appended"},
    {event_number::claim_won, "claim_won"},
    {event_number::claim_refused, "claim_refused"},
    {event_number::claim_abandoned, "claim_abandoned"},
    {event_number::outcome_recorded, "outcome_recorded"},
    {event_number::lease_taken, "lease_taken"},
    {event_number::lease_lost, "lease_lost"},
    {event_number::order_given, "order_given"},
    {event_number::order_refused, "order_refused"},
    {event_number::weights_wanted, "weights_wanted"},
    {event_number::weights_loaded, "weights_loaded"},
    {event_number::fence_taken, "fence_taken"},
    {event_number::log_unreachable, "log_unreachable"},
    {event_number::log_reachable, "log_reachable"},
    {event_number::log_gap, "log_gap"},
    {event_number::log_budget_exceeded, "log_budget_exceeded"},
    {event_number::record_rejected, "record_rejected"},
    {event_number::log_returned, "log_returned"},
    {event_number::strike_recorded, "strike_recorded"},
    {event_number::request_quarantined, "request_quarantined"},
    {event_number::strikes_cleared, "strikes_cleared"},
    {event_number::cache_events_gap, "cache_events_gap"},
    {event_number::circuit_opened, "circuit_opened"},
    {event_number::circuit_closed, "circuit_closed"},
    {event_number::limit_changed, "limit_changed"},
    {event_number::upstream_paused, "upstream_paused"},
    {event_number::quota_exceeded, "quota_exceeded"},
    {event_number::quota_state, "quota_state"},
    {event_number::wasted_work, "wasted_work"},
    {event_number::speeds_in_use, "speeds_in_use"},
});

bool needs_quotes(std::string const& value)
{
    return value.empty() ||
           value.find_first_of(" \"=\n\r\t") != std::string::npos;
}

void append_value(std::string& line, std::string const& value)
{
    if (!needs_quotes(value))
    {
        line += value;
        return;
    }
    line += '"';
    for (char const letter : value)
    {
        if (letter == '"' || letter == '\\')
            line += '\\';
        bool const is_control = static_cast<unsigned char>(letter) < ' ';
        line += is_control ? ' ' : letter;
    }
    line += '"';
}

} // namespace

std::span<enum_name<event_number> const> event_names() noexcept
{
    return names;
}

std::string_view to_name(event_number number) noexcept
{
    return to_name(names, number);
}

std::string to_line(event_note const& note)
{
    std::string line = "E";
    line += std::to_string(static_cast<unsigned>(note.number));
    line += ' ';
    line += to_name(note.number);
    if (note.request != request_id{})
        line += " request=" + to_text(note.request);
    if (!note.team.empty())
    {
        line += " team=";
        append_value(line, note.team.text);
    }
    for (auto const& field : note.fields)
    {
        line += ' ' + field.key + '=';
        append_value(line, field.value);
    }
    return line;
}

} // namespace jujubestand
