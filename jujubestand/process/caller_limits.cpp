#include <jujubestand/process/caller_limits.hpp>

#include <algorithm>
#include <jujubestand/core/descriptors.hpp>

namespace jujubestand::process
{

namespace
{

// The other descriptors are for links, the platform's services and files. A
// quarter more connections than requests are open, so that callers over the
// limit of requests are refused with a reason.
std::size_t connection_limit(settings::settings const& read)
{
    constexpr std::size_t callers_eighths = 5;
    constexpr std::size_t reserve_part = 4;
    if (read.connections_limit != 0)
        return static_cast<std::size_t>(read.connections_limit);
    auto const calls = static_cast<std::size_t>(read.calls_limit);
    return std::min(system_descriptor_limit() * callers_eighths / 8,
                    calls + calls / reserve_part + 1);
}

} // namespace

http::server_options server_options_of(settings::settings const& read)
{
    using std::chrono::milliseconds;
    http::server_options options;
    auto& requests = options.requests;
    requests.message.head_bytes =
        static_cast<std::size_t>(read.header_limit_bytes);
    requests.message.body_bytes =
        static_cast<std::size_t>(read.body_limit_bytes);
    requests.head_timeout = milliseconds(read.read_timeout_ms);
    requests.idle_timeout = milliseconds(read.read_timeout_ms);
    requests.body_timeout = milliseconds(read.body_timeout_ms);
    options.connections = connection_limit(read);
    // A request of the largest size is served while there is no other.
    options.held_requests_bytes = std::max(
        static_cast<std::size_t>(read.held_requests_bytes),
        2 * (requests.message.head_bytes + requests.message.body_bytes));
    return options;
}

void note_limited(context& shared, http1::limited_clients const& limited)
{
    note(shared, event_number::clients_limited, {}, {},
         {{"port", "callers"},
          {"closed_idle", std::to_string(limited.closed_idle)},
          {"closed_slow", std::to_string(limited.closed_slow)},
          {"refused", std::to_string(limited.refused)},
          {"turned_away", std::to_string(limited.turned_away)},
          {"cut_ahead", std::to_string(limited.cut_ahead)},
          {"connections", std::to_string(limited.connections)},
          {"held_bytes", std::to_string(limited.held_bytes)}});
}

} // namespace jujubestand::process
