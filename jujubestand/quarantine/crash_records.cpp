#include <jujubestand/quarantine/crash_records.hpp>

#include <algorithm>

namespace jujubestand::quarantine
{

namespace
{

constexpr std::string_view key_prefix = "crash/";

/// Requests in the record of one crash; all processes keep the same ones.
constexpr std::size_t requests_limit = 256;

/// Records that are kept, the latest ones.
constexpr std::size_t records_limit = 128;

void add_request(evidence const& state, crash_key const& crash,
                 std::int64_t crashed_at_ms, digest const& fingerprint,
                 notice& result)
{
    auto const found = state.strikes.entries.find(fingerprint);
    if (found == state.strikes.entries.end())
        return;
    for (auto const& recorded : found->second.strikes)
    {
        if (crash_of(recorded) == crash)
            result.strikes.push_back(recorded);
    }
    if (found->second.cleared_until_ms >= crashed_at_ms)
        result.clearances.push_back(
            {fingerprint, found->second.cleared_until_ms});
}

bool has_clearance(notice const& of, digest const& fingerprint,
                   std::int64_t until_ms)
{
    return std::any_of(of.clearances.begin(), of.clearances.end(),
                       [&](clearance const& item)
                       {
                           return item.fingerprint == fingerprint &&
                                  item.until_ms >= until_ms;
                       });
}

bool has_strike(notice const& of, digest const& fingerprint)
{
    return std::any_of(of.strikes.begin(), of.strikes.end(),
                       [&](strike const& item)
                       {
                           return item.fingerprint == fingerprint;
                       });
}

// When the last strike or clearance of a record was; 0: it has none.
std::int64_t last_time_ms(notice const& stored) noexcept
{
    std::int64_t result = 0;
    for (auto const& recorded : stored.strikes)
        result = std::max(result, recorded.at_ms);
    for (auto const& item : stored.clearances)
        result = std::max(result, item.until_ms);
    return result;
}

} // namespace

std::string record_key_of(crash_key const& crash)
{
    std::string identity;
    append_part(identity, crash.first.text);
    append_part(identity, std::to_string(crash.second.value));
    return std::string(key_prefix) + to_text(digest_of(identity));
}

bool is_crash_record(std::string_view key) noexcept
{
    return key.starts_with(key_prefix);
}

notice notice_of_crash(evidence const& state, crash_key const& crash)
{
    notice result;
    auto const found = state.crashes.find(crash);
    if (found == state.crashes.end())
        return result;
    std::size_t count = 0;
    for (auto const& [fingerprint, stage] : found->second.requests)
    {
        if (++count > requests_limit)
            break;
        add_request(state, crash, found->second.at_ms, fingerprint, result);
    }
    return result;
}

bool covers(notice const& stored, notice const& known)
{
    bool const has_strikes = std::all_of(
        known.strikes.begin(), known.strikes.end(),
        [&](strike const& item)
        {
            return has_strike(stored, item.fingerprint) ||
                   has_clearance(stored, item.fingerprint, item.at_ms);
        });
    return has_strikes &&
           std::all_of(known.clearances.begin(), known.clearances.end(),
                       [&](clearance const& item)
                       {
                           return !has_strike(stored, item.fingerprint) ||
                                  has_clearance(stored, item.fingerprint,
                                                item.until_ms);
                       });
}

std::vector<crash_key> crashes_of(evidence const& state, notice const& news)
{
    std::set<crash_key> result;
    for (auto const& recorded : news.strikes)
    {
        if (!is_part(recorded.fingerprint))
            result.insert(crash_of(recorded));
    }
    for (auto const& item : news.clearances)
    {
        for (auto const& [key, crash] : state.crashes)
        {
            if (crash.requests.contains(item.fingerprint))
                result.insert(key);
        }
    }
    return {result.begin(), result.end()};
}

std::optional<std::string>
obsolete_record(std::map<std::string, notice> const& stored,
                std::chrono::milliseconds lifetime, wall_time now)
{
    auto const oldest = std::min_element(stored.begin(), stored.end(),
                                         [](auto const& left, auto const& right)
                                         {
                                             return last_time_ms(left.second) <
                                                    last_time_ms(right.second);
                                         });
    if (oldest == stored.end())
        return std::nullopt;
    std::chrono::milliseconds const last{last_time_ms(oldest->second)};
    bool const is_expired = wall_time{last} + lifetime <= now;
    if (is_expired || stored.size() > records_limit)
        return oldest->first;
    return std::nullopt;
}

} // namespace jujubestand::quarantine
