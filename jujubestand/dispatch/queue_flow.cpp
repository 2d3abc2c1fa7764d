#include <jujubestand/dispatch/queue_flow.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace jujubestand::dispatch
{

namespace
{

/// Decay time of rates and of the tokens that teams used. A gateway with few
/// callers sends some ten calls in it, enough for a rate.
constexpr std::chrono::milliseconds rate_time{3'000};

/// Calls must have waited for so long before their rate is known.
constexpr double known_waiting_ms = 250;

/// From so long after calls began to wait, the time counts though none has been
/// accepted: no upstream has room.
constexpr std::chrono::milliseconds first_wait_limit{500};

/// More time between two turns counts as so much: the process stood still.
constexpr std::chrono::milliseconds turn_limit{200};

/// Share of the accepted tokens that less urgent calls get at least while they
/// wait.
constexpr double patient_share = 0.2;

/// A call that finds no room has it kept free in every second of these
/// intervals: without, smaller calls would take each piece of memory before
/// there is enough for it; all the time, urgent calls would become late.
constexpr std::chrono::milliseconds room_interval{100};

/// Weight of a new service time in the mean.
constexpr double service_weight = 0.1;

/// A service time counts as at most this multiple of the mean, so that single
/// calls at a stalled upstream don't make all others seem late.
constexpr double service_factor_max = 3;

double decay_after(microseconds elapsed)
{
    return std::exp(-std::max(0.0, to_ms(elapsed)) / to_ms(rate_time));
}

double value_of(used_tokens const& used, mono_time now)
{
    return used.tokens * decay_after(now - used.counted_at);
}

void count_waiting(priority_flow& flow, double waited_ms, mono_time now)
{
    if (!flow.waiting_since)
    {
        flow.waiting_since = now;
        flow.has_accepted = false;
    }
    else if (flow.has_accepted || now - *flow.waiting_since > first_wait_limit)
        flow.waiting_ms += waited_ms;
}

void remove_unused(priority_flow& flow, mono_time now)
{
    constexpr std::size_t teams_usual = 64;
    if (flow.teams.size() > teams_usual)
        std::erase_if(flow.teams,
                      [now](auto const& row)
                      {
                          return value_of(row.second, now) < 1;
                      });
}

} // namespace

std::optional<double> accepted_rate(priority_flow const& flow,
                                    double next_tokens)
{
    if (flow.waiting_ms < known_waiting_ms)
        return std::nullopt;
    // The next call counts as about to be accepted: after a pause of all
    // upstreams the rate is low, but never 0.
    return (flow.accepted_tokens + next_tokens) / flow.waiting_ms;
}

void begin_turn(pool_flow& flow, std::vector<queue_entry> const& waiting,
                std::size_t upstreams, mono_time now)
{
    auto const elapsed = std::max(microseconds{0}, now - flow.counted_at);
    double const decay = decay_after(elapsed);
    double const waited_ms = to_ms(std::min<microseconds>(elapsed, turn_limit));
    std::size_t const count = std::max<std::size_t>(1, upstreams);
    double const scale =
        flow.upstreams == 0
            ? 1.0
            : static_cast<double>(count) / static_cast<double>(flow.upstreams);
    for (auto& [priority, row] : flow.priorities)
    {
        double const accepted =
            row.waiting_ms > 0
                ? row.accepted_tokens / row.waiting_ms * to_ms(elapsed)
                : 0.0;
        row.returning_tokens =
            std::max(0.0, std::min(row.returning_tokens * decay,
                                   row.returning_tokens - accepted));
        row.accepted_tokens *= decay * scale;
        row.waiting_ms *= decay;
        if (waiting.empty())
            row.owed_tokens = 0;
    }
    std::set<std::uint8_t> counted;
    for (auto const& entry : waiting)
        counted.insert(entry.priority);
    for (auto& [priority, row] : flow.priorities)
    {
        if (!counted.contains(priority))
            row.waiting_since.reset();
    }
    for (auto const priority : counted)
        count_waiting(flow.priorities[priority], waited_ms, now);
    flow.upstreams = count;
    flow.counted_at = now;
    if (waiting.empty())
    {
        flow.waiting_since.reset();
        flow.blocked_since.reset();
    }
    else if (!flow.waiting_since)
        flow.waiting_since = now;
}

void record_accepted(pool_flow& flow, queue_entry const& accepted,
                     std::vector<queue_entry> const& waiting, mono_time now)
{
    priority_flow& own = flow.priorities[accepted.priority];
    bool has_waiting = false;
    double owed_limit = 0;
    std::set<std::uint8_t> more_urgent;
    for (auto const& entry : waiting)
    {
        has_waiting = has_waiting || entry.priority == accepted.priority;
        if (entry.priority > accepted.priority)
            owed_limit = std::max(owed_limit, entry.tokens);
        if (entry.priority < accepted.priority)
            more_urgent.insert(entry.priority);
    }
    if (has_waiting && own.has_accepted)
        own.accepted_tokens += accepted.tokens;
    own.has_accepted = has_waiting;
    // Calls that don't wait save up nothing, and those that find no room at
    // most one call.
    own.owed_tokens =
        std::min(owed_limit, own.owed_tokens + owed_for(accepted.tokens));
    for (auto const priority : more_urgent)
        flow.priorities[priority].owed_tokens -= accepted.tokens;
    remove_unused(own, now);
    auto const team = own.teams.try_emplace(std::string(accepted.team)).first;
    team->second = {value_of(team->second, now) + accepted.tokens, now};
}

void record_returning(pool_flow& flow, queue_entry const& refused)
{
    flow.priorities[refused.priority].returning_tokens += refused.tokens;
}

void record_service_time(pool_flow& flow, std::uint8_t priority,
                         microseconds took, bool is_lower_bound, mono_time now)
{
    priority_flow& row = flow.priorities[priority];
    bool const is_first = !measured_service_ms(row, now);
    double took_ms = to_ms(took);
    if (took_ms <= 0 ||
        (is_lower_bound && (is_first || took_ms <= row.service_ms)))
        return;
    if (is_first)
    {
        row.service_ms = took_ms;
        row.service_deviation_ms = took_ms / 2;
    }
    else
    {
        took_ms = std::min(took_ms, service_factor_max * row.service_ms);
        row.service_deviation_ms +=
            service_weight *
            (std::abs(took_ms - row.service_ms) - row.service_deviation_ms);
        row.service_ms += service_weight * (took_ms - row.service_ms);
    }
    row.served_at = now;
}

bool keeps_room(pool_flow& flow, bool is_blocked, mono_time now)
{
    if (!is_blocked)
    {
        flow.blocked_since.reset();
        return false;
    }
    if (!flow.blocked_since)
        flow.blocked_since = now;
    return (now - *flow.blocked_since) / room_interval % 2 == 1;
}

std::optional<double> measured_service_ms(priority_flow const& flow,
                                          mono_time now)
{
    if (flow.service_ms <= 0 || now - flow.served_at > rate_time)
        return std::nullopt;
    return flow.service_ms + flow.service_deviation_ms;
}

double team_use(priority_flow const& flow, std::string_view team, mono_time now)
{
    auto const known = flow.teams.find(team);
    return known == flow.teams.end() ? 0 : value_of(known->second, now);
}

double owed_for(double accepted_tokens)
{
    return accepted_tokens * patient_share / (1 - patient_share);
}

} // namespace jujubestand::dispatch
