#include <jujubestand/process/table_reader.hpp>

#include <jujubestand/config/records.hpp>

namespace jujubestand::process
{

namespace
{

config::store_options options_of(context& shared)
{
    config::store_options options;
    options.self = shared.settings.instance;
    options.retention =
        std::chrono::milliseconds(shared.settings.log_retention_ms);
    options.seed = shared.random();
    return options;
}

} // namespace

struct table_reader::state
{
    table_reader* owner = nullptr;
    context* shared = nullptr;
    platform::log_client* log = nullptr;
    config::store store;
    platform::tail_id tail;

    void carry_out(config::store_effects const& effects)
    {
        for (auto const& what : effects.notes)
            this->shared->noted.emit(what);
        if (effects.read_from)
            this->log->skip_to(this->tail, *effects.read_from);
        if (effects.applied)
            this->owner->applied.emit();
    }
};

table_reader::table_reader(context& shared, platform::log_client& log)
    : self(std::make_unique<state>())
{
    this->self->owner = this;
    this->self->shared = &shared;
    this->self->log = &log;
    this->self->store = config::make_store(options_of(shared));
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
    this->self->tail = this->self->log->tail(config::stream_name, log_offset{});
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
