#include <jujubestand/quarantine/strike.hpp>

#include <algorithm>
#include <exception>
#include <jujubestand/core/bounded_unpack.hpp>

namespace jujubestand::quarantine
{

namespace
{

std::int64_t ms_of(wall_time at) noexcept
{
    return at.time_since_epoch().count();
}

bool is_expired(strike_options const& options, std::int64_t at_ms,
                wall_time now) noexcept
{
    return at_ms + options.lifetime.count() <= ms_of(now);
}

bool is_same(strike const& left, strike const& right) noexcept
{
    return left.upstream == right.upstream &&
           left.incarnation == right.incarnation;
}

bool add_strike(strike_book& book, strike const& added, wall_time now)
{
    if (is_expired(book.options, added.at_ms, now))
        return false;
    strike_entry& entry = book.entries[added.fingerprint];
    bool const is_known =
        std::any_of(entry.strikes.begin(), entry.strikes.end(),
                    [&](auto const& known)
                    {
                        return is_same(known, added);
                    });
    if (is_known || added.at_ms <= entry.cleared_ms)
        return false;
    entry.strikes.push_back(added);
    entry.changed_ms = std::max(entry.changed_ms, added.at_ms);
    return true;
}

bool add_clearance(strike_book& book, clearance const& added, wall_time now)
{
    if (is_expired(book.options, added.until_ms, now))
        return false;
    strike_entry& entry = book.entries[added.fingerprint];
    if (added.until_ms <= entry.cleared_ms)
        return false;
    entry.cleared_ms = added.until_ms;
    entry.changed_ms = std::max(entry.changed_ms, added.until_ms);
    std::erase_if(entry.strikes,
                  [&](auto const& known)
                  {
                      return known.at_ms <= entry.cleared_ms;
                  });
    return true;
}

// Strikes are rare, so a table over its limit means an attack with many
// different crashing requests; the most recently changed entries are kept.
void bound_entries(strike_book& book)
{
    while (book.entries.size() > book.options.fingerprints_limit)
    {
        auto const oldest = std::min_element(
            book.entries.begin(), book.entries.end(),
            [](auto const& left, auto const& right)
            {
                return left.second.changed_ms < right.second.changed_ms;
            });
        book.entries.erase(oldest);
    }
}

} // namespace

digest fingerprint_of(team_id const& team, route_id const& route,
                      std::string_view body_digest)
{
    std::string bytes;
    append_part(bytes, team.text);
    append_part(bytes, route.text);
    append_part(bytes, body_digest);
    return digest_of(bytes);
}

std::string pack(notice const& message)
{
    if (message.empty())
        return {};
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

std::optional<notice> unpack(std::string_view bytes, reason& why)
{
    if (bytes.empty())
        return notice{};
    try
    {
        auto message = bounded_unpack(bytes).get().as<notice>();
        if (message.version == notice::current_version)
            return message;
        why = reason{reason_code::link_malformed, "unknown notice version",
                     std::to_string(message.version)};
    }
    catch (std::exception const& error)
    {
        why = reason{reason_code::link_malformed, error.what(), "notice"};
    }
    return std::nullopt;
}

notice merge(strike_book& book, notice const& message, wall_time now)
{
    notice added;
    for (auto const& one : message.strikes)
    {
        if (add_strike(book, one, now))
            added.strikes.push_back(one);
    }
    for (auto const& one : message.clearances)
    {
        if (add_clearance(book, one, now))
            added.clearances.push_back(one);
    }
    bound_entries(book);
    return added;
}

judgement judge(strike_book const& book, digest const& fingerprint,
                wall_time now)
{
    auto const at = book.entries.find(fingerprint);
    if (at == book.entries.end())
        return judgement::free;
    auto const& strikes = at->second.strikes;
    auto const count = static_cast<std::size_t>(
        std::count_if(strikes.begin(), strikes.end(),
                      [&](auto const& one)
                      {
                          return !is_expired(book.options, one.at_ms, now);
                      }));
    if (count == 0)
        return judgement::free;
    return count < book.options.strikes_limit ? judgement::alone
                                              : judgement::refused;
}

clearance clear_of(strike_book const& book, digest const& fingerprint,
                   wall_time now)
{
    clearance made{fingerprint, ms_of(now)};
    auto const at = book.entries.find(fingerprint);
    if (at == book.entries.end())
        return made;
    // The clock of the sidecar that recorded the strike may be ahead.
    for (auto const& one : at->second.strikes)
        made.until_ms = std::max(made.until_ms, one.at_ms);
    return made;
}

void expire(strike_book& book, wall_time now)
{
    for (auto at = book.entries.begin(); at != book.entries.end();)
    {
        strike_entry& entry = at->second;
        std::erase_if(entry.strikes,
                      [&](auto const& one)
                      {
                          return is_expired(book.options, one.at_ms, now);
                      });
        bool const is_over = entry.strikes.empty() &&
                             is_expired(book.options, entry.cleared_ms, now);
        at = is_over ? book.entries.erase(at) : std::next(at);
    }
}

notice newest(strike_book const& book, wall_time now)
{
    std::vector<std::pair<std::int64_t, digest>> order;
    for (auto const& [fingerprint, entry] : book.entries)
    {
        if (!is_expired(book.options, entry.changed_ms, now))
            order.emplace_back(-entry.changed_ms, fingerprint);
    }
    std::sort(order.begin(), order.end());
    notice made;
    for (auto const& [age, fingerprint] : order)
    {
        strike_entry const& entry = book.entries.at(fingerprint);
        std::size_t const room = made.strikes.size() + made.clearances.size();
        if (room >= book.options.notice_limit)
            break;
        made.strikes.insert(made.strikes.end(), entry.strikes.begin(),
                            entry.strikes.end());
        if (entry.cleared_ms > 0)
            made.clearances.push_back({fingerprint, entry.cleared_ms});
    }
    return made;
}

std::vector<strike> list(strike_book const& book, wall_time now)
{
    std::vector<strike> all;
    for (auto const& [fingerprint, entry] : book.entries)
    {
        for (auto const& one : entry.strikes)
        {
            if (!is_expired(book.options, one.at_ms, now))
                all.push_back(one);
        }
    }
    std::sort(all.begin(), all.end(),
              [](auto const& left, auto const& right)
              {
                  return std::tie(left.at_ms, left.fingerprint) <
                         std::tie(right.at_ms, right.fingerprint);
              });
    return all;
}

} // namespace jujubestand::quarantine
