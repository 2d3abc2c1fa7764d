#ifndef JUJUBESTAND_PROCESS_CONTEXT_HPP
#define JUJUBESTAND_PROCESS_CONTEXT_HPP

#include <jujubestand/core/event.hpp>
#include <jujubestand/core/hybrid_time.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/link/node.hpp>
#include <jujubestand/platform/list_client.hpp>
#include <jujubestand/platform/log_client.hpp>
#include <jujubestand/settings/settings.hpp>
#include <jujubestand/timeline/ring.hpp>
#include <prometheus/registry.h>
#include <random>
#include <string>
#include <vector>

struct event_base;

namespace jujubestand::process
{

/// \brief What every part of one process shares. Lives as long as the
/// process; parts keep a pointer to it.
struct context
{
    event_base* base = nullptr;
    settings::settings settings;
    settings::role role = settings::role::entry;
    incarnation_id incarnation;
    hybrid_time clock;
    std::mt19937_64 random;
    event_signal noted;
    prometheus::Registry metrics;
    /// The time line: every noted event is added to it.
    timeline::ring events;
};

/// \brief Fills a context for a process that starts now, with a fresh
/// incarnation and seed.
void begin(context& shared, event_base* base, settings::settings read,
           settings::role role);

/// \brief A request id that no other process makes.
[[nodiscard]] request_id next_request_id(context& shared);

/// \brief Emits an event.
void note(context& shared, event_number number, request_id const& request,
          team_id const& team, std::vector<event_field> fields);

/// \brief A link node's options, from the settings.
[[nodiscard]] link::node_options node_options_of(context const& shared);

/// \brief The log client's options, from the settings.
[[nodiscard]] platform::log_client_options log_options_of(context& shared);

/// \brief The list client's options, from the settings.
[[nodiscard]] platform::list_client_options list_options_of(context& shared);

} // namespace jujubestand::process

#endif
