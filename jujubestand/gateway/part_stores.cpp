#include <jujubestand/gateway/part_stores.hpp>

#include <algorithm>
#include <jujubestand/http1/text_call.hpp>
#include <platform/calls.hpp>
#include <platform/documents.hpp>

namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds events_wait{1'000};
constexpr std::chrono::milliseconds events_timeout{1'600};
constexpr std::chrono::milliseconds pause_after_failure{400};

void update_dispatch(gateway_state& state, std::string const& name,
                     watched_store const& watched)
{
    for (auto& store : state.dispatch.stores)
    {
        if (to_text(store.where) != name)
            continue;
        store.is_alive = watched.is_reachable;
        status::on_delta(store.cache, status::delta_since(
                                          watched.cache, store.cache.position));
    }
}

// After lost events some cached parts are unknown to the gateway. They are not
// listed, since a listing would block the store; they reappear with their next
// use.
void on_events(gateway_state& state, std::string const& name,
               std::optional<std::string> const& body)
{
    auto& watched = state.watched_stores[name];
    watched.is_poll_in_flight = false;
    reason why;
    auto const events = platform::decode_cache_events(body.value_or(""), why);
    bool const was_alive = watched.is_reachable;
    watched.is_reachable = events.has_value();
    if (watched.is_reachable)
        status::on_events(watched.cache, *events);
    else
        watched.next_poll_at =
            std::max(watched.next_poll_at, mono_now() + pause_after_failure);
    if (was_alive != watched.is_reachable)
        state.log->write(watched.is_reachable
                             ? event_number::engine_reachable
                             : event_number::engine_unreachable,
                         {}, {{"part_store", name}, {"why", to_text(why)}});
    update_dispatch(state, name, watched);
}

// A store that refuses may want no requests from this gateway for some time.
void on_head(gateway_state& state, std::string const& name,
             http1::message_head const& head)
{
    auto const pause = platform::read_answer(head).pause.duration;
    if (!pause)
        return;
    auto& watched = state.watched_stores[name];
    watched.next_poll_at = std::max(watched.next_poll_at, mono_now() + *pause);
    state.log->write(event_number::upstream_paused, {},
                     {{"part_store", name}, {"pause_ms", pause->count()}});
}

void request_events(gateway_state& state, address const& where)
{
    auto const name = to_text(where);
    auto& watched = state.watched_stores[name];
    if (watched.cache.generation == 0)
        status::begin(watched.cache,
                      status::first_generation(state.random_engine()));
    watched.is_poll_in_flight = true;
    auto request =
        platform::cache_events_request(where, watched.cache.next, events_wait);
    request.timeout = events_timeout;
    http1::ask_for_text(
        *state.internal_client, std::move(request),
        [&state, name](std::optional<std::string> const& body)
        {
            on_events(state, name, body);
        },
        [&state, name](http1::message_head const& head)
        {
            on_head(state, name, head);
        });
}

} // namespace

void poll_part_stores(gateway_state& state, mono_time now)
{
    for (auto const& store : state.dispatch.stores)
    {
        auto const& watched = state.watched_stores[to_text(store.where)];
        if (!watched.is_poll_in_flight && now >= watched.next_poll_at)
            request_events(state, store.where);
    }
}

} // namespace jujubestand::gateway
