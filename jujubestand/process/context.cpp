#include <jujubestand/process/context.hpp>

#include <chrono>
#include <jujubestand/core/time.hpp>
#include <utility>

namespace jujubestand::process
{

void begin(context& shared, event_base* base, settings::settings read,
           settings::role role)
{
    std::random_device device;
    std::uint64_t const high = device();
    shared.base = base;
    shared.settings = std::move(read);
    shared.role = role;
    shared.random.seed((high << 32U) | device());
    // Later lives have higher numbers while the wall clock does not step
    // back by more than a life; the low bits keep twins apart.
    auto const wall_ms =
        static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
    shared.incarnation =
        incarnation_id((wall_ms << 16U) | (shared.random() & 0xFFFFU));
    shared.events.instance = shared.settings.instance;
    shared.events.capacity =
        static_cast<std::size_t>(shared.settings.timeline_events);
    shared.noted.connect(
        [&shared](event_note const& what)
        {
            auto const stamp = tick(shared.clock, wall_now());
            timeline::add(shared.events, stamp, what);
        });
}

request_id next_request_id(context& shared)
{
    return request_id{shared.incarnation.value ^ (shared.random() << 40U),
                      shared.random()};
}

void note(context& shared, event_number number, request_id const& request,
          team_id const& team, std::vector<event_field> fields)
{
    shared.noted.emit(event_note{number, request, team, std::move(fields)});
}

link::node_options node_options_of(context const& shared)
{
    auto const& read = shared.settings;
    link::node_options options;
    options.instance = read.instance;
    options.incarnation = shared.incarnation;
    options.role = std::string(to_name(settings::role_names, shared.role));
    options.key = read.link_key;
    options.stream_window_bytes =
        static_cast<std::size_t>(read.stream_window_bytes);
    options.connect_timeout =
        std::chrono::milliseconds(read.connect_timeout_ms);
    options.ping_timeout = std::chrono::milliseconds(read.ping_timeout_ms);
    return options;
}

platform::log_client_options log_options_of(context& shared)
{
    platform::log_client_options options;
    options.service = shared.settings.log;
    options.poll_wait = std::chrono::milliseconds(shared.settings.log_poll_ms);
    options.seed = shared.random();
    return options;
}

platform::list_client_options list_options_of(context& shared)
{
    platform::list_client_options options;
    options.service = shared.settings.instances;
    options.period = std::chrono::milliseconds(shared.settings.list_poll_ms);
    options.seed = shared.random();
    return options;
}

} // namespace jujubestand::process
