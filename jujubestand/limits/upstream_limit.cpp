#include <jujubestand/limits/upstream_limit.hpp>

#include <algorithm>
#include <cmath>

namespace jujubestand::limits
{

namespace
{

/// An upstream that takes nothing at all still gets a call now and then, since
/// only an answer can state that the limit has ended.
constexpr double rate_min = 0.1;

/// After its end a limit rises by this factor each second, from at least
/// `rise_from`, so that the calls that waited for it don't arrive at once.
constexpr double rise_per_second = 4;
constexpr double rise_from = 2;
constexpr std::chrono::seconds rise_time{4};

limit_change apply(std::optional<upstream_limit>& known,
                   statement const& stated, mono_time now)
{
    if (!stated.calls_per_second)
    {
        if (!known)
            return limit_change::none;
        known->stated_at = stated.stated_at;
        if (known->ended_at)
            return limit_change::none;
        known->ended_at = now;
        return limit_change::ended;
    }
    if (!known || known->ended_at)
    {
        known = upstream_limit{*stated.calls_per_second, stated.stated_at, {}};
        return limit_change::named;
    }
    bool const is_altered = known->calls_per_second != *stated.calls_per_second;
    known->calls_per_second = *stated.calls_per_second;
    known->stated_at = stated.stated_at;
    return is_altered ? limit_change::altered : limit_change::none;
}

bool is_same(upstream_limit const& known, statement const& stated)
{
    return known.ended_at ? !stated.calls_per_second
                          : stated.calls_per_second == known.calls_per_second;
}

} // namespace

limit_change on_own_statement(std::optional<upstream_limit>& known,
                              statement const& stated, mono_time now)
{
    return apply(known, stated, now);
}

limit_change on_reported_statement(std::optional<upstream_limit>& known,
                                   statement stated, wall_time wall_now,
                                   mono_time now)
{
    stated.stated_at = std::min(stated.stated_at, wall_now);
    if (known && stated.stated_at <= known->stated_at)
        return limit_change::none;
    // What two processes tell each other again and again would otherwise grow
    // newer with each message.
    if (known && stated.is_converted && is_same(*known, stated))
        return limit_change::none;
    return apply(known, stated, now);
}

double rate_of(upstream_limit const& known, mono_time now)
{
    double const stated = std::max(known.calls_per_second, rate_min);
    if (!known.ended_at)
        return stated;
    double const seconds =
        std::chrono::duration<double>(now - *known.ended_at).count();
    return std::max(stated, rise_from) *
           std::pow(rise_per_second, std::max(0.0, seconds));
}

bool applies(std::optional<upstream_limit> const& known, mono_time now)
{
    return known && (!known->ended_at || now - *known->ended_at < rise_time);
}

} // namespace jujubestand::limits
