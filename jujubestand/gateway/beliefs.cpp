#include <jujubestand/gateway/beliefs.hpp>

#include <algorithm>
#include <jujubestand/dispatch/upstreams.hpp>
#include <platform/documents.hpp>
#include <platform/names.hpp>
#include <string_view>

namespace jujubestand::gateway
{

namespace
{

/// Run time after which new records are assumed to arrive as they are written.
constexpr std::chrono::milliseconds settled_after{3'000};
constexpr std::chrono::milliseconds load_time_at_start{2'500};

/// Part of the key removal bound reserved for the transfer to the upstream.
constexpr std::chrono::milliseconds freshness_margin{300};

void reject(gateway_state& self, follow::record const& row, reason const& why)
{
    self.log->write(event_number::record_rejected, {},
                    {{"key", row.key},
                     {"offset", static_cast<std::int64_t>(row.offset)},
                     {"why", to_text(why)}});
}

void apply_limits(gateway_state& self)
{
    auto const& from = self.tables->limits;
    http1::server_limits limits;
    limits.message.head_bytes = from.head_bytes;
    limits.message.body_bytes = from.body_bytes;
    limits.head_timeout = from.head_timeout;
    limits.idle_timeout = from.idle_timeout;
    self.callers->set_limits(limits);
}

// Stores that remain configured keep their known contents.
void apply_stores(gateway_state& self)
{
    std::vector<dispatch::part_store> next;
    for (auto const& store : self.tables->part_stores)
    {
        dispatch::part_store row;
        row.where = store.where;
        for (auto const& known : self.dispatch.stores)
        {
            if (known.where == store.where)
                row = known;
        }
        next.push_back(std::move(row));
    }
    self.dispatch.stores = std::move(next);
}

void apply_tables(gateway_state& self, follow::record const& row)
{
    reason why;
    auto tables = platform::decode_tables(row.value, why);
    if (!tables)
    {
        reject(self, row, why);
        return;
    }
    if (self.tables && tables->version <= self.tables->version)
        return;
    self.tables = std::move(*tables);
    apply_limits(self);
    apply_stores(self);
    self.log->write(
        event_number::tables_applied, {},
        {{"version", static_cast<std::int64_t>(self.tables->version)},
         {"offset", static_cast<std::int64_t>(row.offset)},
         {"routes", static_cast<std::int64_t>(self.tables->routes.size())},
         {"teams", static_cast<std::int64_t>(self.tables->teams.size())}});
}

// Weights read at startup may have been set long before. Older weights are then
// accepted only for the time that the engines take to load the new ones.
mono_time named_since(gateway_state const& self, mono_time now)
{
    if (now - self.started_at > settled_after)
        return now;
    return now - std::max<microseconds>(self.dispatch.limits.weights_lag -
                                            load_time_at_start,
                                        microseconds{0});
}

void apply_weights(gateway_state& self, follow::record const& row)
{
    reason why;
    auto const wanted = platform::decode_weights(row.value, why);
    if (!wanted)
    {
        reject(self, row, why);
        return;
    }
    dispatch::on_wanted_weights(self.dispatch, wanted->model, wanted->version,
                                named_since(self, mono_now()));
    self.log->write(event_number::weights_wanted, {},
                    {{"model", wanted->model},
                     {"version", static_cast<std::int64_t>(wanted->version)},
                     {"offset", static_cast<std::int64_t>(row.offset)}});
}

void remove_upstream(gateway_state& self, std::string const& id)
{
    dispatch::on_removed(self.dispatch, id);
    self.log->write(event_number::member_gone, {}, {{"upstream", id}});
}

void apply_upstream(gateway_state& self, follow::record const& row)
{
    reason why;
    auto const record = platform::decode_upstream(row.key, row.value, why);
    if (!record)
    {
        reject(self, row, why);
        return;
    }
    follow::on_present(self.lapses, row.key);
    auto const known = self.dispatch.by_id.find(record->id);
    bool const was_leaving =
        known != self.dispatch.by_id.end() &&
        self.dispatch.upstreams.at(known->second).record.is_leaving;
    bool const is_new = dispatch::on_record(self.dispatch, *record);
    if (is_new)
        self.log->write(event_number::member_live, {},
                        {{"upstream", record->id},
                         {"pool", record->pool},
                         {"address", to_text(record->where)}});
    if (record->is_leaving && !was_leaving)
        self.log->write(event_number::member_leaving, {},
                        {{"upstream", record->id}, {"source", "record"}});
}

} // namespace

void apply_operator_records(gateway_state& self,
                            std::vector<follow::record> const& changes)
{
    for (auto const& row : changes)
    {
        if (row.value.empty())
            continue;
        if (row.key == platform::names::configuration_key)
            apply_tables(self, row);
        else if (row.key.starts_with(platform::names::weights_key_prefix))
            apply_weights(self, row);
    }
}

void apply_upstream_records(gateway_state& self,
                            std::vector<follow::record> const& changes)
{
    for (auto const& row : changes)
    {
        if (!row.value.empty())
            apply_upstream(self, row);
        else if (follow::on_vanished(self.lapses, row.key, mono_now()))
            remove_upstream(self, row.key);
    }
}

void drop_lapsed(gateway_state& self)
{
    for (auto const& id : follow::take_gone(self.lapses, mono_now()))
        remove_upstream(self, id);
}

bool check_freshness(gateway_state& self, mono_time now)
{
    auto const age = follow::age(self.operator_topic->known(), now);
    bool const is_fresh =
        age && *age < self.settings.limits.key_removal - freshness_margin;
    if (is_fresh != self.is_fresh)
    {
        self.is_fresh = is_fresh;
        auto const age_ms =
            age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age)
                      .count()
                : -1;
        self.log->write(is_fresh ? event_number::freshness_regained
                                 : event_number::freshness_lost,
                        {}, {{"age_ms", age_ms}});
    }
    return is_fresh && self.tables;
}

bool is_ready(gateway_state& self, mono_time now)
{
    return !self.is_stopping && check_freshness(self, now) &&
           self.upstream_topic->known().is_listed;
}

} // namespace jujubestand::gateway
