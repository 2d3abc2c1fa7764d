#ifndef JUJUBESTAND_AGENT_STATE_HPP
#define JUJUBESTAND_AGENT_STATE_HPP

#include <jujubestand/agent/gateway_table.hpp>
#include <jujubestand/agent/rollout.hpp>
#include <jujubestand/follow/follower.hpp>
#include <jujubestand/http1/server.hpp>
#include <jujubestand/logs/log.hpp>
#include <jujubestand/loop/datagrams.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/node/settings.hpp>
#include <jujubestand/status/messages.hpp>
#include <memory>
#include <platform/store.hpp>

namespace jujubestand::agent
{

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
    std::string upstream;
    status::cache_view cache;
    std::optional<loop::timer> cache_timer;
    gateway_table gateways;
    std::optional<mono_time> first_request_at;
    /// Whether the engine was usable when gateways were last notified.
    bool was_usable = false;
};

} // namespace jujubestand::agent

#endif
