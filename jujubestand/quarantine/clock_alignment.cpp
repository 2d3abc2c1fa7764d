#include <jujubestand/quarantine/clock_alignment.hpp>

#include <algorithm>
#include <cstdlib>
#include <jujubestand/core/wall_clock.hpp>

namespace jujubestand::quarantine
{

namespace
{

/// Messages take less on their way, unless a process or a link was held up.
constexpr std::chrono::milliseconds message_time{1'000};

bool is_near(std::int64_t left_ms, std::int64_t right_ms,
             std::chrono::milliseconds span)
{
    return std::abs(left_ms - right_ms) <= span.count();
}

std::int64_t time_of(strike_table const& known, strike const& stated,
                     std::chrono::milliseconds span)
{
    auto const entry = known.entries.find(stated.fingerprint);
    if (entry == known.entries.end())
        return stated.at_ms;
    for (auto const& recorded : entry->second.strikes)
    {
        if (recorded.upstream == stated.upstream &&
            recorded.incarnation == stated.incarnation &&
            is_near(recorded.at_ms, stated.at_ms, span))
            return recorded.at_ms;
    }
    return stated.at_ms;
}

std::int64_t time_of(strike_table const& known, clearance const& stated,
                     std::chrono::milliseconds span)
{
    auto const entry = known.entries.find(stated.fingerprint);
    bool const is_known =
        entry != known.entries.end() &&
        is_near(entry->second.cleared_until_ms, stated.until_ms, span);
    return is_known ? entry->second.cleared_until_ms : stated.until_ms;
}

} // namespace

notice by_own_clock(strike_table const& known, notice message,
                    std::chrono::milliseconds difference)
{
    if (difference.count() == 0)
        return message;
    for (auto& stated : message.strikes)
    {
        stated.at_ms += difference.count();
        stated.at_ms = time_of(known, stated, message_time);
    }
    for (auto& stated : message.clearances)
    {
        stated.until_ms += difference.count();
        stated.until_ms = time_of(known, stated, message_time);
    }
    return message;
}

notice stored_by_own_clock(strike_table const& known, notice message,
                           wall_time now)
{
    constexpr auto span = clock_tolerance + message_time;
    auto const now_ms = now.time_since_epoch().count();
    for (auto& stated : message.strikes)
        stated.at_ms = time_of(known, stated, span);
    for (auto& stated : message.clearances)
        stated.until_ms = time_of(known, stated, span);
    for (auto& stated : message.strikes)
        stated.at_ms = std::min(stated.at_ms, now_ms);
    for (auto& stated : message.clearances)
        stated.until_ms = std::min(stated.until_ms, now_ms);
    return message;
}

} // namespace jujubestand::quarantine
