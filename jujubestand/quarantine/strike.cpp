#include <jujubestand/quarantine/strike.hpp>

#include <algorithm>
#include <exception>
#include <jujubestand/core/bounded_unpack.hpp>

namespace jujubestand::quarantine
{

namespace
{

/// First half of the fingerprint of a part; no digest of a request's bytes is
/// likely to have it.
constexpr std::uint64_t part_mark = 0x7061727400000000U;

std::int64_t ms_of(wall_time time) noexcept
{
    return time.time_since_epoch().count();
}

bool is_expired(strike_options const& options, std::int64_t at_ms,
                wall_time now) noexcept
{
    return at_ms + options.lifetime.count() <= ms_of(now);
}

bool is_same_crash(strike const& left, strike const& right) noexcept
{
    return left.upstream == right.upstream &&
           left.incarnation == right.incarnation;
}

// Processes notice one crash at different times and with different requests in
// flight: the strongest evidence and the last time hold, in whatever order they
// arrive.
bool update_strike(strike& known, strike const& added)
{
    bool const is_news = added.stage > known.stage ||
                         added.depth > known.depth || added.at_ms > known.at_ms;
    known.depth = std::max(known.depth, added.depth);
    known.stage = std::max(known.stage, added.stage);
    known.at_ms = std::max(known.at_ms, added.at_ms);
    return is_news;
}

bool add_strike(strike_table& table, strike const& added, wall_time now)
{
    if (is_expired(table.options, added.at_ms, now))
        return false;
    strike_entry& entry = table.entries[added.fingerprint];
    if (added.at_ms <= entry.cleared_until_ms)
        return false;
    auto const known = std::find_if(entry.strikes.begin(), entry.strikes.end(),
                                    [&](auto const& recorded)
                                    {
                                        return is_same_crash(recorded, added);
                                    });
    if (known != entry.strikes.end() && !update_strike(*known, added))
        return false;
    if (known == entry.strikes.end())
        entry.strikes.push_back(added);
    entry.last_change_ms = std::max(entry.last_change_ms, added.at_ms);
    return true;
}

bool add_clearance(strike_table& table, clearance const& added, wall_time now)
{
    if (is_expired(table.options, added.until_ms, now))
        return false;
    strike_entry& entry = table.entries[added.fingerprint];
    if (added.until_ms <= entry.cleared_until_ms)
        return false;
    entry.cleared_until_ms = added.until_ms;
    entry.last_change_ms = std::max(entry.last_change_ms, added.until_ms);
    std::erase_if(entry.strikes,
                  [&](auto const& recorded)
                  {
                      return recorded.at_ms <= entry.cleared_until_ms;
                  });
    return true;
}

// Strikes are rare, so a table over its limit means an attack with many
// different crashing requests; the most recently changed entries are kept.
void evict_oldest_entries(strike_table& table)
{
    while (table.entries.size() > table.options.fingerprints_limit)
    {
        auto const oldest = std::min_element(
            table.entries.begin(), table.entries.end(),
            [](auto const& left, auto const& right)
            {
                return left.second.last_change_ms < right.second.last_change_ms;
            });
        table.entries.erase(oldest);
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

digest fingerprint_of_part(std::uint64_t part) noexcept
{
    return {part_mark, part};
}

bool is_part(digest const& fingerprint) noexcept
{
    return fingerprint.high == part_mark;
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

notice merge(strike_table& table, notice const& message, wall_time now)
{
    notice added;
    for (auto const& item : message.strikes)
    {
        if (add_strike(table, item, now))
            added.strikes.push_back(item);
    }
    for (auto const& item : message.clearances)
    {
        if (add_clearance(table, item, now))
            added.clearances.push_back(item);
    }
    evict_oldest_entries(table);
    return added;
}

quarantine_status status_of(strike_table const& table,
                            digest const& fingerprint, wall_time now)
{
    auto const it = table.entries.find(fingerprint);
    if (it == table.entries.end())
        return quarantine_status::unrestricted;
    auto const& strikes = it->second.strikes;
    auto const count = static_cast<std::size_t>(
        std::count_if(strikes.begin(), strikes.end(),
                      [&](auto const& item)
                      {
                          return !is_expired(table.options, item.at_ms, now);
                      }));
    if (count == 0)
        return quarantine_status::unrestricted;
    return count < table.options.strikes_limit ? quarantine_status::isolated
                                               : quarantine_status::quarantined;
}

clearance clearance_for(strike_table const& table, digest const& fingerprint,
                        wall_time now)
{
    clearance result{fingerprint, ms_of(now)};
    auto const it = table.entries.find(fingerprint);
    if (it == table.entries.end())
        return result;
    // The clock of the sidecar that recorded the strike may be ahead.
    for (auto const& item : it->second.strikes)
        result.until_ms = std::max(result.until_ms, item.at_ms);
    return result;
}

void expire(strike_table& table, wall_time now)
{
    for (auto it = table.entries.begin(); it != table.entries.end();)
    {
        strike_entry& entry = it->second;
        std::erase_if(entry.strikes,
                      [&](auto const& item)
                      {
                          return is_expired(table.options, item.at_ms, now);
                      });
        bool const is_obsolete =
            entry.strikes.empty() &&
            is_expired(table.options, entry.cleared_until_ms, now);
        it = is_obsolete ? table.entries.erase(it) : std::next(it);
    }
}

notice newest_notice(strike_table const& table, wall_time now)
{
    std::vector<std::pair<std::int64_t, digest>> by_age;
    for (auto const& [fingerprint, entry] : table.entries)
    {
        if (!is_expired(table.options, entry.last_change_ms, now))
            by_age.emplace_back(-entry.last_change_ms, fingerprint);
    }
    std::sort(by_age.begin(), by_age.end());
    notice result;
    for (auto const& [age, fingerprint] : by_age)
    {
        strike_entry const& entry = table.entries.at(fingerprint);
        std::size_t const used =
            result.strikes.size() + result.clearances.size();
        if (used >= table.options.notice_limit)
            break;
        result.strikes.insert(result.strikes.end(), entry.strikes.begin(),
                              entry.strikes.end());
        if (entry.cleared_until_ms > 0)
            result.clearances.push_back({fingerprint, entry.cleared_until_ms});
    }
    return result;
}

bool is_active(strike_table const& table, strike const& recorded,
               wall_time now) noexcept
{
    return !is_expired(table.options, recorded.at_ms, now);
}

std::vector<strike> active_strikes(strike_table const& table, wall_time now)
{
    std::vector<strike> active;
    for (auto const& [fingerprint, entry] : table.entries)
    {
        for (auto const& item : entry.strikes)
        {
            if (!is_expired(table.options, item.at_ms, now))
                active.push_back(item);
        }
    }
    std::sort(active.begin(), active.end(),
              [](auto const& left, auto const& right)
              {
                  return std::tie(left.at_ms, left.fingerprint) <
                         std::tie(right.at_ms, right.fingerprint);
              });
    return active;
}

} // namespace jujubestand::quarantine
