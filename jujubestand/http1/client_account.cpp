#include <jujubestand/http1/client_account.hpp>

#include <algorithm>
#include <tuple>

namespace jujubestand::http1
{

namespace
{

bool is_stalled_reader(client_row const& row, client_pace const& pace,
                       mono_time now)
{
    return row.unread > 0 && now - row.moved_at > pace.read_stall;
}

// Position in the order of closing; nothing for those that stay.
std::optional<int> closing_class(client_row const& row, client_pace const& pace,
                                 mono_time now)
{
    enum order : int
    {
        silent,
        idle,
        slow,
        closing,
        fresh,
    };
    if (is_slow(row, pace, now))
        return row.stage == client_stage::silent ? silent : slow;
    switch (row.stage)
    {
    case client_stage::silent:
        return fresh;
    case client_stage::idle:
        return row.unread == 0 ? std::optional<int>{idle} : std::nullopt;
    case client_stage::closing:
        return closing;
    case client_stage::receiving:
    case client_stage::answering:
        break;
    }
    return std::nullopt;
}

double rate_of(client_row const& row, mono_time now)
{
    std::chrono::duration<double> const span = now - row.since;
    return static_cast<double>(row.received) / std::max(span.count(), 1e-3);
}

} // namespace

bool is_slow(client_row const& row, client_pace const& pace, mono_time now)
{
    if (is_stalled_reader(row, pace, now))
        return true;
    switch (row.stage)
    {
    case client_stage::silent:
        return now - row.since > pace.stall;
    case client_stage::receiving:
        return now - row.moved_at > pace.stall ||
               (now - row.since > pace.stall &&
                rate_of(row, now) < pace.bytes_per_second);
    case client_stage::idle:
    case client_stage::answering:
    case client_stage::closing:
        break;
    }
    return false;
}

std::vector<peer_id> closable_clients(std::vector<client_row> const& rows,
                                      client_pace const& pace, mono_time now)
{
    // Within a class the slowest request goes first, then the oldest stage.
    std::vector<std::tuple<int, double, mono_time, peer_id>> order;
    for (auto const& row : rows)
    {
        if (auto const place = closing_class(row, pace, now))
            order.emplace_back(*place, rate_of(row, now), row.since, row.id);
    }
    std::sort(order.begin(), order.end());
    std::vector<peer_id> result;
    result.reserve(order.size());
    for (auto const& entry : order)
        result.push_back(std::get<peer_id>(entry));
    return result;
}

std::vector<peer_id> slow_holders(std::vector<client_row> const& rows,
                                  std::size_t excess, client_pace const& pace,
                                  mono_time now)
{
    std::vector<client_row> slow;
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(slow),
                 [&](client_row const& row)
                 {
                     return row.stage == client_stage::receiving &&
                            is_slow(row, pace, now);
                 });
    std::sort(slow.begin(), slow.end(),
              [](client_row const& left, client_row const& right)
              {
                  return left.held > right.held;
              });
    std::vector<peer_id> result;
    std::size_t freed = 0;
    for (auto const& row : slow)
    {
        if (freed >= excess)
            break;
        freed += row.held;
        result.push_back(row.id);
    }
    return result;
}

} // namespace jujubestand::http1
