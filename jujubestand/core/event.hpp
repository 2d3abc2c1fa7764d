#ifndef JUJUBESTAND_CORE_EVENT_HPP
#define JUJUBESTAND_CORE_EVENT_HPP

#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/ids.hpp>
#include <msgpack.hpp>
#include <sigc++/sigc++.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand
{

/// \brief Numbered events, by slice; `docs/EVENTS.md` is their catalogue.
enum class event_number : std::uint16_t
{
    // Programs.
    process_started = 1000,
    process_ready = 1001,
    drain_started = 1002,
    drain_finished = 1003,
    drain_cut = 1004,
    settings_refused = 1005,
    settings_reloaded = 1006,
    lines_dropped = 1007,
    clients_limited = 1010,

    // Entry.
    request_accepted = 1100,
    request_refused = 1101,
    request_finished = 1102,
    request_failed = 1103,
    caller_closed = 1104,
    upstream_chosen = 1105,
    attempt_failed = 1106,
    retry_scheduled = 1107,
    hedge_started = 1108,
    request_waits = 1109,
    resume_decided = 1110,
    origins_unstored = 1111,
    prompts_unreadable = 1112,

    // Sidecar.
    call_received = 1200,
    call_refused = 1201,
    call_started = 1202,
    call_finished = 1203,
    call_failed = 1204,
    call_cancelled = 1205,
    answer_rejected = 1206,
    stream_resumed = 1207,

    // Links.
    link_up = 1300,
    link_down = 1301,
    link_refused = 1302,

    // Configuration.
    tables_applied = 1400,
    tables_handed_over = 1401,
    tables_expired_soon = 1402,
    edit_rejected = 1403,
    freshness_lost = 1404,
    freshness_regained = 1405,

    // Membership.
    member_live = 1500,
    member_suspect = 1501,
    member_leaving = 1502,
    member_gone = 1503,
    engine_restarted = 1504,
    engine_unreachable = 1505,
    engine_reachable = 1506,

    // Claims.
    claim_appended = 1600,
    claim_won = 1601,
    claim_refused = 1602,
    claim_abandoned = 1603,
    outcome_recorded = 1604,

    // Orders.
    lease_taken = 1700,
    lease_lost = 1701,
    order_given = 1702,
    order_refused = 1703,
    weights_wanted = 1704,
    weights_loaded = 1705,
    fence_taken = 1706,

    // The platform.
    log_unreachable = 1800,
    log_reachable = 1801,
    log_gap = 1802,
    log_budget_exceeded = 1803,
    record_rejected = 1804,
    log_returned = 1805,

    // Requests that crash upstreams.
    strike_recorded = 1900,
    request_quarantined = 1901,
    strikes_cleared = 1902,

    // Placement.
    cache_events_gap = 2000,
    circuit_opened = 2001,
    circuit_closed = 2002,
    limit_changed = 2003,
    upstream_paused = 2004,
    quota_exceeded = 2010,
    quota_state = 2011,
    wasted_work = 2015,
    speeds_in_use = 2016,
};

/// \brief Names of all events, in the order of their numbers.
[[nodiscard]] std::span<enum_name<event_number> const> event_names() noexcept;

/// \brief Name of an event.
[[nodiscard]] std::string_view to_name(event_number number) noexcept;

/// \brief One `key=value` of an event.
struct event_field
{
    std::string key;
    std::string value;

    MSGPACK_DEFINE_ARRAY(key, value)
};

/// \brief Something that happened, before it has a stamp.
struct event_note
{
    event_number number = event_number::process_started;
    request_id request;
    team_id team;
    std::vector<event_field> fields;
};

/// \brief Emitted for each event; the log and the time line listen.
using event_signal = sigc::signal<void(event_note const&)>;

/// \brief An event as one log line: `E1100 request_accepted request=...`.
[[nodiscard]] std::string to_line(event_note const& note);

} // namespace jujubestand

MSGPACK_ADD_ENUM(jujubestand::event_number)

#endif
