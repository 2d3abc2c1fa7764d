#include <jujubestand/core/wall_clock.hpp>

#include <algorithm>

namespace jujubestand
{

namespace
{

/// A step of 5 s is followed within four minutes; ages are wrong by 2% at most
/// meanwhile.
constexpr int slew_divisor = 50;

/// More than this is no step of a clock that is kept, but the first setting of
/// one that was not.
constexpr std::chrono::minutes followed_at_once{1};

/// Shorter steps than this would lose their fraction.
constexpr std::chrono::milliseconds adjust_interval{10};

/// Messages take less, unless a process or a link was held up.
constexpr std::chrono::milliseconds agreement{500};

/// A difference that grows by less is that of a clock that is corrected.
constexpr std::chrono::milliseconds drift{100};

/// Longer than a process or a link is held up.
constexpr std::chrono::seconds measurement_lifetime{30};

/// The year 2200; sums of later times could overflow.
constexpr std::int64_t stated_limit_ms = 7'258'118'400'000;

/// Datagrams from forged addresses must not fill the memory.
constexpr std::size_t peers_limit = 4'096;

void follow(stepless_clock& clock, microseconds target, mono_time now)
{
    auto const difference = target - clock.offset;
    if (difference > followed_at_once || difference < -followed_at_once)
    {
        clock.offset = target;
        clock.adjusted_at = now;
        return;
    }
    auto const elapsed = now - clock.adjusted_at;
    if (elapsed < adjust_interval)
        return;
    microseconds const limit = elapsed / slew_divisor;
    clock.offset += std::clamp(difference, -limit, limit);
    clock.adjusted_at = now;
}

} // namespace

wall_time advance(stepless_clock& clock, microseconds machine_time,
                  mono_time now)
{
    auto const target = machine_time - now.time_since_epoch();
    if (!clock.is_started)
        clock = {true, target, now};
    follow(clock, target, now);
    return wall_time{std::chrono::floor<std::chrono::milliseconds>(
        now.time_since_epoch() + clock.offset)};
}

std::chrono::milliseconds clock_difference(peer_clocks& clocks,
                                           std::string const& host,
                                           std::int64_t sent_at_ms,
                                           wall_time wall_now, mono_time now)
{
    if (sent_at_ms <= 0 || sent_at_ms > stated_limit_ms)
        return std::chrono::milliseconds{0};
    bool const is_full = clocks.size() >= peers_limit && !clocks.contains(host);
    if (is_full)
        std::erase_if(clocks,
                      [now](auto const& row)
                      {
                          return now - row.second.measured_at >
                                 measurement_lifetime;
                      });
    if (is_full && clocks.size() >= peers_limit)
        return std::chrono::milliseconds{0};
    auto const difference =
        wall_now.time_since_epoch() - std::chrono::milliseconds{sent_at_ms};
    auto const [row, is_new] = clocks.try_emplace(host);
    auto& known = row->second;
    if (is_new || difference <= known.difference + drift ||
        now - known.measured_at > measurement_lifetime)
        known = {difference, now};
    bool const agrees =
        known.difference <= agreement && known.difference >= -agreement;
    return agrees ? std::chrono::milliseconds{0} : known.difference;
}

} // namespace jujubestand
