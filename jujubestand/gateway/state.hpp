#ifndef JUJUBESTAND_GATEWAY_STATE_HPP
#define JUJUBESTAND_GATEWAY_STATE_HPP

#include <cstdint>
#include <jujubestand/core/verdict.hpp>
#include <jujubestand/core/wall_clock.hpp>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/follow/follower.hpp>
#include <jujubestand/follow/lapses.hpp>
#include <jujubestand/gateway/directory.hpp>
#include <jujubestand/gateway/engine_orders.hpp>
#include <jujubestand/gateway/event_stream.hpp>
#include <jujubestand/gateway/query_pacing.hpp>
#include <jujubestand/gateway/route_pools.hpp>
#include <jujubestand/gateway/software_history.hpp>
#include <jujubestand/gateway/stored_origins.hpp>
#include <jujubestand/gateway/stream_origins.hpp>
#include <jujubestand/gateway/wasted_work.hpp>
#include <jujubestand/http1/client.hpp>
#include <jujubestand/http1/server.hpp>
#include <jujubestand/limits/permit_issuer.hpp>
#include <jujubestand/limits/quota_exchange.hpp>
#include <jujubestand/limits/recent_count.hpp>
#include <jujubestand/logs/log.hpp>
#include <jujubestand/loop/datagrams.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/node/settings.hpp>
#include <jujubestand/quarantine/evidence.hpp>
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
#include <vector>

struct event_base;

