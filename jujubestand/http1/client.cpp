#include <jujubestand/http1/client.hpp>

#include <jujubestand/http1/client_state.hpp>
#include <jujubestand/http1/sockets.hpp>
#include <utility>

namespace jujubestand::http1
{

client::client(event_base* base)
    : self(std::make_unique<state>())
{
    this->self->base = base;
}

client::~client() = default;

call_id client::start(client_request request, call_events events)
{
    state& all = *this->self;
    // Timeouts count from now, not from the beginning of the loop's turn.
    event_base_update_cache_time(all.base);
    auto const kept = all.take_idle(request);
    auto const connection = kept ? *kept : all.connect(request);
    auto const id = all.calls.insert(state::call{});
    state::call* const made = all.calls.find(id);
    made->held = std::make_unique<std::pair<state*, call_id>>(&all, id);
    made->request = std::move(request);
    made->events = std::make_shared<call_events>(std::move(events));
    made->connection = connection;
    made->started_at = mono_now();
    all.start_timer(*made);
    state::connection* const open = all.connections.find(connection);
    open->call = id;
    if (open->is_connected)
        all.write(*open, *made);
    return id;
}

void client::set_kept_limit(std::size_t bytes)
{
    this->self->kept.set_limit(bytes);
}

void client::set_kept(call_id call, std::size_t bytes)
{
    state::call const* const found = this->self->calls.find(call);
    if (found == nullptr)
        return;
    auto kept = found->kept;
    kept.body = bytes;
    this->self->set_kept(call, kept);
}

void client::cancel(call_id call)
{
    state::call const* found = this->self->calls.find(call);
    if (found == nullptr)
        return;
    this->self->kept.erase(call);
    auto const connection = found->connection;
    this->self->calls.erase(call);
    this->self->reset(connection);
}

std::uint64_t client::connection_of(call_id call) const
{
    state::call const* const found = this->self->calls.find(call);
    if (found == nullptr)
        return 0;
    return this->self->connections.find(found->connection)->number;
}

void client::forget(address const& server)
{
    auto const found = this->self->idle.find(server);
    if (found == this->self->idle.end())
        return;
    for (auto const id : found->second)
        this->self->drop(id);
    this->self->idle.erase(found);
}

std::uint64_t client::opened() const noexcept
{
    return this->self->opened;
}

} // namespace jujubestand::http1
