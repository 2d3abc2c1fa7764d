#ifndef JUJUBESTAND_AGENT_STATE_HPP
#define JUJUBESTAND_AGENT_STATE_HPP

#include <jujubestand/agent/gateway_table.hpp>
#include <jujubestand/agent/rollout.hpp>
#include <jujubestand/core/recent_map.hpp>
#include <jujubestand/follow/follower.hpp>
#include <jujubestand/http1/server.hpp>
#include <jujubestand/limits/permit_holder.hpp>
#include <jujubestand/limits/upstream_limit.hpp>
#include <jujubestand/logs/log.hpp>
#include <jujubestand/loop/datagrams.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/node/settings.hpp>
#include <jujubestand/status/messages.hpp>
#include <memory>
#include <platform/store.hpp>

namespace jujubestand::agent
{

/// \brief Kind of an engine's answer that states a limit.
enum class limit_source : std::uint8_t
{
    report,       ///< to a request for its report
    cache_events, ///< to a request for changes of its cache
    order,        ///< to an order
};

/// \brief State of an agent process.
struct agent_state
{
    event_base* base = nullptr;
    node::settings settings;
    logs::log* log = nullptr;
    std::unique_ptr<http1::client> http_client;
    std::unique_ptr<platform::store> store;
    std::unique_ptr<follow::follower> operator_topic;
    std::unique_ptr<loop::datagrams> status_socket;
    std::unique_ptr<http1::server> records_server;
    std::optional<loop::timer> report_timer;
    std::optional<loop::timer> fence_timer;
    std::optional<status::engine_report> report;
    mono_time report_requested_at{};
    mono_time reported_at{};
    bool is_report_in_flight = false;
    bool is_reachable = false;
    unsigned report_failures = 0;
    rollout weights;
    /// The engine's id and the start of its process, as gateways name them.
    std::string upstream;
    std::uint64_t upstream_incarnation = 0;
    /// Latest start of the engine that a gateway has named.
    std::uint64_t latest_incarnation = 0;
    /// Calls a second that the engine takes from all instances together.
    std::optional<limits::upstream_limit> limit;
    /// Kind of the answers that named the limit.
    std::optional<limit_source> limited_by;
    /// Permits for orders while there is a limit.
    limits::permit_holder order_permits;
    mono_time order_sent_at{};
    /// Gateways have not been notified of the limit.
    bool is_limit_news = false;
    status::cache_view cache;
    std::optional<loop::timer> cache_timer;
    /// Software version by the request that began a stream; the least recently
    /// used are dropped.
    recent_map<std::uint64_t, std::string> origins{16'384};
    gateway_list gateways;
    std::optional<mono_time> first_request_at;
    /// Whether the engine was usable when gateways were last notified.
    bool was_usable = false;
};

} // namespace jujubestand::agent

#endif
