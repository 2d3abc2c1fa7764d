#include <jujubestand/gateway/limit_records.hpp>

#include <cmath>

namespace jujubestand::gateway
{

limits::limit_record record_of(dispatch::upstream const& target, mono_time now)
{
    limits::limit_record record;
    record.upstream = upstream_id{target.record.id};
    record.incarnation = incarnation_id{target.record.born_ms};
    record.sent_at_ms = wall_now().time_since_epoch().count();
    if (!target.limit)
        return record;
    record.is_named = !target.limit->ended_at;
    record.calls_per_second = record.is_named
                                  ? target.limit->calls_per_second
                                  : limits::rate_of(*target.limit, now);
    record.stated_at_ms = target.limit->stated_at.time_since_epoch().count();
    return record;
}

void to_own_clock(limits::limit_record& record,
                  std::chrono::milliseconds difference)
{
    record.is_converted = difference.count() != 0 && record.stated_at_ms > 0;
    if (record.is_converted)
        record.stated_at_ms += difference.count();
}

bool is_valid(limits::limit_record const& record)
{
    return std::isfinite(record.calls_per_second) &&
           record.calls_per_second >= 0;
}

limits::statement statement_of(limits::limit_record const& record)
{
    limits::statement stated;
    if (record.is_named)
        stated.calls_per_second = record.calls_per_second;
    stated.stated_at =
        wall_time{std::chrono::milliseconds{record.stated_at_ms}};
    stated.is_converted = record.is_converted;
    return stated;
}

} // namespace jujubestand::gateway
