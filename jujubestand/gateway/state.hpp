#ifndef JUJUBESTAND_GATEWAY_STATE_HPP
#define JUJUBESTAND_GATEWAY_STATE_HPP

#include <cstdint>
#include <jujubestand/core/verdict.hpp>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/follow/follower.hpp>
#include <jujubestand/follow/lapses.hpp>
#include <jujubestand/gateway/event_stream.hpp>
#include <jujubestand/gateway/questions.hpp>
#include <jujubestand/http1/client.hpp>
#include <jujubestand/http1/server.hpp>
#include <jujubestand/logs/log.hpp>
#include <jujubestand/loop/datagrams.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/node/settings.hpp>
#include <jujubestand/retries/retry.hpp>
#include <jujubestand/traffic/call.hpp>
#include <jujubestand/traffic/tables.hpp>
#include <map>
#include <memory>
#include <optional>
#include <platform/store.hpp>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

struct event_base;

namespace jujubestand::gateway
{

/// \brief One call that is being served.
struct live_call
{
    http1::exchange_id exchange;
    traffic::caller_call asked;
    /// As it was when the call came in.
    traffic::route route;
    traffic::team team;
    mono_time arrived_at{};
    mono_time deadline{};
    dispatch::call terms;
    /// The send under way; default if there is none.
    http1::call_id send;
    std::string upstream;
    dispatch::upstream_key upstream_key = 0;
    std::uint32_t sends = 0;
    /// Sends after which the call may have run.
    std::uint32_t runs = 0;
    /// Worst over the sends that ended.
    verdict outcome = verdict::not_run;
    traffic::answer_head answer;
    /// Body of an answer that is passed on whole.
    std::string body;
    event_stream events;
    /// The caller has the head of the answer.
    bool is_begun = false;
    /// The answer under way is read, but not passed on.
    bool is_ignored = false;
    /// The upstream ran a failure that may be repeated elsewhere.
    bool is_repeatable_failure = false;
};

/// \brief A store of parts whose events this gateway reads.
struct watched_store
{
    status::cache_view cache;
    bool is_asking = false;
    bool is_alive = false;
    unsigned failures = 0;
    mono_time next_at{};
};

/// \brief One gateway process.
struct gateway_state
{
    event_base* base = nullptr;
    node::settings settings;
    logs::log* log = nullptr;
    std::unique_ptr<http1::client> calls;
    std::unique_ptr<http1::client> upstreams;
    std::unique_ptr<http1::server> callers;
    std::unique_ptr<http1::server> readiness;
    std::unique_ptr<platform::store> store;
    std::unique_ptr<follow::follower> operator_topic;
    std::unique_ptr<follow::follower> upstream_topic;
    /// Messages with agents and other gateways.
    std::unique_ptr<loop::datagrams> datagrams;
    /// Serves records to other gateways.
    std::unique_ptr<http1::server> records;
    std::optional<loop::timer> tick_timer;
    std::optional<loop::timer> review_timer;
    std::optional<loop::timer> stop_timer;
    /// `review_timer` runs.
    bool is_review_planned = false;
    follow::lapses lapses;
    std::optional<traffic::tables> tables;
    dispatch::state dispatch;
    /// Repeated sends that are left, by pool.
    std::map<std::string, retries::retry_budget> budgets;
    /// The same for answers that have begun, when the others are spent.
    std::map<std::string, retries::retry_budget> rescues;
    std::unordered_map<dispatch::call_key, live_call> live;
    std::map<http1::exchange_id, dispatch::call_key> by_exchange;
    dispatch::call_key last_call = 0;
    std::mt19937_64 draw;
    bool is_fresh = false;
    bool is_stopping = false;
    /// No call was open at the last check of a stop.
    bool was_idle = false;
    /// By address.
    std::map<std::string, watched_store> watched_stores;
    /// Answers that have begun and wait for the retry budget, with how their
    /// last send ended.
    std::map<dispatch::call_key, dispatch::send_outcome> suspended;
    /// Paths of the records that are being fetched.
    std::set<std::string> fetching;
    gateway::questions questions;
    followed_reader stores_from;
    /// IP numbers of all gateways, those with the widest links first; empty
    /// until agents tell.
    std::vector<std::string> peers;
    mono_time started_at{};
    mono_time stopping_since{};
};

} // namespace jujubestand::gateway

#endif
