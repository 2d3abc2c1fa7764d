#include <jujubestand/process/table_reader.hpp>

#include <jujubestand/config/records.hpp>
#include <jujubestand/loop/timer.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace jujubestand::process
{

namespace
{

constexpr std::chrono::milliseconds tick_period{100};
// A question that is not answered by then is dropped.
constexpr std::chrono::milliseconds question_timeout{2'000};
// Many calls of one peer may be refused at once; the tables go with one.
constexpr std::chrono::milliseconds hand_over_interval{250};

config::store_options options_of(context& shared)
{
    config::store_options options;
    options.self = shared.settings.instance;
    options.retention =
        std::chrono::milliseconds(shared.settings.log_retention_ms);
    options.seed = shared.random();
    return options;
}

struct question
{
    link::stream_id stream;
    mono_time asked{};
};

struct hand_over_mark
{
    log_offset version;
    mono_time at{};
};

} // namespace

struct table_reader::state
{
    table_reader* owner = nullptr;
    context* shared = nullptr;
    platform::log_client* log = nullptr;
    link::node* links = nullptr;
    config::store store;
    platform::tail_id tail;
    std::optional<loop::timer> ticker;
    // Peers by name; those of the settings, which have none, by address.
    std::map<instance_id, address> peers;
    std::vector<question> questions;
    std::map<incarnation_id, hand_over_mark> handed;

    void carry_out(config::store_effects const& effects);
    void ask(instance_id const& peer);
    void append(std::string const& record);
    void tick();
    void hand_over(link::stream_id stream, log_offset have);
    void on_tables(link::stream_id stream, link::frame const& frame);
    void on_wanted(link::stream_id stream, link::frame const& frame);
    [[nodiscard]] bool was_handed(link::stream_id stream);
};

void table_reader::state::carry_out(config::store_effects const& effects)
{
    for (auto const& what : effects.notes)
        this->shared->noted.emit(what);
    if (effects.read_from)
        this->log->skip_to(this->tail, *effects.read_from);
    for (auto const& peer : effects.ask)
        this->ask(peer);
    if (!effects.append.empty())
        this->append(effects.append);
    if (effects.applied)
        this->owner->applied.emit();
}

void table_reader::state::ask(instance_id const& peer)
{
    auto const found = this->peers.find(peer);
    reason why;
    auto const where = found != this->peers.end()
                           ? std::optional<address>(found->second)
                           : parse_address(peer.text, why);
    if (!where)
        return;
    auto const stream = this->links->open(*where);
    auto const have = config::in_force(this->store).version;
    this->links->send(stream,
                      link::to_frame(link::tables_wanted{have, {}, {}}));
    this->questions.push_back({stream, mono_now()});
}

// Nothing hangs on one append: whoever's turn is next repeats a lost one.
void table_reader::state::append(std::string const& record)
{
    reason why;
    auto const is_begun = this->log->append(
        config::stream_name, platform::append_kind::configuration, record,
        [](platform::append_result const&) {}, why);
    if (!is_begun)
        note(*this->shared, event_number::log_budget_exceeded, {}, {},
             {{"reason", to_text(why)}});
}

void table_reader::state::tick()
{
    auto const now = mono_now();
    std::vector<question> waiting;
    for (auto const& one : this->questions)
    {
        if (now < one.asked + question_timeout)
            waiting.push_back(one);
        else
            this->links->reset(one.stream);
    }
    this->questions = std::move(waiting);
    config::on_log_state(this->store, this->log->is_reachable());
    std::vector<instance_id> names;
    names.reserve(this->peers.size());
    for (auto const& [name, where] : this->peers)
        names.push_back(name);
    this->carry_out(config::on_tick(this->store, names, now, wall_now()));
}

void table_reader::state::hand_over(link::stream_id stream, log_offset have)
{
    auto const given = config::hand_over(this->store, have);
    this->links->send(stream, link::to_frame(given));
    if (given.packed.empty())
        return;
    auto const peer = this->links->peer_of(stream);
    note(*this->shared, event_number::tables_handed_over, {}, {},
         {{"peer", peer ? peer->instance.text : ""},
          {"version", std::to_string(given.version.value)}});
}

bool table_reader::state::was_handed(link::stream_id stream)
{
    auto const peer = this->links->peer_of(stream);
    if (!peer)
        return false;
    auto const now = mono_now();
    auto const version = config::in_force(this->store).version;
    auto& mark = this->handed[peer->incarnation];
    if (mark.version == version && now < mark.at + hand_over_interval)
        return true;
    mark = {version, now};
    std::erase_if(this->handed,
                  [now](auto const& row)
                  {
                      return now >= row.second.at + hand_over_interval;
                  });
    return false;
}

void table_reader::state::on_tables(link::stream_id stream,
                                    link::frame const& frame)
{
    reason why;
    auto const given = link::from_frame<link::tables>(frame, why);
    auto const asked = std::erase_if(this->questions,
                                     [stream](question const& one)
                                     {
                                         return one.stream == stream;
                                     });
    if (asked != 0)
        this->links->reset(stream);
    if (given)
        this->carry_out(config::on_tables(this->store, *given));
}

void table_reader::state::on_wanted(link::stream_id stream,
                                    link::frame const& frame)
{
    reason why;
    if (auto const wanted = link::from_frame<link::tables_wanted>(frame, why))
        this->hand_over(stream, wanted->have);
}

table_reader::table_reader(context& shared, platform::log_client& log,
                           link::node& links)
    : self(std::make_unique<state>())
{
    this->self->owner = this;
    this->self->shared = &shared;
    this->self->log = &log;
    this->self->links = &links;
    this->self->store = config::make_store(options_of(shared));
    for (auto const& where : shared.settings.peers)
        this->self->peers[instance_id(to_text(where))] = where;
    auto* own = this->self.get();
    log.received.connect(
        [own](platform::tail_id tail, platform::log_batch const& batch)
        {
            if (tail == own->tail)
                own->carry_out(config::on_batch(own->store, batch));
        });
    log.gap.connect(
        [own](platform::tail_id tail, log_offset first)
        {
            if (tail == own->tail)
                own->carry_out(config::on_gap(own->store, first));
        });
}

table_reader::~table_reader() = default;

void table_reader::start()
{
    auto* own = this->self.get();
    own->tail = own->log->tail(config::stream_name, log_offset{});
    own->ticker.emplace(own->shared->base,
                        [own]
                        {
                            own->tick();
                        });
    own->ticker->start_every(tick_period);
    own->tick();
}

void table_reader::on_list(platform::instance_list const& list)
{
    auto* own = this->self.get();
    own->peers.clear();
    for (auto const& row : list.instances)
    {
        if (row.instance != own->shared->settings.instance &&
            row.state == platform::listed_state::live)
            own->peers[row.instance] = row.link;
    }
    // The first list may be what a start without tables waits for.
    if (this->in_force().version == log_offset{})
        own->tick();
}

bool table_reader::on_frame(link::stream_id stream, link::frame const& frame)
{
    if (frame.kind == link::frame_kind::tables)
    {
        this->self->links->consume(stream, frame.payload.size());
        this->self->on_tables(stream, frame);
        return true;
    }
    if (frame.kind == link::frame_kind::tables_wanted)
    {
        this->self->links->consume(stream, frame.payload.size());
        this->self->on_wanted(stream, frame);
        return true;
    }
    return false;
}

config::tables_age table_reader::on_version(link::stream_id stream,
                                            log_offset version)
{
    auto* own = this->self.get();
    auto const age = config::compare(own->store, version);
    if (age == config::tables_age::older && !own->was_handed(stream))
        own->hand_over(stream, version);
    auto const peer = own->links->peer_of(stream);
    if (age != config::tables_age::newer || !peer)
        return age;
    auto const effects = config::on_peer_version(own->store, peer->instance,
                                                 version, mono_now());
    auto const have = this->in_force().version;
    if (!effects.ask.empty())
        own->links->send(stream,
                         link::to_frame(link::tables_wanted{have, {}, {}}));
    return age;
}

void table_reader::on_peer_version(address const& where, log_offset version)
{
    auto* own = this->self.get();
    own->carry_out(config::on_peer_version(
        own->store, instance_id(to_text(where)), version, mono_now()));
}

config::tables const& table_reader::in_force() const
{
    return config::in_force(this->self->store);
}

config::store const& table_reader::store() const
{
    return this->self->store;
}

} // namespace jujubestand::process