namespace jujubestand::gateway
{

/// \brief A caller's request in progress.
struct active_call
{
    http1::exchange_id exchange;
    traffic::caller_call caller_request;
    /// Copies taken on arrival; later configuration changes do not affect
    /// them, but for whether the team is isolated.
    traffic::route route;
    traffic::team team;
    mono_time arrived_at{};
    mono_time deadline{};
    dispatch::call dispatch_call;
    /// Upstream request in flight; default-constructed if there is none.
    http1::call_id upstream_call;
    std::string upstream;
    dispatch::upstream_key upstream_key = 0;
    address upstream_address;
    /// An earlier attempt may have arrived there.
    bool is_sent_again = false;
    /// The response is a refusal that may be the one of an earlier attempt.
    bool is_refusal_unproven = false;
    /// Software version of that upstream.
    std::string software_version;
    std::uint32_t upstream_attempts = 0;
    /// When the call arrived, or its latest retry was granted.
    mono_time granted_at{};
    /// Numbers of the connections of its attempts.
    std::vector<std::uint64_t> connections;
    /// Answers of other calls that its attempts have dropped, for the log.
    unsigned foreign_answers = 0;
    /// Number of attempts that may have executed the call.
    std::uint32_t possible_runs = 0;
    /// Worst verdict over the attempts that ended.
    verdict outcome = verdict::not_run;
    traffic::answer_head response_head;
    /// Framing of the current upstream response.
    http1::body_framing response_framing = http1::body_framing::none;
    /// Buffered response body; streams are forwarded without buffering.
    std::string response_body;
    event_stream events;
    /// The response head was sent to the caller.
    bool is_response_started = false;
    /// The current upstream response is read but not forwarded.
    bool is_response_discarded = false;
    std::size_t discarded_bytes = 0;
    /// First output of the current attempt.
    std::optional<mono_time> output_since;
    /// The upstream of the current attempt has written on it for so long that
    /// the call can't be what crashes upstreams.
    bool has_survived = false;
    /// Fingerprints of the call and of the shared parts of its prompt.
    std::vector<quarantine::suspect_key> suspect_keys;
    /// Tokens of its team's quota that it was charged, and when.
    std::uint64_t quota_charge = 0;
    mono_time quota_charged_at{};
};

/// \brief A store of cached prompt parts whose events this gateway reads.
struct watched_store
{
    status::cache_view cache;
    bool is_poll_in_flight = false;
    bool is_reachable = false;
    unsigned failures = 0;
    mono_time next_poll_at{};
};

/// \brief What a resumed stream waits for, to learn the version that it began
/// at.
enum class origin_wait : std::uint8_t
{
    gateways, ///< the first list of gateways, which are queried then
    answers,  ///< answers of the queried gateways and agents
    look_up,  ///< a read of the store
    records,  ///< records of all upstreams that may have begun it
};

/// \brief A resumed stream that waits.
struct open_origin_query
{
    origin_key stream = 0;
    mono_time sent_at{};
    /// IP addresses of the queried gateways that have not answered.
    std::set<std::string> open;
    origin_wait wait = origin_wait::answers;
    /// Gateways were queried before, and none knew the version.
    bool was_queried = false;
};

/// \brief Evidence of this gateway on calls that crash upstreams, and what it
/// has not sent yet.
struct crash_watch
{
    quarantine::evidence evidence;
    /// When the evidence last changed.
    mono_time changed_at{};
    /// When evidence or culprits were last sent to the other gateways.
    mono_time announced_at{};
    /// When each culprit that this gateway found is to be written to the store.
    std::map<digest, mono_time> unwritten_culprits;
    /// When each crash that the store may lack is to be written.
    std::map<quarantine::crash_key, mono_time> unwritten_crashes;
    /// A write of a crash, or the removal of one, is under way.
    bool is_crash_write_open = false;
    /// When to look for crashes that the store needs no more.
    mono_time removal_due_at{};
};

/// \brief What a gateway does about the limits of upstreams for all gateways.
struct limit_exchange
{
    /// Permits that this gateway issues.
    limits::permit_issuer issuer;
    /// When this gateway last sent the limit of an upstream to the others.
    std::map<dispatch::upstream_key, mono_time> announced_at;
    /// Upstreams whose malformed limit was logged.
    std::set<dispatch::upstream_key> malformed;
    /// Gateways that have not yet answered this one's query for limits.
    std::set<std::string> queried;
    /// Last message of an agent or another gateway.
    mono_time heard_at{};
    mono_time reviewed_at{};
};

/// \brief Calls of a team that were refused for its quota, not logged yet.
struct quota_refusals
{
    std::int64_t count = 0;
    mono_time logged_at{};
};

/// \brief State of the team quotas at a gateway.
struct team_quotas
{
    limits::quota_exchange exchange;
    /// Runs while requests for tokens are in flight.
    std::optional<loop::timer> review_timer;
    bool is_review_scheduled = false;
    /// By team.
    std::map<std::string, quota_refusals> refusals;
    mono_time state_logged_at{};
    /// When the end of this process was last announced to the other gateways.
    mono_time end_announced_at{};
};

/// \brief Calls for engines whose prompts can't be read, not logged yet.
struct unreadable_prompts
{
    std::int64_t calls = 0;
    /// Field and team of the last one.
    traffic::prompt_field field = traffic::prompt_field::none;
    std::string team;
    mono_time logged_at{};
};

/// \brief The gateways that share the reserve of retries.
struct retry_group
{
    /// 0 until a list of them is known.
    std::uint32_t gateways = 0;
    /// Of this gateway in the order of their IP addresses, from 0.
    std::uint32_t position = 0;
    /// When to look for gateways that have been gone for long enough.
    mono_time review_due_at{};
};

/// \brief State of a gateway process.
struct gateway_state
{
    event_base* base = nullptr;
    node::settings settings;
    logs::log* log = nullptr;
    std::unique_ptr<http1::client> internal_client;
    std::unique_ptr<http1::client> upstream_client;
    std::unique_ptr<http1::server> caller_server;
    std::unique_ptr<http1::server> readiness_server;
    std::unique_ptr<platform::store> store;
    std::unique_ptr<follow::follower> operator_topic;
    std::unique_ptr<follow::follower> upstream_topic;
    /// Culprits and crashes, so that a restart forgets none.
    std::unique_ptr<follow::follower> quarantine_topic;
    crash_watch crashes;
    /// Wall clocks of the processes that send datagrams with times.
    peer_clocks clocks;
    limit_exchange limits;
    /// Under `queue_discipline::useful_first`.
    wasted_work wasted;
    unreadable_prompts unreadable;
    team_quotas quotas;
    /// Status datagrams to and from agents and other gateways.
    std::unique_ptr<loop::datagrams> datagrams;
    /// Serves store records to other gateways.
    std::unique_ptr<http1::server> records_server;
    std::optional<loop::timer> tick_timer;
    std::optional<loop::timer> review_timer;
    std::optional<loop::timer> stop_timer;
    /// `review_timer` is armed.
    bool is_review_scheduled = false;
    follow::lapses lapses;
    std::optional<traffic::tables> tables;
    /// When `tables` were last confirmed current, if a configuration came since
    /// that can't be read.
    std::optional<mono_time> superseded_at;
    /// Owner of the cached parts of teams that are not isolated, by `tables`.
    std::string shared_cache_owner;
    dispatch::state dispatch;
    /// Retry budget per pool.
    std::map<std::string, retries::retry_budget> retry_budgets;
    retry_group retry_sharers;
    /// New calls per pool.
    std::map<std::string, limits::recent_count> recent_calls;
    std::unordered_map<dispatch::call_key, active_call> active_calls;
    std::map<http1::exchange_id, dispatch::call_key> call_by_exchange;
    dispatch::call_key last_call_key = 0;
    std::mt19937_64 random_engine;
    bool is_fresh = false;
    bool is_draining = false;
    /// The previous drain check found the gateway idle.
    bool was_idle = false;
    /// Keyed by store address.
    std::map<std::string, watched_store> watched_stores;
    /// Calls whose response has started and that wait for retry budget, with
    /// the outcome of the last attempt.
    std::map<dispatch::call_key, dispatch::send_outcome> suspended_calls;
    stream_origins origins;
    route_pools former_pools;
    software_history software;
    origin_write_queue origin_writes;
    origin_look_up origin_reads;
    /// Resumed streams that wait for their software version.
    std::map<dispatch::call_key, open_origin_query> origin_queries;
    /// Paths of the record fetches in flight.
    std::set<std::string> fetches_in_flight;
    gateway::query_map status_queries;
    followed_reader part_store_reader;
    engine_orders orders;
    gateway_directory directory;
    /// When an agent was heard last; empty if none was.
    std::optional<mono_time> agent_heard_at;
    /// IP addresses of all gateways, highest link bandwidth first; empty until
    /// an agent has reported them.
    std::vector<std::string> gateway_hosts;
    /// By IP address: when an agent last reported the gateway.
    std::map<std::string, mono_time> gateway_seen_at;
    mono_time drain_started_at{};
    /// Calls that were still open at the end of the stop's grace period.
    std::size_t calls_cut = 0;
    /// Time of the last `on_tick`.
    mono_time ticked_at{};
    mono_time started_at{};
};

} // namespace jujubestand::gateway

#endif
