#include <jujubestand/follow/follower.hpp>

#include <algorithm>
#include <jujubestand/loop/timer.hpp>
#include <platform/store.hpp>
#include <utility>

namespace jujubestand::follow
{

namespace
{

constexpr std::chrono::milliseconds retry_delay_first{100};
constexpr std::chrono::milliseconds retry_delay_limit{800};
constexpr std::chrono::milliseconds refresh_interval{400};

} // namespace

struct follower::state
{
    platform::store& store_client;
    read_options options;
    follower_events events;
    topic copy;
    listing partial_list;
    mono_time requested_at{};
    mono_time refreshed_at{};
    http1::call_id call;
    /// The store deleted records before they were read. Records from peers
    /// don't replace a list, since peers may lack the same records.
    bool needs_list = false;
    bool is_active = false;
    bool is_reading = false;
    std::chrono::milliseconds retry_delay{0};
    loop::timer read_timer;

    state(event_base* base, platform::store& store, read_options settings,
          follower_events callbacks)
        : store_client(store)
        , options(std::move(settings))
        , events(std::move(callbacks))
        , read_timer(base,
                     [this]
                     {
                         this->is_reading = false;
                         if (this->is_active)
                             this->start_read();
                     })
    {
        this->copy.version_of = this->options.version_of;
        this->copy.keeps_lost_keys = this->options.keeps_lost_keys;
    }

    void start_read();
    void read(std::chrono::milliseconds wait);
    void request_list_part(std::string const& after);
    void on_listed(platform::listing_end const& end);
    void on_read(platform::read_end const& end);
    template <class Apply>
    void apply_and_notify(Apply const& apply);
    void on_success();
    void schedule_read(std::chrono::milliseconds pause);
    void on_failure(reason const& why);
};

void follower::state::start_read()
{
    this->requested_at = mono_now();
    this->is_reading = true;
    if (this->needs_list || !this->copy.is_listed)
    {
        this->partial_list = listing{};
        this->request_list_part({});
        return;
    }
    this->read(this->options.wait);
}

void follower::state::read(std::chrono::milliseconds wait)
{
    this->call =
        this->store_client.read(this->options.topic, this->copy.next, wait,
                                [this](platform::read_end const& end)
                                {
                                    this->on_read(end);
                                });
}

void follower::state::request_list_part(std::string const& after)
{
    this->call =
        this->store_client.list(this->options.topic, after,
                                [this](platform::listing_end const& end)
                                {
                                    this->on_listed(end);
                                });
}

// The parts of a list are not one snapshot. Reading resumes at the end offset
// of the first part, so that records written in the meantime are not missed.
void follower::state::on_listed(platform::listing_end const& end)
{
    if (!end.part)
    {
        this->on_failure(end.why);
        return;
    }
    auto const& rows = end.part->rows;
    bool const is_first = this->partial_list.records.empty();
    if (is_first)
    {
        this->partial_list.end = rows.end;
        this->partial_list.era = rows.era;
    }
    else if (rows.era != this->partial_list.era)
    {
        this->start_read();
        return;
    }
    this->partial_list.records.insert(this->partial_list.records.end(),
                                      rows.records.begin(), rows.records.end());
    if (end.part->has_more && !rows.records.empty())
    {
        this->request_list_part(rows.records.back().key);
        return;
    }
    this->needs_list = false;
    this->apply_and_notify(
        [this]
        {
            return on_listing(this->copy, this->partial_list,
                              this->requested_at);
        });
    this->on_success();
}

void follower::state::on_read(platform::read_end const& end)
{
    if (end.is_expired)
    {
        this->events.on_expired(end.why);
        this->needs_list = true;
        this->start_read();
        return;
    }
    if (!end.page)
    {
        this->on_failure(end.why);
        return;
    }
    if (has_returned(this->copy, end.page->era))
    {
        this->needs_list = true;
        this->start_read();
        return;
    }
    this->apply_and_notify(
        [&]
        {
            return on_page(this->copy, *end.page, this->requested_at);
        });
    this->on_success();
}

// Changes the copy by `apply`, which returns the changed records.
template <class Apply>
void follower::state::apply_and_notify(Apply const& apply)
{
    bool const was_listed = this->copy.is_listed;
    auto const era = this->copy.era;
    auto const confirmed_before = this->copy.current_as_of;
    auto const changes = apply();
    if (was_listed && this->copy.era != era && this->events.on_returned)
        this->events.on_returned(era, this->copy.era);
    if (!changes.empty())
        this->events.on_changes(changes, confirmed_before);
}

void follower::state::on_success()
{
    bool const was_failing =
        std::exchange(this->retry_delay, std::chrono::milliseconds{0}).count() >
        0;
    if (was_failing)
        this->events.on_reachable();
    this->schedule_read(this->options.pause);
}

void follower::state::schedule_read(std::chrono::milliseconds pause)
{
    this->is_reading = this->is_active;
    if (this->is_active)
        this->read_timer.start(pause);
}

void follower::state::on_failure(reason const& why)
{
    bool const is_first = this->retry_delay.count() == 0;
    this->retry_delay =
        is_first ? retry_delay_first
                 : std::min(this->retry_delay * 2, retry_delay_limit);
    if (is_first)
        this->events.on_unreachable(why);
    this->schedule_read(this->retry_delay);
}

follower::follower(event_base* base, platform::store& store,
                   read_options options, follower_events events)
    : impl(std::make_unique<state>(base, store, std::move(options),
                                   std::move(events)))
{
}

follower::~follower() = default;

void follower::set_active(bool is_active)
{
    state& reader = *this->impl;
    if (reader.is_active == is_active)
        return;
    reader.is_active = is_active;
    if (is_active && !reader.is_reading)
        reader.start_read();
}

void follower::refresh()
{
    state& reader = *this->impl;
    auto const now = mono_now();
    if (now - reader.refreshed_at < refresh_interval)
        return;
    reader.refreshed_at = now;
    reader.store_client.cancel(reader.call);
    reader.read_timer.stop();
    reader.requested_at = now;
    reader.is_reading = true;
    if (reader.copy.is_listed && !reader.needs_list)
        reader.read(std::chrono::milliseconds{0});
    else
        reader.start_read();
}

topic const& follower::known() const noexcept
{
    return this->impl->copy;
}

void follower::apply(listing const& list, std::uint64_t since,
                     mono_time confirmed_at)
{
    this->impl->apply_and_notify(
        [&]
        {
            return on_peer_records(this->impl->copy, list, since, confirmed_at);
        });
}

void follower::confirm(std::uint64_t era, std::uint64_t end,
                       mono_time confirmed_at)
{
    on_confirmation(this->impl->copy, era, end, confirmed_at);
}

} // namespace jujubestand::follow
