#include <jujubestand/gateway/quarantine_records.hpp>

#include <algorithm>
#include <charconv>
#include <jujubestand/gateway/crashes.hpp>
#include <jujubestand/placement/rendezvous.hpp>
#include <jujubestand/quarantine/clock_alignment.hpp>
#include <jujubestand/quarantine/crash_records.hpp>
#include <platform/names.hpp>

namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds culprit_delay_limit{500};
constexpr std::chrono::milliseconds crash_delay_limit{150};
constexpr std::chrono::milliseconds write_retry_delay{1'000};

/// How often a gateway looks for records of crashes to remove.
constexpr std::chrono::milliseconds removal_interval{60'000};

mono_time random_time(gateway_state& state, mono_time from,
                      std::chrono::milliseconds limit)
{
    std::uniform_int_distribution<std::int64_t> delay_ms(0, limit.count());
    return from + std::chrono::milliseconds{delay_ms(state.random_engine)};
}

mono_time write_time(gateway_state& state, std::string const& key,
                     mono_time from, std::chrono::milliseconds limit)
{
    return random_time(state, from, limit) +
           turn_delay(state.gateway_hosts, state.settings.ip, key);
}

// Notices of the same crash come from all gateways.
void plan_crash_write(gateway_state& state, quarantine::crash_key const& crash,
                      mono_time from, std::chrono::milliseconds limit)
{
    auto& unwritten = state.crashes.unwritten_crashes;
    if (unwritten.contains(crash))
        return;
    unwritten[crash] =
        write_time(state, quarantine::record_key_of(crash), from, limit);
}

// A write that fails is repeated until the topic shows the culprit.
void write_culprits(gateway_state& state, mono_time now)
{
    auto& unwritten = state.crashes.unwritten_culprits;
    auto const& written = state.quarantine_topic->known().newest;
    std::erase_if(unwritten,
                  [&](auto const& row)
                  {
                      return written.contains(to_text(row.first));
                  });
    for (auto& [fingerprint, due_at] : unwritten)
    {
        if (due_at > now)
            continue;
        due_at = now + write_retry_delay;
        auto const& until = state.crashes.evidence.culprits[fingerprint];
        state.store->put(platform::names::quarantine_topic,
                         to_text(fingerprint),
                         std::to_string(until.time_since_epoch().count()),
                         [](platform::append_end const&) {});
    }
}

quarantine::notice stored_notice(gateway_state const& state,
                                 std::string const& key)
{
    auto const& records = state.quarantine_topic->known().newest;
    auto const found = records.find(key);
    reason why;
    return found == records.end() ? quarantine::notice{}
                                  : quarantine::unpack(found->second.value, why)
                                        .value_or(quarantine::notice{});
}

// One write at a time: a store that is slow or away gets no more of them.
void put_crash_record(gateway_state& state, std::string const& key,
                      std::string const& value)
{
    state.crashes.is_crash_write_open = true;
    state.store->put(platform::names::quarantine_topic, key, value,
                     [&state](platform::append_end const&)
                     {
                         state.crashes.is_crash_write_open = false;
                     });
}

// A write that fails is repeated until the topic shows all that is known.
void write_crashes(gateway_state& state, mono_time now)
{
    auto& unwritten = state.crashes.unwritten_crashes;
    for (auto row = unwritten.begin();
         row != unwritten.end() && !state.crashes.is_crash_write_open;)
    {
        if (row->second > now)
        {
            ++row;
            continue;
        }
        auto const key = quarantine::record_key_of(row->first);
        auto const known =
            quarantine::notice_of_crash(state.crashes.evidence, row->first);
        if (quarantine::covers(stored_notice(state, key), known))
        {
            row = unwritten.erase(row);
            continue;
        }
        row->second = now + write_retry_delay;
        put_crash_record(state, key, quarantine::pack(known));
        ++row;
    }
}

std::map<std::string, quarantine::notice>
stored_crashes(gateway_state const& state)
{
    std::map<std::string, quarantine::notice> result;
    for (auto const& [key, row] : state.quarantine_topic->known().newest)
    {
        if (!row.value.empty() && quarantine::is_crash_record(key))
            result[key] = stored_notice(state, key);
    }
    return result;
}

void remove_obsolete(gateway_state& state, mono_time now)
{
    auto& crashes = state.crashes;
    if (now < crashes.removal_due_at || crashes.is_crash_write_open)
        return;
    crashes.removal_due_at =
        random_time(state, now + removal_interval, removal_interval);
    auto const obsolete = quarantine::obsolete_record(
        stored_crashes(state), crashes.evidence.strikes.options.lifetime,
        wall_now());
    if (!obsolete)
        return;
    put_crash_record(state, *obsolete, {});
    crashes.removal_due_at = now + write_retry_delay;
}

void reject(gateway_state& state, follow::record const& row, char const* why)
{
    state.log->write(event_number::record_rejected, {},
                     {{"key", row.key}, {"why", why}});
}

void apply_culprit_record(gateway_state& state, follow::record const& row)
{
    auto const fingerprint = digest_from_text(row.key);
    std::int64_t until_ms = 0;
    auto const* const last = row.value.data() + row.value.size();
    auto const read = std::from_chars(row.value.data(), last, until_ms);
    if (!fingerprint || read.ec != std::errc{} || read.ptr != last)
    {
        reject(state, row, "not a culprit");
        return;
    }
    apply_culprit(state, *fingerprint,
                  wall_time{std::chrono::milliseconds{until_ms}}, "store");
}

void apply_crash_record(gateway_state& state, follow::record const& row)
{
    reason why;
    auto const stored = quarantine::unpack(row.value, why);
    if (stored)
        apply_notice(state,
                     quarantine::stored_by_own_clock(
                         state.crashes.evidence.strikes, *stored, wall_now()));
    else
        reject(state, row, "not a crash");
}

} // namespace

// All gateways learn of a culprit or a crash at the same time. Each one's turn
// to write it comes after that of the gateways before it, in an order that
// depends on the key, so that the later ones find it written.
std::chrono::milliseconds turn_delay(std::vector<std::string> const& gateways,
                                     std::string const& own,
                                     std::string const& key)
{
    constexpr std::chrono::milliseconds turn{250};
    constexpr std::chrono::milliseconds limit{4'000};
    auto const record = placement::name_hash_of(key);
    auto const score_of = [record](std::string const& host)
    {
        return placement::rendezvous_score(record,
                                           placement::name_hash_of(host), 1.0);
    };
    double const own_score = score_of(own);
    auto const before = std::count_if(gateways.begin(), gateways.end(),
                                      [&](std::string const& host)
                                      {
                                          return score_of(host) > own_score;
                                      });
    return std::min<std::chrono::milliseconds>(before * turn, limit);
}

void schedule_culprit_write(gateway_state& state, digest const& fingerprint,
                            mono_time now)
{
    state.crashes.unwritten_culprits[fingerprint] =
        write_time(state, to_text(fingerprint), now, culprit_delay_limit);
}

void schedule_crash_writes(gateway_state& state, quarantine::notice const& news,
                           std::chrono::milliseconds delay, mono_time now)
{
    for (auto const& crash :
         quarantine::crashes_of(state.crashes.evidence, news))
        plan_crash_write(state, crash, now + delay, crash_delay_limit);
}

void write_quarantine_records(gateway_state& state, mono_time now)
{
    write_culprits(state, now);
    write_crashes(state, now);
    remove_obsolete(state, now);
}

void write_quarantine_records_again(gateway_state& state)
{
    auto const now = mono_now();
    auto const wall = wall_now();
    for (auto const& [fingerprint, until] : state.crashes.evidence.culprits)
    {
        if (until > wall)
            schedule_culprit_write(state, fingerprint, now);
    }
    for (auto const& [crash, recorded] : state.crashes.evidence.crashes)
        plan_crash_write(state, crash, now, culprit_delay_limit);
}

void apply_quarantine_records(gateway_state& state,
                              std::vector<follow::record> const& changes)
{
    for (auto const& row : changes)
    {
        // The store has lost or removed it; what this gateway knows holds.
        if (row.value.empty())
            continue;
        if (quarantine::is_crash_record(row.key))
            apply_crash_record(state, row);
        else
            apply_culprit_record(state, row);
    }
}

} // namespace jujubestand::gateway
