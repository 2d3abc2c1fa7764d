#include <jujubestand/follow/follower.hpp>

#include <algorithm>
#include <jujubestand/loop/timer.hpp>
#include <platform/store.hpp>
#include <utility>

namespace jujubestand::follow
{

namespace
{

constexpr std::chrono::milliseconds pause_after_failure_first{100};
constexpr std::chrono::milliseconds pause_after_failure_limit{800};
constexpr std::chrono::milliseconds refresh_interval{400};

} // namespace

struct follower::state
{
    platform::store& from;
    reading how;
    follower_events events;
    topic known;
    listing gathered;
    mono_time asked_at{};
    mono_time refreshed_at{};
    http1::call_id call;
    /// The store deleted records before they were read. Records from peers
    /// don't replace a list, since peers may lack the same records.
    bool needs_list = false;
    bool is_active = false;
    bool is_reading = false;
    std::chrono::milliseconds failure_pause{0};
    loop::timer next;

    state(event_base* base, platform::store& source, reading manner,
          follower_events told)
        : from(source)
        , how(std::move(manner))
        , events(std::move(told))
        , next(base,
               [this]
               {
                   this->is_reading = false;
                   if (this->is_active)
                       this->step();
               })
    {
    }

    void step();
    void read(std::chrono::milliseconds wait);
    void list_part(std::string const& after);
    void on_listed(platform::listing_end const& end);
    void on_read(platform::read_end const& end);
    void tell(std::vector<record> const& changes);
    void succeed();
    void rest(std::chrono::milliseconds pause);
    void fail(reason const& why);
};

void follower::state::step()
{
    this->asked_at = mono_now();
    this->is_reading = true;
    if (this->needs_list || !this->known.is_listed)
    {
        this->gathered = listing{};
        this->list_part({});
        return;
    }
    this->read(this->how.wait);
}

void follower::state::read(std::chrono::milliseconds wait)
{
    this->call = this->from.read(this->how.topic, this->known.next, wait,
                                 [this](platform::read_end const& end)
                                 {
                                     this->on_read(end);
                                 });
}

void follower::state::list_part(std::string const& after)
{
    this->call = this->from.list(this->how.topic, after,
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
        this->fail(end.why);
        return;
    }
    auto const& rows = end.part->rows;
    if (this->gathered.records.empty())
        this->gathered.end = rows.end;
    this->gathered.records.insert(this->gathered.records.end(),
                                  rows.records.begin(), rows.records.end());
    if (end.part->has_more && !rows.records.empty())
    {
        this->list_part(rows.records.back().key);
        return;
    }
    this->needs_list = false;
    this->tell(on_listing(this->known, this->gathered, this->asked_at));
    this->succeed();
}

void follower::state::on_read(platform::read_end const& end)
{
    if (end.is_expired)
    {
        this->events.on_expired(end.why);
        this->needs_list = true;
        this->step();
        return;
    }
    if (!end.page)
    {
        this->fail(end.why);
        return;
    }
    this->tell(on_page(this->known, *end.page, this->asked_at));
    this->succeed();
}

void follower::state::tell(std::vector<record> const& changes)
{
    if (!changes.empty())
        this->events.on_changes(changes);
}

void follower::state::succeed()
{
    bool const was_failing =
        std::exchange(this->failure_pause, std::chrono::milliseconds{0})
            .count() > 0;
    if (was_failing)
        this->events.on_reachable();
    this->rest(this->how.pause);
}

void follower::state::rest(std::chrono::milliseconds pause)
{
    this->is_reading = this->is_active;
    if (this->is_active)
        this->next.start(pause);
}

void follower::state::fail(reason const& why)
{
    bool const is_first = this->failure_pause.count() == 0;
    this->failure_pause =
        is_first ? pause_after_failure_first
                 : std::min(this->failure_pause * 2, pause_after_failure_limit);
    if (is_first)
        this->events.on_unreachable(why);
    this->rest(this->failure_pause);
}

follower::follower(event_base* base, platform::store& from, reading how,
                   follower_events events)
    : self(std::make_unique<state>(base, from, std::move(how),
                                   std::move(events)))
{
}

follower::~follower() = default;

void follower::set_active(bool is_active)
{
    state& mine = *this->self;
    if (mine.is_active == is_active)
        return;
    mine.is_active = is_active;
    if (is_active && !mine.is_reading)
        mine.step();
}

void follower::refresh()
{
    state& mine = *this->self;
    auto const now = mono_now();
    if (now - mine.refreshed_at < refresh_interval)
        return;
    mine.refreshed_at = now;
    mine.from.cancel(mine.call);
    mine.next.stop();
    mine.asked_at = now;
    mine.is_reading = true;
    if (mine.known.is_listed && !mine.needs_list)
        mine.read(std::chrono::milliseconds{0});
    else
        mine.step();
}

topic const& follower::known() const noexcept
{
    return this->self->known;
}

void follower::take(listing const& from, std::uint64_t since,
                    mono_time proven_at)
{
    this->self->tell(on_shared(this->self->known, from, since, proven_at));
}

void follower::vouch(std::uint64_t end, mono_time proven_at)
{
    on_vouched(this->self->known, end, proven_at);
}

} // namespace jujubestand::follow
